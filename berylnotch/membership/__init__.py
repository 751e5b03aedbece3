"""Observation of VMs and targets, and selection of those that may get new work."""
