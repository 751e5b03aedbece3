"""Command ``berylnotch claims``: show and settle non-idempotent requests."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_FAILURE, EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.control.commands import ClaimRecord, ClaimState, SettleClaim
from berylnotch.control.protocol import ClaimRequest
from berylnotch.control.times import format_ms

HELP = "look at and settle non-idempotent requests"
DESCRIPTION = """\
Show what became of a request that may run only once, or settle one whose
outcome is unknown. Find out at the target first whether it ran: after
`settle ... not-run` the caller's next try runs it."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    show = actions.add_parser("show", help="show a request")
    settle = actions.add_parser("settle", help="record what you found out")
    for action in (show, settle):
        action.add_argument("organisation", metavar="ORGANISATION")
        action.add_argument("idempotency_key", metavar="IDEMPOTENCY-KEY")
    settle.add_argument("state", choices=("done", "not-run"))
    settle.add_argument("--note", default="", help="how you found out")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    if args.action == "show":
        return _show(args, session)
    command = SettleClaim(
        session.change_id,
        session.operator,
        args.organisation,
        args.idempotency_key,
        ClaimState(args.state),
        args.note,
    )
    return session.write_result(session.propose(command), f"settled as {args.state}")


def _show(args: argparse.Namespace, session: Session) -> int:
    request = ClaimRequest(args.organisation, args.idempotency_key)
    claim = session.call(request).claim
    if session.is_json:
        session.write_json(claim)
    else:
        session.write(_format_claim(claim) if claim else "there is no such request")
    return EXIT_OK if claim else EXIT_FAILURE


def _format_claim(claim: ClaimRecord) -> str:
    lines = [
        f"state:    {claim.state.value}",
        f"router:   {claim.router}",
        f"attempt:  {claim.attempt}",
        f"opened:   {format_ms(claim.opened_ms)}",
        f"closed:   {format_ms(claim.closed_ms)}",
    ]
    if claim.http_status:
        body_size = len(claim.body)
        lines.append(f"answer:   {claim.http_status}, {body_size} bytes stored")
    if claim.note:
        lines.append(f"note:     {claim.note}")
    return "\n".join(lines)
