"""Measurements of berylnotch on small fakes."""
