"""Processes of the router and of the controller."""
