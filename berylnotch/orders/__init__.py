"""Orders to engines, protected by fencing tokens: weights, adapters, roles."""
