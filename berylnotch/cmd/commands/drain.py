"""Command ``berylnotch drain``: stop sending new work to a target or VM."""

from __future__ import annotations

import argparse

from berylnotch.cmd.session import Session
from berylnotch.control.commands import SetDrain, Subject

HELP = "keep new work from a target or VM"
DESCRIPTION = """\
Keep new work from a target, or keep callers from an entry VM. Running work goes
on to its end. `berylnotch undrain` ends it."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("subject", choices=("target", "vm"))
    parser.add_argument("name", metavar="NAME")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    command = SetDrain(
        session.change_id, session.operator, Subject(args.subject), args.name, True
    )
    success_text = f"{args.subject} {args.name} gets no new work"
    return session.write_result(session.propose(command), success_text)
