"""Inspection of the commands, options and choices of an argparse parser."""

from __future__ import annotations

import argparse


def subparsers(parser: argparse.ArgumentParser) -> dict[str, argparse.ArgumentParser]:
    """Return the parsers of a parser's subcommands by name."""
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            return dict(action.choices)
    return {}


def options(parser: argparse.ArgumentParser) -> list[str]:
    """Return a parser's long options."""
    values = [option for action in parser._actions for option in action.option_strings]
    return [option for option in values if option.startswith("--")]


def choices(parser: argparse.ArgumentParser) -> list[str]:
    """Return the allowed values of a parser's positional arguments."""
    values: list[str] = []
    for action in parser._actions:
        if action.choices and not action.option_strings:
            values.extend(action.choices)
    return values
