"""Clients of external systems: engines, plain services, stores and the platform."""
