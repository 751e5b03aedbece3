"""Measurements; each prints a table."""
