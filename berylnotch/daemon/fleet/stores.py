"""Health checks of KV-cache stores, so that engines do not wait for a failed store."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from berylnotch.errors import GatewayError
from berylnotch.net.fetch import MAX_LIST_BYTES, fetch
from berylnotch.net.messages import HttpResponse
from berylnotch.platform.stores import StoreState, decode_state, watch_request
from berylnotch.util.address import parse_address
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds for which a store may hold a long poll open; a shorter poll counts as a
#: probe.
LONG_POLL_S = 0.9

#: Seconds after the end of a long poll within which the response must arrive.
RESPONSE_MARGIN_S = 0.5

#: Delay in seconds before a store that did not answer is polled again.
RETRY_DELAY_S = 0.3

#: Delay in seconds between two successful polls. It bounds the rate of polls while a
#: store reports many events.
POLL_DELAY_S = 0.3


@define
class _Store:
    """A store and its last known state."""

    address: str
    state: StoreState | None = None
    is_down: bool = False


class StoreMonitor:
    """Polls each store with one long poll at a time.

    Parameters
    ----------
    loop : Loop
        Event loop of the process.
    on_change : callable
        Called each time a store goes down or comes back, including a restart
        that causes no failed poll.
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
        """Addresses of the stores that are down."""
        return tuple(sorted(s.address for s in self._stores.values() if s.is_down))

    def watch(self, addresses: set[str]) -> None:
        """Poll exactly these stores."""
        for address in self._stores.keys() - addresses:
            del self._stores[address]
        for address in addresses - self._stores.keys():
            store = _Store(address)
            self._stores[address] = store
            self._poll(store)

    def close(self) -> None:
        """Stop polling."""
        self._is_closed = True

    def _poll(self, store: _Store) -> None:
        if self._is_closed or self._stores.get(store.address) is not store:
            return
        position = store.state.position if store.state else 0
        request = watch_request(store.address, position, LONG_POLL_S)
        fetch(
            self._loop,
            parse_address(store.address),
            request,
            LONG_POLL_S + RESPONSE_MARGIN_S,
            lambda response, failure: self._on_response(store, response, failure),
            MAX_LIST_BYTES,
        )

    def _on_response(
        self, store: _Store, response: HttpResponse | None, failure: str
    ) -> None:
        if self._is_closed:
            return
        try:
            if response is None:
                raise GatewayError(failure)
            state = decode_state(response)
        except GatewayError as error:
            self._set_down(store, True, str(error))
            self._loop.call_later(RETRY_DELAY_S, lambda: self._poll(store))
            return
        has_restarted = store.state is not None and (
            state.incarnation != store.state.incarnation
        )
        if has_restarted and not store.is_down:
            # Routers drop their records of a store's content when it goes down.
            self._set_down(store, True, "restarted")
        store.state = state
        self._set_down(store, False, "answers")
        self._loop.call_later(POLL_DELAY_S, lambda: self._poll(store))

    def _set_down(self, store: _Store, is_down: bool, reason: str) -> None:
        if store.is_down == is_down:
            return
        store.is_down = is_down
        event = "store_lost" if is_down else "store_back"
        self._log.warning(event, store=store.address, reason=reason)
        self._on_change()
