"""Authenticated framed messages between the system's processes."""
