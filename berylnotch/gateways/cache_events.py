"""Requests for the cache events of engines, and their responses."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from berylnotch.gateways.answers import decode_response
from berylnotch.gateways.engine import EngineAddress, credential_headers
from berylnotch.gateways.errors import InvalidResponseError
from berylnotch.gateways.http import UpstreamRequest

#: Path at which an engine serves its cache events.
CACHE_EVENTS_PATH = "/standin/cache-events"


class CacheEventKind(Enum):
    """Change of a block in an engine's cache."""

    STORED = "stored"
    REMOVED = "removed"


@frozen
class CacheEvent:
    """One change of an engine's cache.

    Attributes
    ----------
    sequence : int
        Number of the event in the engine's incarnation, from 1.
    kind : CacheEventKind
        Change of the block.
    block : bytes
        Hash of the prompt prefix that ends with the block.
    """

    sequence: int
    kind: CacheEventKind
    block: bytes


@frozen
class CacheEvents:
    """Events of one incarnation of an engine, by increasing sequence number.

    Attributes
    ----------
    incarnation, weights : str
        Incarnation and weights version that the events belong to.
    last_sequence : int
        Sequence number of the engine's newest event.
    events : tuple of CacheEvent
        Events after the requested sequence number; some may be missing.
    """

    incarnation: str
    weights: str
    last_sequence: int
    events: tuple[CacheEvent, ...]


@frozen
class _EventRecord:
    sequence: int
    kind: CacheEventKind
    block: str


@frozen
class _EventsResponse:
    incarnation: str
    weights: str
    last: int
    events: tuple[_EventRecord, ...]


def build_cache_events(
    engine: EngineAddress, after_sequence: int, timeout_s: float
) -> UpstreamRequest:
    """Build the request for the events after a sequence number."""
    return UpstreamRequest(
        url=f"http://{engine.address}{CACHE_EVENTS_PATH}?after={after_sequence}",
        method="GET",
        headers=credential_headers(engine.credential),
        body=b"",
        timeout_s=timeout_s,
    )


def read_cache_events(status: int, body: bytes) -> CacheEvents:
    """Decode cache events; raises `InvalidResponseError` or `BusyError`."""
    response = decode_response(_EventsResponse, status, body)
    events = tuple(_decode_event(record) for record in response.events)
    for earlier, later in zip(events, events[1:], strict=False):
        if later.sequence <= earlier.sequence:
            raise InvalidResponseError(
                "cache events are not in the order of their sequence numbers"
            )
    return CacheEvents(response.incarnation, response.weights, response.last, events)


def _decode_event(record: _EventRecord) -> CacheEvent:
    try:
        block = bytes.fromhex(record.block)
    except ValueError as error:
        raise InvalidResponseError(
            "block hash in a cache event is not hexadecimal"
        ) from error
    return CacheEvent(record.sequence, record.kind, block)
