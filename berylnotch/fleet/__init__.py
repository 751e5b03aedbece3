"""The operators' text: services, targets, organisations and routes."""
