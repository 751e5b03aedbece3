"""Command ``berylnotch members``: list and replace controllers."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.cmd.tables import table
from berylnotch.control.protocol import MemberChangeRequest, StatusRequest
from berylnotch.fleet import values

HELP = "list and replace controllers"
DESCRIPTION = """\
List the controllers, or repair the group after a VM was lost. `replace` adds the
new controller, waits until it holds the whole log and may vote, and then removes
the old one. It says done only when that is committed. The new controller has to
run already, with an empty data folder; it may have the old one's name."""

#: Timeout, in seconds, of a change of controllers.
_TIMEOUT_S = 120.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    actions.add_parser("list", help="list the controllers")
    replace = actions.add_parser("replace", help="replace a lost controller")
    replace.add_argument("old", metavar="OLD", help="controller to remove")
    add = actions.add_parser("add", help="add a controller")
    for action in (replace, add):
        action.add_argument("name", metavar="NAME", help="controller to add")
        action.add_argument("address", metavar="IP:PORT", type=_address)
        action.add_argument("--failure-domain", default="", metavar="NAME")
    remove = actions.add_parser("remove", help="remove a controller")
    remove.add_argument("old", metavar="OLD")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    if args.action == "list":
        controllers = session.call(StatusRequest()).controllers
        members = tuple(line.member for line in controllers)
    else:
        request = MemberChangeRequest(
            session.change_id,
            session.operator,
            getattr(args, "name", ""),
            getattr(args, "address", ""),
            getattr(args, "failure_domain", ""),
            getattr(args, "old", ""),
        )
        members = session.request_change(request, _TIMEOUT_S).members.members
    if session.is_json:
        session.write_json(members)
        return EXIT_OK
    rows = [(m.name, m.address, m.failure_domain, m.role.value) for m in members]
    session.write(table(("controller", "address", "failure domain", "role"), rows))
    return EXIT_OK


def _address(text: str) -> str:
    try:
        return values.address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from error
