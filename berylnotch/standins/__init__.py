"""Simulated engines, services and platform for the demo, tests and benchmarks."""
