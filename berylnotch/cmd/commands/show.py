"""Command ``berylnotch show``: show the operators' text in force."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_FAILURE, EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.cmd.textfile import write_text_file
from berylnotch.control.protocol import ShowRequest

HELP = "show the text in force"
DESCRIPTION = """\
Show the operators' text in force. With --output it is written to a file that
also holds its revision, for an edit with `plan` and `apply`."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("--output", metavar="FILE", help="write the text to a file")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    reply = session.call(ShowRequest())
    if args.output:
        write_text_file(args.output, reply.text, reply.revision)
    if session.is_json:
        session.write_json(reply)
    elif args.output:
        session.write(f"revision {reply.revision} written to {args.output}")
    elif not reply.revision:
        session.write("no text is in force yet")
        return EXIT_FAILURE
    else:
        session.write(f"; berylnotch revision {reply.revision}\n{reply.text.rstrip()}")
    return EXIT_OK
