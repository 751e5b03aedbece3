"""Framed messages between the system's processes, with and without authentication."""
