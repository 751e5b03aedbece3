"""Group of a fleet's controllers: automatic membership changes, messages and state."""
