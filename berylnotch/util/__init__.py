"""Helpers without knowledge of routing: hashing, logs, metrics, INI reading."""
