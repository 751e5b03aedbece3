"""Command ``berylnotch apply``: put an operators' text in force."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.cmd.textfile import read_text_file, write_text_file
from berylnotch.control.commands import ApplyText
from berylnotch.errors import ConfigurationError
from berylnotch.fleet.text import parse

HELP = "put a text in force"
DESCRIPTION = """\
Put a text in force, if the revision that it was made from still is. A file from
`berylnotch show --output` knows its revision; otherwise name it with --base (0
for the first text). If somebody else was first, the command says who and when,
changes nothing and exits with 3: get the text again and repeat the edit.

If the answer is lost, the command exits with 4 and names its change id. Repeat
it with --change-id: the change then counts once."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("file", metavar="FILE", help="operators' text")
    parser.add_argument(
        "--base", type=int, metavar="REVISION", help="revision that was edited"
    )


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    file = read_text_file(args.file)
    parse(file.content, file.path)
    base = file.base_revision if args.base is None else args.base
    if base < 0:
        message = (
            "the file does not tell which revision it was made from; get it with "
            "`berylnotch show --output FILE` or add --base REVISION"
        )
        raise ConfigurationError(message, args.file)
    command = ApplyText(session.change_id, session.operator, base, file.text)
    result = session.propose(command)
    code = session.write_result(result, f"revision {result.revision} is in force")
    if code == EXIT_OK and file.base_revision >= 0:
        write_text_file(file.path, file.text, result.revision)
    return code
