"""Watches the stores of KV cache, so that no engine waits for one that is down."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from berylnotch.errors import GatewayError
from berylnotch.net.fetch import fetch
from berylnotch.net.messages import HttpResponse
from berylnotch.platform.stores import StoreState, decode_state, watch_request
from berylnotch.util.address import parse_address
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds for which a store holds a call back; shorter ones count as probes.
WAIT_S = 0.9

#: Seconds beyond that in which the answer must come.
ANSWER_S = 0.5

#: Pause in seconds before a store that did not answer is asked again.
RETRY_S = 0.3

#: Pause in seconds between two calls that answered, so that many events do not
#: make many calls.
PAUSE_S = 0.3


@define
class _Store:
    """A store under watch."""

    address: str
    state: StoreState | None = None
    is_down: bool = False


class StoreWatch:
    """Long calls to each store, one at a time.

    Parameters
    ----------
    loop : Loop
        Loop in which everything runs.
    on_change : callable
        Called when a store goes down or is back, also for a moment.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self, loop: Loop, on_change: Callable[[], None], log: EventLog
    ) -> None:
        self._loop = loop
        self._on_change = on_change
        self._log = log
        self._stores: dict[str, _Store] = {}
        self._is_closed = False

    @property
    def down(self) -> tuple[str, ...]:
        """Addresses of the stores that do not answer."""
        return tuple(sorted(s.address for s in self._stores.values() if s.is_down))

    def watch(self, addresses: set[str]) -> None:
        """Watch these stores and no others."""
        for address in self._stores.keys() - addresses:
            del self._stores[address]
        for address in addresses - self._stores.keys():
            store = _Store(address)
            self._stores[address] = store
            self._ask(store)

    def close(self) -> None:
        """Make no further call."""
        self._is_closed = True

    def _ask(self, store: _Store) -> None:
        if self._is_closed or self._stores.get(store.address) is not store:
            return
        position = store.state.position if store.state else 0
        request = watch_request(store.address, position, WAIT_S)
        fetch(
            self._loop,
            parse_address(store.address),
            request,
            WAIT_S + ANSWER_S,
            lambda answer, why: self._take(store, answer, why),
        )

    def _take(self, store: _Store, answer: HttpResponse | None, why: str) -> None:
        if self._is_closed:
            return
        try:
            if answer is None:
                raise GatewayError(why)
            state = decode_state(answer)
        except GatewayError as error:
            self._set_down(store, True, str(error))
            self._loop.call_later(RETRY_S, lambda: self._ask(store))
            return
        has_restarted = store.state is not None and (
            state.incarnation != store.state.incarnation
        )
        if has_restarted and not store.is_down:
            # Routers forget what it held when they hear that it was down.
            self._set_down(store, True, "restarted")
        store.state = state
        self._set_down(store, False, "answers")
        self._loop.call_later(PAUSE_S, lambda: self._ask(store))

    def _set_down(self, store: _Store, is_down: bool, reason: str) -> None:
        if store.is_down == is_down:
            return
        store.is_down = is_down
        event = "store_lost" if is_down else "store_back"
        self._log.warning(event, store=store.address, reason=reason)
        self._on_change()
