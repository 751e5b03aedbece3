"""Shells that run the state machines: controller and router."""
