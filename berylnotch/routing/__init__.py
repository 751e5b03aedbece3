"""Fleet configurations with their routes, services, organisations and limits."""
