"""Fleet configurations: routes, services, organisations and limits."""
