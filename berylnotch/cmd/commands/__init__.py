"""Commands of the operators' tool, one module each.

A module has ``HELP``, ``DESCRIPTION``, ``add_arguments(parser)`` and
``main(args, session) -> int``.
"""
