"""Command ``berylnotch status``: show the state of the fleet."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.cmd.tables import table
from berylnotch.control.protocol import StatusReply, StatusRequest

HELP = "show controllers, routers, targets and organisations"
DESCRIPTION = """\
Show the fleet as the leader sees it: controllers and who leads, routers,
targets with their weights, organisations with the tokens left in their
bucket."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument(
        "--all", action="store_true", help="list every organisation, not the busiest 20"
    )


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    status = session.call(StatusRequest())
    if session.is_json:
        session.write_json(status)
        return EXIT_OK
    leader = status.leader.partition("/")[0] or "nobody"
    session.write(
        f"revision {status.revision}; {leader} leads term {status.term}; "
        f"log committed to {status.commit}"
    )
    session.write("\n" + _controllers_table(status))
    session.write("\n" + _routers_table(status))
    session.write("\n" + _targets_table(status))
    session.write("\n" + _organisations_table(status, args.all))
    return EXIT_OK


def _format_contact_age(contact_age_ms: int) -> str:
    return "never" if contact_age_ms < 0 else f"{contact_age_ms} ms ago"


def _controllers_table(status: StatusReply) -> str:
    rows = [
        (
            line.member.name,
            line.member.address,
            line.member.failure_domain,
            "leader" if line.is_leader else line.member.role.value,
            line.match,
            _format_contact_age(line.heard_ms),
        )
        for line in status.controllers
    ]
    header = ("controller", "address", "failure domain", "role", "log", "heard")
    return table(header, rows)


def _routers_table(status: StatusReply) -> str:
    rows = [
        (
            line.vm,
            line.http_address,
            line.failure_domain,
            line.state,
            _format_contact_age(line.heard_ms),
        )
        for line in status.routers
    ]
    return table(("router", "address", "failure domain", "state", "heard"), rows)


def _targets_table(status: StatusReply) -> str:
    rows = [
        (
            line.name,
            line.service,
            line.address,
            line.failure_domain,
            f"{line.state}, draining" if line.draining else line.state,
            line.version,
        )
        for line in status.targets
    ]
    header = ("target", "service", "address", "failure domain", "state", "weights")
    return table(header, rows)


def _organisations_table(status: StatusReply, show_all: bool) -> str:
    busiest = sorted(status.organisations, key=lambda line: -line.used_per_s)
    shown = busiest if show_all else busiest[:20]
    rows = [
        (line.name, line.rate, line.burst, line.share, line.level, line.used_per_s)
        for line in shown
    ]
    header = ("organisation", "tokens/s", "burst", "share", "left", "used/s")
    hidden_count = len(busiest) - len(shown)
    footer = f"\n({hidden_count} more; --all shows them)" if hidden_count else ""
    return table(header, rows) + footer
