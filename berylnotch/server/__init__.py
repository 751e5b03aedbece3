"""HTTP server and request path for callers."""
