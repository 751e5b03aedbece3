"""Example configurations, settings files, and programs that use the libraries."""
