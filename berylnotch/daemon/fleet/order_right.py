"""The leader's right to give orders to engines, which one controller has at a time."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.group.commands import GiveBackOrders, TakeOrders
from berylnotch.group.state import FleetState
from berylnotch.settings.fleet import FleetSettings
from berylnotch.transport.packing import pack
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds beyond the lease of orders that a new leader waits; timers may be late.
ORDER_MARGIN_S = 0.3

#: Pause in seconds before a leader asks again to take over the orders.
TAKE_RETRY_S = 0.5

#: Commits a command and tells whether it was committed.
Propose = Callable[[bytes, Callable[[bool], None]], None]


class OrderRight:
    """Takes the right when orders are due, and gives it back when they have rested.

    A new leader waits until no order of the controller that has the right can be
    under way. A right that was given back is waited for by nobody: it was given back
    after a lease without an order.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    loop : Loop
        Loop in which everything runs.
    state : FleetState
        Tells who has the right.
    propose : callable
        Commits a command.
    epoch : int
        Fencing number of this leader.
    on_taken : callable
        Called when this leader has got the right.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        settings: FleetSettings,
        loop: Loop,
        state: FleetState,
        propose: Propose,
        epoch: int,
        on_taken: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._name = settings.name
        self._rest_s = settings.bounds.order_lease_s + ORDER_MARGIN_S
        self._loop = loop
        self._state = state
        self._propose = propose
        self._epoch = epoch
        self._on_taken = on_taken
        self._log = log
        self._started_at = boot_time()
        self._is_held = False
        self._is_asked = False
        self._is_closed = False
        self._under_way = 0
        self._rested_since = 0.0

    @property
    def is_held(self) -> bool:
        """Whether this leader may give orders, as long as it leads."""
        return self._is_held and not self._is_closed

    def close(self) -> None:
        """Give no further order; the next leader waits."""
        self._is_closed = True

    def ask(self) -> None:
        """Take the right as soon as that is safe."""
        if self._is_held or self._is_asked or self._is_closed:
            return
        self._is_asked = True
        wait_s = 0.0
        if self._state.order_holder not in ("", self._name):
            wait_s = max(0.0, self._started_at + self._rest_s - boot_time())
        if wait_s:
            self._log.info(
                "orders_awaited", holder=self._state.order_holder, wait_s=wait_s
            )
            self._loop.call_later(wait_s, self._take)
        else:
            self._take()

    def began(self) -> None:
        """Note that an order may be sent from now on."""
        self._under_way += 1

    def ended(self) -> None:
        """Note that what the order was for has ended, so none is under way."""
        self._under_way -= 1
        self._rest()

    def _take(self) -> None:
        if not self._is_closed:
            self._propose(pack(TakeOrders(self._name)), self._taken)

    def _taken(self, is_committed: bool) -> None:
        if self._is_closed:
            return
        self._log.info("orders_taken", committed=is_committed, epoch=self._epoch)
        if not is_committed:
            self._loop.call_later(TAKE_RETRY_S, self._take)
            return
        self._is_held, self._is_asked = True, False
        self._rest()
        self._on_taken()

    def _rest(self) -> None:
        """Count the time without orders from now on."""
        self._rested_since = boot_time()
        since = self._rested_since
        self._loop.call_later(self._rest_s, lambda: self._give_back(since))

    def _give_back(self, since: float) -> None:
        is_idle = self._under_way == 0 and self._rested_since == since
        if not is_idle or not self.is_held:
            return
        # Before the command can be committed, so that no order follows it.
        self._is_held = False
        self._propose(pack(GiveBackOrders(self._name)), self._gave_back)

    def _gave_back(self, is_committed: bool) -> None:
        self._log.info("orders_given_back", committed=is_committed, epoch=self._epoch)
