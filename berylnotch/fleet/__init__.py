"""The operators' text: services, targets, organisations, routes."""
