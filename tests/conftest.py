"""Settings shared by all tests."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None)
settings.load_profile("ci")
