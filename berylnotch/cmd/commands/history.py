"""Command ``berylnotch history``: show the audit trail."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_OK
from berylnotch.cmd.session import Session
from berylnotch.cmd.tables import table
from berylnotch.control.commands import AuditRecord
from berylnotch.control.protocol import AuditRequest
from berylnotch.control.times import format_ms

HELP = "show the audit trail of changes"
DESCRIPTION = """\
Show who changed what, when, on which revision and with which result, oldest
first. Refused changes are listed as well. `audit` is another name of this
command."""

_HEADER = ("index", "time", "by", "action", "subject", "base", "revision", "result")
#: Maximum number of records in one reply.
_PAGE = 1000


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    parser.add_argument(
        "--limit", type=int, default=20, metavar="N", help="newest N records (20)"
    )
    parser.add_argument(
        "--after", type=int, default=0, metavar="INDEX", help="only after this index"
    )
    parser.add_argument("--by", default="", metavar="NAME", help="only by this name")


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    records = [
        r for r in _fetch_records(args.after, session) if args.by in ("", r.operator)
    ]
    newest = records[-args.limit :] if args.limit > 0 else []
    if session.is_json:
        session.write_json(newest)
    else:
        session.write(table(_HEADER, [_row(record) for record in newest]))
    return EXIT_OK


def _fetch_records(after_index: int, session: Session) -> list[AuditRecord]:
    records: list[AuditRecord] = []
    while True:
        page = session.call(AuditRequest(after_index, _PAGE)).records
        records.extend(page)
        if len(page) < _PAGE:
            return records
        after_index = page[-1].index


def _row(record: AuditRecord) -> tuple[object, ...]:
    detail = record.detail.partition("\n")[0]
    return (
        record.index,
        format_ms(record.at_ms),
        record.operator,
        record.action,
        record.subject,
        record.base_revision or "",
        record.revision,
        f"{record.status.value}: {detail}" if detail else record.status.value,
    )
