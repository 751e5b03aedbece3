"""Command ``berylnotch keys``: give, withdraw and list callers' keys."""

from __future__ import annotations

import argparse

from berylnotch.cmd.exits import EXIT_OK
from berylnotch.cmd.session import Session, UnconfirmedError
from berylnotch.cmd.tables import table
from berylnotch.control.commands import GiveKey, Status, WithdrawKey
from berylnotch.control.protocol import KeysRequest
from berylnotch.control.times import format_ms
from berylnotch.keys.keyring import digest_key, generate_key

HELP = "give, withdraw and list callers' keys"
DESCRIPTION = """\
Give an organisation a new key, withdraw a key, or list keys. A new key is shown
once and kept nowhere; the system stores only a keyed hash. A withdrawn key stops
within seconds, for running streams as well."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments."""
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    give = actions.add_parser("give", help="make and give a new key")
    give.add_argument("organisation", metavar="ORGANISATION")
    withdraw = actions.add_parser("withdraw", help="stop accepting a key")
    withdraw.add_argument("key_id", metavar="KEY-ID")
    list_action = actions.add_parser("list", help="list keys, withdrawn ones included")
    list_action.add_argument(
        "organisation", metavar="ORGANISATION", nargs="?", default=""
    )


def main(args: argparse.Namespace, session: Session) -> int:
    """Run the command."""
    if args.action == "give":
        return _give_key(args.organisation, session)
    if args.action == "withdraw":
        command = WithdrawKey(session.change_id, session.operator, args.key_id)
        success_text = f"key {args.key_id} is withdrawn"
        return session.write_result(session.propose(command), success_text)
    return _list_keys(args.organisation, session)


def _give_key(organisation: str, session: Session) -> int:
    generated = generate_key()
    digest = digest_key(generated.key)
    command = GiveKey(
        session.change_id, session.operator, generated.key_id, organisation, digest
    )
    try:
        result = session.propose(command)
    except UnconfirmedError as error:
        # A repetition of the change needs the same key, and the operator would have to
        # be shown a key that may not be in force. It is simpler to withdraw the key and
        # to give another one.
        message = (
            f"no answer came; key {generated.key_id} may have been given. Look with "
            f"`keys list {organisation}`, withdraw it and give another one"
        )
        raise UnconfirmedError(message) from error
    if result.status is not Status.OK:
        return session.write_result(result, "")
    if session.is_json:
        session.write_json(
            {
                "key_id": generated.key_id,
                "key": generated.key,
                "organisation": organisation,
            }
        )
    else:
        session.write(f"key id: {generated.key_id}")
        session.write(f"key:    {generated.key}")
        session.write(f"given to {organisation}; the key is not shown again")
    return EXIT_OK


def _list_keys(organisation: str, session: Session) -> int:
    keys = session.call(KeysRequest(organisation)).keys
    if session.is_json:
        session.write_json(keys)
        return EXIT_OK
    rows = [
        (
            line.key_id,
            line.organisation,
            format_ms(line.given_ms),
            format_ms(line.withdrawn_ms),
        )
        for line in keys
    ]
    session.write(table(("key id", "organisation", "given", "withdrawn"), rows))
    return EXIT_OK
