"""Model and parser of the operators' text: services, targets, organisations, routes."""
