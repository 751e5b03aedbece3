"""Fenced orders to engines: weights, adapters, roles."""
