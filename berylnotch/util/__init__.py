"""Utilities that do not depend on routing: addresses, event loop, logs, metrics."""
