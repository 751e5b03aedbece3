"""Command line of the operators' tool ``berylnotch``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from types import ModuleType
from typing import TextIO

from berylnotch import __version__
from berylnotch.cmd.commands import (
    address,
    apply,
    bootstrap,
    check,
    claims,
    completion,
    config,
    drain,
    history,
    keys,
    members,
    plan,
    rollout,
    show,
    status,
    undrain,
    why,
)
from berylnotch.cmd.config import read_settings, settings_path
from berylnotch.cmd.exits import (
    EXIT_BAD_INPUT,
    EXIT_FAILURE,
    EXIT_OK,
    EXIT_UNREACHABLE,
)
from berylnotch.cmd.parsers import subparsers
from berylnotch.cmd.session import ClientFactory, Session
from berylnotch.errors import BerylnotchError, ConfigurationError, TransportError
from berylnotch.transport.client import Client
from berylnotch.transport.errors import RefusedError
from berylnotch.util.logs import configure_logging

#: Modules of the commands by name, in the order of the help.
COMMANDS: dict[str, ModuleType] = {
    "check": check,
    "plan": plan,
    "apply": apply,
    "show": show,
    "history": history,
    "audit": history,
    "status": status,
    "keys": keys,
    "claims": claims,
    "drain": drain,
    "undrain": undrain,
    "rollout": rollout,
    "why": why,
    "address": address,
    "members": members,
    "bootstrap": bootstrap,
    "config": config,
    "completion": completion,
}

_EPILOG = """\
changing a line of the text:
  berylnotch show --output fleet.ini    get the text in force
  (edit fleet.ini)
  berylnotch check fleet.ini            is it right?
  berylnotch plan fleet.ini             what would it change?
  berylnotch apply fleet.ini            put it in force

settings:
  --settings FILE, else $BERYLNOTCH_SETTINGS, else ~/.config/berylnotch.ini:
    [operator]
    name = asha
    key-file = asha.key        ; from `berylnotchd operator-key`
    [controllers]
    control-1 = 10.0.0.1:7000  ; one line for each
    [routers]
    entry-1 = 10.0.1.1:7100    ; only for `berylnotch why`

exit codes:
  0  done
  1  failed, or it does not exist
  2  the command line, a file or the text is wrong
  3  somebody else was first, or the state forbids it
  4  no leader reached; a change may have taken effect: repeat it as told
"""


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    raw_formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(
        prog="berylnotch",
        description="Operate a berylnotch fleet.",
        epilog=_EPILOG,
        formatter_class=raw_formatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings", default="", metavar="FILE", help="settings of this tool"
    )
    parser.add_argument(
        "--json", action="store_true", help="write results as JSON, for scripts"
    )
    parser.add_argument(
        "--change-id",
        default="",
        metavar="ID",
        help="repeat the change with this id, after its answer was lost",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, module in COMMANDS.items():
        command_parser = commands.add_parser(
            name,
            help=module.HELP,
            description=module.DESCRIPTION,
            formatter_class=raw_formatter,
        )
        module.add_arguments(command_parser)
        for option_parser in (command_parser, *subparsers(command_parser).values()):
            _add_common_options(option_parser)
    parser.set_defaults(parser=parser)
    return parser


def _add_common_options(parser: argparse.ArgumentParser) -> None:
    # The default is suppressed; otherwise it would override the same option given
    # before the command.
    parser.add_argument(
        "--json", action="store_true", default=argparse.SUPPRESS, help="write JSON"
    )
    parser.add_argument(
        "--change-id", default=argparse.SUPPRESS, metavar="ID", help="repeat a change"
    )


def main(
    argv: Sequence[str] | None = None,
    make_client: ClientFactory = Client,
    out: TextIO | None = None,
    err: TextIO | None = None,
) -> int:
    """Run the tool and return its exit code."""
    args = get_parser().parse_args(argv)
    session = Session(
        lambda: read_settings(settings_path(args.settings)),
        make_client,
        out or sys.stdout,
        args.json,
        args.change_id,
    )
    try:
        return COMMANDS[args.command].main(args, session)
    except BerylnotchError as error:
        print(f"berylnotch: {error}", file=err or sys.stderr)
        return _exit_code(error)
    finally:
        session.close()


def run() -> None:
    """Run the tool and exit with its exit code."""
    configure_logging("berylnotch", "ERROR")
    try:
        code = main()
    except BrokenPipeError:
        # The reader of the output pipe, such as head, closed it early.
        sys.stderr.close()
        code = EXIT_OK
    except KeyboardInterrupt:
        code = EXIT_FAILURE
    sys.exit(code)


def _exit_code(error: BerylnotchError) -> int:
    if isinstance(error, ConfigurationError):
        return EXIT_BAD_INPUT
    if isinstance(error, TransportError) and not isinstance(error, RefusedError):
        return EXIT_UNREACHABLE
    return EXIT_FAILURE


if __name__ == "__main__":
    run()
