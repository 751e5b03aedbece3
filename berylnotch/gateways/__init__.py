"""One module for each system outside: engines, services, platform."""
