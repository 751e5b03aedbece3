"""Data that command handlers change, and the context and result of a handler."""

from __future__ import annotations

from attrs import field, frozen, mutable

from berylnotch.control.commands import ClaimRecord
from berylnotch.control.protocol import KeyLine
from berylnotch.control.view import View
from berylnotch.ledger.ledger import Ledger
from berylnotch.orders.book import OrderBook

#: Maximum number of withdrawn keys that are retained for listings. When the oldest
#: is evicted, its ID is no longer known to be withdrawn.
MAX_WITHDRAWN_KEYS = 20_000


@mutable
class StateData:
    """Mutable parts of the control state.

    Parameters
    ----------
    view : View
        Part of the state that routers replicate.
    ledger : Ledger
        Claims of non-idempotent requests.
    order_book : OrderBook
        Rollouts, and the newest order to each engine.
    key_issued_ms : dict of str to int
        Unix time in milliseconds at which each accepted key was added, by key ID.
    withdrawn_keys : dict of str to KeyLine
        Withdrawn keys by key ID, oldest first.
    text_operator : str
        Operator who applied the fleet configuration in force.
    text_at_ms : int
        Unix time in milliseconds at which that configuration was applied.
    """

    view: View = field(factory=View)
    ledger: Ledger = field(factory=Ledger)
    order_book: OrderBook = field(factory=OrderBook)
    key_issued_ms: dict[str, int] = field(factory=dict)
    withdrawn_keys: dict[str, KeyLine] = field(factory=dict)
    text_operator: str = ""
    text_at_ms: int = 0


@frozen
class ApplyContext:
    """Log index and time at which a command is applied.

    ``at_ms`` is a Unix time in milliseconds that never decreases.
    """

    index: int
    at_ms: int


@frozen
class CommandEffect:
    """Message, events and claim that an accepted command results in."""

    message: str = ""
    events: tuple[object, ...] = ()
    claim: ClaimRecord | None = None
