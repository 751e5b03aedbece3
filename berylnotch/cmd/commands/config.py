"""Command ``berylnotch config``: check a configuration of a fleet offline."""

from __future__ import annotations

import argparse
from pathlib import Path

from berylnotch.cmd.exits import EXIT_BAD_INPUT, EXIT_FAILURE, EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.errors import ConfigurationError
from berylnotch.platform.configuration import (
    decode_held_configuration,
    decode_new_configuration,
)
from berylnotch.routing.differences import compare
from berylnotch.routing.errors import InvalidConfigurationError
from berylnotch.routing.findings import find_problems

HELP = "check a configuration of a fleet offline"
DESCRIPTION = """\
Check the JSON configuration of a fleet on the users' platform, without a
connection: whether the controllers would take it, and what in it has no effect or
contradicts itself. Exits with 0 if it is right, with 1 if there are warnings and
--strict is given, with 2 if the controllers would refuse it."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    check = actions.add_parser(
        "check", help="check a configuration", description=DESCRIPTION
    )
    check.add_argument("file", metavar="FILE", help="configuration in JSON")
    check.add_argument(
        "--against", metavar="FILE", default="", help="list what differs from this one"
    )
    check.add_argument(
        "--strict", action="store_true", help="exit with 1 if there are warnings"
    )


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    body = _read(args.file)
    earlier_body = _read(args.against) if args.against else None
    errors, warnings, differences = [], (), ()
    try:
        configuration = decode_new_configuration(body)
        warnings = find_problems(configuration)
    except InvalidConfigurationError as error:
        configuration = None
        errors.append(f"{args.file}: {error}")
    if earlier_body is not None:
        try:
            earlier = decode_held_configuration(earlier_body)
        except InvalidConfigurationError as error:
            errors.append(f"{args.against}: {error}")
        else:
            if configuration is not None:
                differences = compare(earlier, configuration)
    if session.is_json:
        session.write_json(
            {
                "file": args.file,
                "errors": errors,
                "warnings": warnings,
                "differences": differences,
            }
        )
    else:
        for difference in differences:
            session.write(str(difference))
        for error in errors:
            session.write(f"error: {error}")
        for warning in warnings:
            session.write(f"{args.file}: warning: {warning}")
        if configuration is not None:
            session.write(
                f"{args.file}: version {configuration.version}, "
                f"{len(configuration.routes)} routes, "
                f"{len(configuration.services)} services, "
                f"{len(configuration.organisations or ())} organisations, "
                f"{len(warnings)} warnings"
            )
    if errors:
        return EXIT_BAD_INPUT
    return EXIT_FAILURE if warnings and args.strict else EXIT_OK


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(str(error.strerror), path) from error
