"""Translation between the users' platform and this project's terms.

This package holds the platform's names, formats and calls. It makes no routing
decisions.
"""
