"""Translation between the users' platform and this project's terms.

It holds the platform's names, formats and calls, and makes no routing decisions.
"""
