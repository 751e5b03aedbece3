"""Processes of a fleet that runs on the users' platform: router and controller."""
