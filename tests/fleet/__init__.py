"""Stand-ins and processes for tests of a fleet."""
