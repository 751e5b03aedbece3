"""Command ``berylnotch why``: show how the target of a request was chosen."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_FAILURE, EXIT_OK, EXIT_UNREACHABLE
from berylnotch.cmd.session import Session
from berylnotch.cmd.tables import table
from berylnotch.control.protocol import WhyReply, WhyRequest
from berylnotch.errors import ConfigurationError, TransportError

HELP = "show how the target of a request was chosen"
DESCRIPTION = """\
Show which targets were considered for a request, with score and reason, best
first. The request id is in the answer's header X-Request-Id. The routers in
[routers] of the settings are asked; each remembers its newest requests."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument("request_id", metavar="REQUEST-ID")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    routers = session.settings.routers
    if not routers:
        raise ConfigurationError("section [routers] of the settings names no router")
    unreachable = []
    for router in routers:
        try:
            request = WhyRequest(args.request_id)
            reply = session.client.call_at(router.address, request)
        except TransportError:
            unreachable.append(router.name)
            continue
        if reply.lines or reply.outcome:
            return _write_reply(session, router.name, reply)
    if unreachable:
        session.write(f"not found; not reached: {', '.join(unreachable)}")
        return EXIT_UNREACHABLE
    session.write(f"no router remembers request {args.request_id}")
    return EXIT_FAILURE


def _write_reply(session: Session, router: str, reply: WhyReply) -> int:
    if session.is_json:
        session.write_json({"router": router, "why": reply})
        return EXIT_OK
    session.write(
        f"request {reply.request_id} of {reply.organisation or 'an open route'} on "
        f"{router}, revision {reply.revision}: {reply.outcome or 'running'}"
    )
    rows = [
        (
            "*" if line.chosen else " ",
            line.target,
            f"{line.score_ms:.1f}",
            line.reason,
        )
        for line in reply.lines
    ]
    session.write(table((" ", "target", "score ms", "reason"), rows))
    return EXIT_OK
