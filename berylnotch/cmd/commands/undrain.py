"""Command ``berylnotch undrain``: end the drain of a target or VM."""

from __future__ import annotations

import argparse

from berylnotch.cmd.session import Session
from berylnotch.control.commands import SetDrain, Subject

HELP = "end a drain"
DESCRIPTION = """\
Let a target or an entry VM get new work again."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("subject", choices=("target", "vm"))
    parser.add_argument("name", metavar="NAME")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    command = SetDrain(
        session.change_id, session.operator, Subject(args.subject), args.name, False
    )
    success_text = f"{args.subject} {args.name} gets new work again"
    return session.write_result(session.propose(command), success_text)
