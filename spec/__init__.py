"""Formal models of the protocols, checked exhaustively within bounds."""

from __future__ import annotations
