"""Replicated log: elections, leases, membership, snapshots."""
