"""Estimates of the engines' cache contents, derived from cache events."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field, frozen


@frozen
class CacheEvent:
    """One event from an engine's stream of cache changes.

    Parameters
    ----------
    target : str
        Name of the engine.
    incarnation : str
        Identity of the process that sent the event.
    sequence : int
        Sequence number in this incarnation's stream, counted from 1.
    stored, removed : tuple of bytes
        Hashes of the prefixes that were added to and evicted from the cache.
    """

    target: str
    incarnation: str
    sequence: int
    stored: tuple[bytes, ...] = ()
    removed: tuple[bytes, ...] = ()


@frozen
class Hint:
    """How much of a chain one engine probably caches, in leading blocks.

    Parameters
    ----------
    confirmed : int
        Blocks reported by events or implied by this router's requests after the latest
        gap in the event stream.
    likely : int
        Blocks reported or implied before or after that gap; at least ``confirmed``.
    limit : int
        Upper bound: the index of the first block that is known to be evicted, or the
        length of the chain.
    """

    confirmed: int
    likely: int
    limit: int


@define
class _Entry:
    is_stored: bool
    updated_at: float
    gap_count: int


@define
class _Stream:
    incarnation: str
    sequence: int = 0
    gap_count: int = 0
    entries: OrderedDict[bytes, _Entry] = field(factory=OrderedDict)


class CacheHints:
    """Cached prefixes of each engine, derived from events that may be late or missing.

    Entries belong to an incarnation of an engine; a new incarnation drops all of
    them. A gap in the sequence numbers may hide the eviction of any entry, so no
    entry from before the gap is confirmed any more: a stored prefix is only likely to
    be cached until an event or a request confirms it again, and evictions from before
    the gap are disregarded.

    Parameters
    ----------
    max_entries : int, default=16384
        Maximum number of entries kept for each engine; the least recently updated
        entries are dropped.
    ttl_s : float, default=30.0
        Age in seconds after which an entry is no longer used.
    """

    def __init__(self, max_entries: int = 16_384, ttl_s: float = 30.0) -> None:
        self._max_entries = max_entries
        self._ttl_s = ttl_s
        self._streams: dict[str, _Stream] = {}
        self._ended: dict[str, OrderedDict[str, None]] = {}

    def apply(self, now: float, event: CacheEvent) -> None:
        """Apply an event; ignore duplicates and events of ended incarnations."""
        stream = self._stream_of(event.target, event.incarnation)
        if stream is None or event.sequence <= stream.sequence:
            return
        if event.sequence != stream.sequence + 1:
            stream.gap_count += 1
        stream.sequence = event.sequence
        for prefix in event.stored:
            self._put_entry(stream, prefix, _Entry(True, now, stream.gap_count))
        for prefix in event.removed:
            self._put_entry(stream, prefix, _Entry(False, now, stream.gap_count))

    def record_request(
        self, now: float, target: str, incarnation: str, chain: Iterable[bytes]
    ) -> None:
        """Record that a request with this chain was sent to the engine."""
        stream = self._streams.get(target)
        if stream is None or stream.incarnation != incarnation:
            # Events are the more reliable evidence of a restart: the request may name
            # an outdated incarnation.
            if stream is not None and stream.sequence:
                return
            stream = _Stream(incarnation)
            self._streams[target] = stream
        for prefix in chain:
            self._put_entry(stream, prefix, _Entry(True, now, stream.gap_count))

    def forget(self, target: str) -> None:
        """Drop an engine's entries, for instance after the loss of its process."""
        stream = self._streams.get(target)
        if stream is not None:
            stream.entries.clear()
            stream.gap_count += 1

    def cached_blocks(
        self, now: float, target: str, incarnation: str, chain: tuple[bytes, ...]
    ) -> Hint:
        """Return how much of a chain an incarnation of an engine probably caches."""
        stream = self._streams.get(target)
        if stream is None or stream.incarnation != incarnation:
            return Hint(0, 0, len(chain))
        if not _may_be_cached(stream, chain):
            return Hint(0, 0, len(chain))
        confirmed, likely = 0, 0
        min_updated_at = now - self._ttl_s
        for index, prefix in enumerate(chain):
            entry = stream.entries.get(prefix)
            if entry is None or entry.updated_at < min_updated_at:
                continue
            is_confirmed = entry.gap_count == stream.gap_count
            if entry.is_stored:
                likely = index + 1
                confirmed = likely if is_confirmed else confirmed
            elif is_confirmed:
                return Hint(confirmed, likely, index)
        return Hint(confirmed, likely, len(chain))

    def newest_cached_blocks(
        self, now: float, target: str, chain: tuple[bytes, ...]
    ) -> Hint:
        """Return how much of a chain an engine's newest incarnation probably caches."""
        stream = self._streams.get(target)
        if stream is None:
            return Hint(0, 0, len(chain))
        return self.cached_blocks(now, target, stream.incarnation, chain)

    def _stream_of(self, target: str, incarnation: str) -> _Stream | None:
        """Return the stream of an incarnation, or None if the incarnation has ended."""
        stream = self._streams.get(target)
        if stream is not None and stream.incarnation == incarnation:
            return stream
        if incarnation in self._ended.get(target, ()):
            return None
        if stream is not None and stream.sequence:
            self._add_ended(target, stream.incarnation)
        stream = _Stream(incarnation)
        self._streams[target] = stream
        return stream

    def _add_ended(self, target: str, incarnation: str) -> None:
        ended = self._ended.setdefault(target, OrderedDict())
        ended[incarnation] = None
        while len(ended) > _MAX_ENDED_INCARNATIONS:
            ended.popitem(last=False)

    def _put_entry(self, stream: _Stream, prefix: bytes, entry: _Entry) -> None:
        stream.entries[prefix] = entry
        stream.entries.move_to_end(prefix)
        while len(stream.entries) > self._max_entries:
            stream.entries.popitem(last=False)


def _may_be_cached(stream: _Stream, chain: tuple[bytes, ...]) -> bool:
    """Check the first, middle and last block only, to save time on long chains.

    Caches evict the deepest blocks first, so a partly cached chain still has its first
    blocks.
    """
    if not chain:
        return False
    entries = stream.entries
    middle = chain[len(chain) // 2]
    return chain[0] in entries or middle in entries or chain[-1] in entries


#: Ended incarnations that are remembered for each engine, so that their late events
#: are ignored.
_MAX_ENDED_INCARNATIONS = 16
