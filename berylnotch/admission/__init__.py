"""Queueing, fairness and shedding of requests."""
