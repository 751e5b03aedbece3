"""Replicated control state: commands, events and the state they build."""
