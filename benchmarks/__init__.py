"""Measurements of the system and of its parts."""
