"""Access to the commands inside a parser."""

from __future__ import annotations

import argparse


def subparsers(parser: argparse.ArgumentParser) -> dict[str, argparse.ArgumentParser]:
    """Return the parsers of a parser's commands by name."""
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            return dict(action.choices)
    return {}


def options(parser: argparse.ArgumentParser) -> list[str]:
    """Return a parser's long options."""
    found = [word for action in parser._actions for word in action.option_strings]
    return [word for word in found if word.startswith("--")]


def choices(parser: argparse.ArgumentParser) -> list[str]:
    """Return what a parser's positional arguments may be."""
    found: list[str] = []
    for action in parser._actions:
        if action.choices and not action.option_strings:
            found.extend(action.choices)
    return found
