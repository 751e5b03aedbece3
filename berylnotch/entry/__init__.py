"""Provides the request path of a router, from target selection to the response."""
