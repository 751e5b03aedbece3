"""Command ``berylnotch plan``: show what an edit would change."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_CONFLICT, EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.cmd.textfile import read_text_file
from berylnotch.control.protocol import ShowReply, ShowRequest
from berylnotch.fleet.plan import find_warnings, plan
from berylnotch.fleet.text import parse

HELP = "show what an edit would change"
DESCRIPTION = """\
Compare a text with the one in force, or with a file, and list what would
change: + comes, - goes, ~ gets another value. Nothing is changed. Exits with 3
if the file was made from a revision that is no longer in force."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("file", metavar="FILE", help="edited operators' text")
    parser.add_argument(
        "--against", metavar="FILE", help="compare with this file, offline"
    )


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    file = read_text_file(args.file)
    new = parse(file.content, file.path)
    reference = _read_reference(args, session)
    old = parse(reference.text) if reference.text else None
    lines, warning_texts = plan(old, new), find_warnings(new)
    is_stale = not args.against and file.base_revision not in (-1, reference.revision)
    if session.is_json:
        session.write_json(
            {
                "revision": reference.revision,
                "base_revision": file.base_revision,
                "changes": lines,
                "warnings": warning_texts,
            }
        )
    else:
        for line in lines:
            session.write(str(line))
        for warning in warning_texts:
            session.write(f"warning: {warning}")
        if not lines:
            session.write("nothing changes")
        if is_stale:
            session.write(
                f"{args.file} was made from revision {file.base_revision}, but "
                f"{reference.revision} is in force; this plan would undo other changes"
            )
    return EXIT_CONFLICT if is_stale else EXIT_OK


def _read_reference(args: argparse.Namespace, session: Session) -> ShowReply:
    if args.against:
        return ShowReply(0, read_text_file(args.against).content)
    return session.call(ShowRequest())
