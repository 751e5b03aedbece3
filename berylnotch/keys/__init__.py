"""Callers' keys: hashing, lookup and freshness."""
