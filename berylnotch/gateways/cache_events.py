"""Cache events of engines."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from berylnotch.gateways.answers import read_answer
from berylnotch.gateways.engine import EngineAddress, credential_headers
from berylnotch.gateways.errors import BadAnswerError
from berylnotch.gateways.http import UpstreamRequest

#: Path of the events at an engine.
CACHE_EVENTS_PATH = "/standin/cache-events"


class CacheEventKind(Enum):
    """What happened to a block."""

    STORED = "stored"
    REMOVED = "removed"


@frozen
class CacheEvent:
    """One event.

    Attributes
    ----------
    sequence : int
        Number in the stream of the engine's incarnation, from 1.
    kind : CacheEventKind
        What happened.
    block : bytes
        Hash of the prefix that ends with the block.
    """

    sequence: int
    kind: CacheEventKind
    block: bytes


@frozen
class CacheEvents:
    """Events of one incarnation of an engine, in order.

    Attributes
    ----------
    incarnation, weights : str
        Process and weights version that the events belong to.
    last : int
        Number of the engine's newest event.
    events : tuple of CacheEvent
        Events after the number asked for; some may be missing.
    """

    incarnation: str
    weights: str
    last: int
    events: tuple[CacheEvent, ...]


@frozen
class _Record:
    sequence: int
    kind: CacheEventKind
    block: str


@frozen
class _Answer:
    incarnation: str
    weights: str
    last: int
    events: tuple[_Record, ...]


def build_cache_events(
    engine: EngineAddress, after: int, timeout_s: float
) -> UpstreamRequest:
    """Build the request for the events after a number."""
    return UpstreamRequest(
        url=f"http://{engine.address}{CACHE_EVENTS_PATH}?after={after}",
        method="GET",
        headers=credential_headers(engine.credential),
        body=b"",
        timeout_s=timeout_s,
    )


def read_cache_events(status: int, body: bytes) -> CacheEvents:
    """Read events; raises `BadAnswerError` or `BusyError`."""
    answer = read_answer(_Answer, status, body)
    events = tuple(_event(record) for record in answer.events)
    for earlier, later in zip(events, events[1:], strict=False):
        if later.sequence <= earlier.sequence:
            raise BadAnswerError("cache events out of order")
    return CacheEvents(answer.incarnation, answer.weights, answer.last, events)


def _event(record: _Record) -> CacheEvent:
    try:
        block = bytes.fromhex(record.block)
    except ValueError as error:
        raise BadAnswerError("block hash isn't hexadecimal") from error
    return CacheEvent(record.sequence, record.kind, block)
