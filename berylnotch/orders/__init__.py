"""Orders to engines for weights, adapters and roles, protected by fencing tokens."""
