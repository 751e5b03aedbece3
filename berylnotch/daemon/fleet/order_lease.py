"""Lease for sending orders to engines, which one controller holds at a time."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.group.commands import GiveBackOrders, TakeOrders
from berylnotch.group.state import FleetState
from berylnotch.settings.fleet import FleetSettings
from berylnotch.transport.packing import pack
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Margin in seconds that is added to the order lease, since timers may fire late.
ORDER_MARGIN_S = 0.3

#: Back-off in seconds before the leader proposes again to acquire the order lease.
ACQUIRE_RETRY_S = 0.5

#: Proposes a command; the callback gets whether it was committed.
Propose = Callable[[bytes, Callable[[bool], None]], None]


class OrderLease:
    """Acquires the order lease when orders are due, and releases it after idle time.

    A new leader waits until no order of the controller that holds the lease can still
    be running. No wait is needed for a lease that was released, since its holder
    released it only after a lease duration without orders.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    loop : Loop
        Event loop that runs all callbacks.
    state : FleetState
        Replicated state, which names the holder of the order lease.
    propose : callable
        Proposes a command and reports whether it was committed.
    epoch : int
        Fencing token of this leader.
    on_acquired : callable
        Called when this leader has acquired the order lease.
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
        on_acquired: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._name = settings.name
        self._lease_with_margin_s = settings.bounds.order_lease_s + ORDER_MARGIN_S
        self._loop = loop
        self._state = state
        self._propose = propose
        self._epoch = epoch
        self._on_acquired = on_acquired
        self._log = log
        self._started_at = boot_time()
        self._is_held = False
        self._is_requested = False
        self._is_closed = False
        self._orders_running = 0
        self._idle_since = 0.0

    @property
    def is_held(self) -> bool:
        """Whether this leader may send orders, as long as it leads."""
        return self._is_held and not self._is_closed

    def close(self) -> None:
        """Send no further orders; the lease is not released, so a new leader waits."""
        self._is_closed = True

    def request(self) -> None:
        """Acquire the order lease as soon as no earlier order can be running."""
        if self._is_held or self._is_requested or self._is_closed:
            return
        self._is_requested = True
        wait_s = 0.0
        if self._state.order_holder not in ("", self._name):
            wait_s = max(
                0.0, self._started_at + self._lease_with_margin_s - boot_time()
            )
        if wait_s:
            self._log.info(
                "orders_awaited", holder=self._state.order_holder, wait_s=wait_s
            )
            self._loop.call_later(wait_s, self._acquire)
        else:
            self._acquire()

    def on_load_started(self) -> None:
        """Count a started load, whose order may be sent from now on."""
        self._orders_running += 1

    def on_load_ended(self) -> None:
        """Count an ended load, whose order is not running; restart the idle timer."""
        self._orders_running -= 1
        self._restart_idle_timer()

    def _acquire(self) -> None:
        if not self._is_closed:
            self._propose(pack(TakeOrders(self._name)), self._on_acquire_outcome)

    def _on_acquire_outcome(self, is_committed: bool) -> None:
        if self._is_closed:
            return
        self._log.info("orders_taken", committed=is_committed, epoch=self._epoch)
        if not is_committed:
            self._loop.call_later(ACQUIRE_RETRY_S, self._acquire)
            return
        self._is_held, self._is_requested = True, False
        self._restart_idle_timer()
        self._on_acquired()

    def _restart_idle_timer(self) -> None:
        """Restart the timer that releases the lease after idle time."""
        self._idle_since = boot_time()
        idle_since = self._idle_since
        self._loop.call_later(
            self._lease_with_margin_s, lambda: self._release_if_idle(idle_since)
        )

    def _release_if_idle(self, idle_since: float) -> None:
        is_idle = self._orders_running == 0 and self._idle_since == idle_since
        if not is_idle or not self.is_held:
            return
        # Cleared before the release can commit, so that no order is sent after it.
        self._is_held = False
        self._propose(pack(GiveBackOrders(self._name)), self._on_released)

    def _on_released(self, is_committed: bool) -> None:
        self._log.info("orders_given_back", committed=is_committed, epoch=self._epoch)
