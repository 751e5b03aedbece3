"""Fault soak: real processes, faults from outside, promises checked while it runs."""
