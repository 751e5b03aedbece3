"""Ledger of claims, by which a non-idempotent request runs at most once."""
