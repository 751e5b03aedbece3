"""Small stand-ins for the systems outside, for the demo and tests."""
