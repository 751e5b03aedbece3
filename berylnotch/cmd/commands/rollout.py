"""Command ``berylnotch rollout``: bring a service's engines to a weights version."""

from __future__ import annotations

import argparse

from berylnotch.cmd.session import Session
from berylnotch.control.commands import StartRollout

HELP = "bring a service's engines to a weights version"
DESCRIPTION = """\
Bring a service's engines to a weights version, at most two at once and never
the last one that serves. `berylnotch status` shows how far it is. Repeat the
command to go on after engines failed three times. Changing `weights` in the text
does the same and is kept in the text."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("service", metavar="SERVICE")
    parser.add_argument("version", metavar="VERSION")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    command = StartRollout(
        session.change_id, session.operator, args.service, args.version
    )
    success_text = f"the engines of {args.service} are brought to {args.version}"
    return session.write_result(session.propose(command), success_text)
