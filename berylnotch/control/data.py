"""Parts of the control state, and what a handler of a command returns."""

from __future__ import annotations

from attrs import field, frozen, mutable

from berylnotch.control.commands import ClaimRecord
from berylnotch.control.protocol import KeyLine
from berylnotch.control.view import View
from berylnotch.ledger.ledger import Ledger
from berylnotch.orders.book import OrderBook

#: Newest withdrawn keys that are listed; the ids of older ones are forgotten.
MAX_WITHDRAWN_KEYS = 20_000


@mutable
class StateData:
    """Everything that commands change.

    ``text_operator`` and ``text_at_ms`` tell who put the text in force and
    when.
    """

    view: View = field(factory=View)
    ledger: Ledger = field(factory=Ledger)
    book: OrderBook = field(factory=OrderBook)
    given_ms: dict[str, int] = field(factory=dict)
    withdrawn: dict[str, KeyLine] = field(factory=dict)
    text_operator: str = ""
    text_at_ms: int = 0


@frozen
class Context:
    """Where and when a command is applied; ``at_ms`` never falls."""

    index: int
    at_ms: int


@frozen
class Outcome:
    """Effect of a command that took effect."""

    message: str = ""
    events: tuple[object, ...] = ()
    claim: ClaimRecord | None = None
