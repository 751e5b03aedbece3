"""Sequence, end marker, resume and cancel of streamed answers."""
