"""Whole configurations of a fleet: routes, services, organisations and limits."""
