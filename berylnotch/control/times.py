"""Formatting of times for operators."""

from __future__ import annotations

from datetime import UTC, datetime


def format_ms(at_ms: int) -> str:
    """Return a Unix time in milliseconds as ``YYYY-MM-DDTHH:MM:SSZ``."""
    if at_ms <= 0:
        return "-"
    try:
        utc_time = datetime.fromtimestamp(at_ms // 1000, UTC)
    except (OverflowError, ValueError, OSError):
        return f"{at_ms} ms"
    return utc_time.strftime("%Y-%m-%dT%H:%M:%SZ")
