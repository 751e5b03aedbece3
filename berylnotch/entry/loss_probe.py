"""Finds out whether a target ended, after a connection to it closed."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from berylnotch.net.listener_probe import ListenerState, probe_listener
from berylnotch.util.address import parse_address
from berylnotch.util.clock import boot_time
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    from berylnotch.entry.context import EntryContext
    from berylnotch.entry.targets import Target

#: Seconds from the loss of a connection to each probe. A process that ends may accept
#: connections until its last socket is closed.
PROBE_DELAYS_S = (0.0, 0.3)

#: Called with the state of the target's address.
ProbeCallback = Callable[[ListenerState], None]


class LossProber:
    """Probes targets whose connections closed while they ran requests.

    A reset or cut breaks the connections of a target that goes on; only if its address
    refuses new connections has the target ended. One probe serves all connections to a
    target that close before the probe ends.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._waiting: dict[str, list[ProbeCallback]] = {}

    def probe(self, target: Target, done: ProbeCallback) -> None:
        """Probe a target, and call ``done`` with the state of its address."""
        waiting = self._waiting.get(target.target_id)
        if waiting is not None:
            waiting.append(done)
            return
        self._waiting[target.target_id] = [done]
        self._start_probe(target, 0)

    def _start_probe(self, target: Target, number: int) -> None:
        def on_state(state: ListenerState) -> None:
            has_next = number + 1 < len(PROBE_DELAYS_S)
            if state is ListenerState.REFUSED or not has_next:
                self._finish(target, state)
                return
            delay_s = PROBE_DELAYS_S[number + 1] - PROBE_DELAYS_S[number]
            self._context.loop.call_later(
                delay_s, lambda: self._start_probe(target, number + 1)
            )

        address = parse_address(target.listed.address)
        timeout_s = self._context.settings.connect_s
        probe_listener(self._context.loop, address, timeout_s, on_state)

    def _finish(self, target: Target, state: ListenerState) -> None:
        waiting = self._waiting.pop(target.target_id)
        if state is ListenerState.REFUSED:
            target.on_ended(boot_time())
        log = self._context.log
        write_log = log.warning if state is ListenerState.REFUSED else log.info
        write_log(
            "target_probed",
            target=target.target_id,
            state=state.value,
            requests=len(waiting),
        )
        self._context.metrics.count(
            "berylnotch_target_probes_total",
            Label("service", target.listed.service),
            Label("state", state.value),
        )
        for done in waiting:
            done(state)
