"""Provides benchmarks of single components and of the whole system.

Each module is run by one command.
"""

from __future__ import annotations
