"""Measurements of parts and of the whole, each run by one command."""

from __future__ import annotations
