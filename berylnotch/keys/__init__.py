"""Callers' keys: generation, hashing, lookup and the freshness lease."""
