"""Texts of fleets, settings of processes, and programs that use parts."""
