"""Command ``berylnotch check``: check an operators' text offline."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_BAD_INPUT, EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.cmd.textfile import read_text_file
from berylnotch.fleet.errors import FleetTextError
from berylnotch.fleet.plan import find_warnings
from berylnotch.fleet.text import parse

HELP = "check a text offline"
DESCRIPTION = """\
Check an operators' text without a connection. Every mistake is reported with
file, line and what is allowed. Exits with 0 if the text is right (there may be
warnings), with 2 if it is wrong."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("file", metavar="FILE", help="operators' text")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    try:
        file = read_text_file(args.file)
        fleet = parse(file.content, file.path)
    except FleetTextError as error:
        if not session.is_json:
            raise
        session.write_json({"file": args.file, "problems": error.problems})
        return EXIT_BAD_INPUT
    warning_texts = find_warnings(fleet)
    if session.is_json:
        session.write_json(
            {"file": args.file, "problems": (), "warnings": warning_texts}
        )
        return EXIT_OK
    for warning in warning_texts:
        session.write(f"{args.file}: warning: {warning}")
    session.write(
        f"{args.file}: right; {len(fleet.services)} services, "
        f"{len(fleet.targets)} targets, {len(fleet.organisations)} organisations, "
        f"{len(fleet.vms)} entry VMs, {len(fleet.routes)} routes"
    )
    return EXIT_OK
