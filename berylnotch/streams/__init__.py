"""Sequence check, end marker, resumption and cancellation of streamed responses."""
