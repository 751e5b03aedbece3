"""Soak test that injects faults into real processes and checks their guarantees."""
