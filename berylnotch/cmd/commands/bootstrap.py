"""Command ``berylnotch bootstrap``: create the group of controllers."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_CONFLICT, EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.consensus.messages import Members
from berylnotch.control.protocol import BootstrapRequest, JoinReply, JoinRequest
from berylnotch.errors import TransportError

HELP = "begin a group of controllers, once"
DESCRIPTION = """\
Make the controllers of the settings file one group. All of them have to run.
This is done once; repeating it after an interruption is safe. A VM whose disk
was lost must come back by `berylnotch members replace` instead: this command
refuses if a controller belongs to another group."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    replies = _ask_controllers(session)
    sorted_members = sorted(
        (reply.member for reply in replies.values()), key=lambda m: m.name
    )
    members = Members(tuple(sorted_members))
    # Controllers that already belong to a group are asked first, so that a conflict is
    # detected before anything is changed.
    for address in sorted(replies, key=lambda item: not replies[item].in_group):
        answer = session.client.call_at(address, BootstrapRequest(members))
        if answer.members != members:
            names = ", ".join(member.name for member in answer.members.members)
            session.write(f"{address} belongs to another group already: {names}")
            return EXIT_CONFLICT
    if session.is_json:
        session.write_json(members)
    else:
        names = ", ".join(member.name for member in members.members)
        session.write(f"the group has begun: {names}")
    return EXIT_OK


def _ask_controllers(session: Session) -> dict[str, JoinReply]:
    replies = {}
    for controller in session.settings.controllers:
        reply = session.client.call_at(controller.address, JoinRequest())
        if reply.member.name != controller.name:
            message = (
                f"the controller at {controller.address} is {reply.member.name}, "
                f"not {controller.name}"
            )
            raise TransportError(message)
        replies[controller.address] = reply
    return replies
