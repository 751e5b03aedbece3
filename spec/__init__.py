"""Specifications of the core protocols, checked exhaustively within bounds."""
