"""What cache events tell about the engines' caches."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field, frozen


@frozen
class CacheEvent:
    """One event of an engine's cache stream.

    Parameters
    ----------
    target : str
        Name of the engine.
    incarnation : str
        Process that sent it.
    sequence : int
        Number of the event in this incarnation's stream, from 1.
    stored, removed : tuple of bytes
        Prefix hashes that entered and left the cache.
    """

    target: str
    incarnation: str
    sequence: int
    stored: tuple[bytes, ...] = ()
    removed: tuple[bytes, ...] = ()


@frozen
class Hint:
    """What is known of a chain in one engine's cache, in leading pieces.

    Parameters
    ----------
    known : int
        Pieces that events or own requests tell of, with no gap since.
    likely : int
        Pieces that were told of before a gap; at least ``known``.
    limit : int
        Pieces above which one is known to be missing.
    """

    known: int
    likely: int
    limit: int


@define
class _Entry:
    is_stored: bool
    at: float
    gaps: int


@define
class _Stream:
    incarnation: str
    sequence: int = 0
    gaps: int = 0
    entries: OrderedDict[bytes, _Entry] = field(factory=OrderedDict)


class CacheHints:
    """Late and gappy knowledge about cached prefixes.

    Entries belong to an incarnation of an engine, and a new incarnation drops
    all. A gap in the sequence may hide the removal of any entry, so nothing
    held is known any more: what was stored is only likely, until it is told of
    again, and what was removed is forgotten.

    Parameters
    ----------
    max_entries : int, default=16384
        Entries kept for each engine; the oldest are dropped.
    keep_s : float, default=30.0
        Age at which an entry is no longer used.
    """

    def __init__(self, max_entries: int = 16_384, keep_s: float = 30.0) -> None:
        self._max_entries = max_entries
        self._keep_s = keep_s
        self._streams: dict[str, _Stream] = {}
        self._retired: dict[str, OrderedDict[str, None]] = {}

    def apply(self, now: float, event: CacheEvent) -> None:
        """Take an event; repeats and events of older incarnations are ignored."""
        stream = self._stream(event.target, event.incarnation)
        if stream is None or event.sequence <= stream.sequence:
            return
        if event.sequence != stream.sequence + 1:
            stream.gaps += 1
        stream.sequence = event.sequence
        for prefix in event.stored:
            self._put(stream, prefix, _Entry(True, now, stream.gaps))
        for prefix in event.removed:
            self._put(stream, prefix, _Entry(False, now, stream.gaps))

    def expect(
        self, now: float, target: str, incarnation: str, chain: Iterable[bytes]
    ) -> None:
        """Note that a request with this chain was sent to the engine."""
        stream = self._streams.get(target)
        if stream is None or stream.incarnation != incarnation:
            # Events tell of restarts more surely than a request does.
            if stream is not None and stream.sequence:
                return
            stream = _Stream(incarnation)
            self._streams[target] = stream
        for prefix in chain:
            self._put(stream, prefix, _Entry(True, now, stream.gaps))

    def forget(self, target: str) -> None:
        """Drop an engine's entries, as when its process was lost."""
        stream = self._streams.get(target)
        if stream is not None:
            stream.entries.clear()
            stream.gaps += 1

    def cached_pieces(
        self, now: float, target: str, incarnation: str, chain: tuple[bytes, ...]
    ) -> Hint:
        """Return what is known of a chain in an engine's cache."""
        stream = self._streams.get(target)
        if stream is None or stream.incarnation != incarnation:
            return Hint(0, 0, len(chain))
        if not _is_touched(stream, chain):
            return Hint(0, 0, len(chain))
        known, likely = 0, 0
        oldest = now - self._keep_s
        for index, prefix in enumerate(chain):
            entry = stream.entries.get(prefix)
            if entry is None or entry.at < oldest:
                continue
            is_confirmed = entry.gaps == stream.gaps
            if entry.is_stored:
                likely = index + 1
                known = likely if is_confirmed else known
            elif is_confirmed:
                return Hint(known, likely, index)
        return Hint(known, likely, len(chain))

    def newest(self, now: float, target: str, chain: tuple[bytes, ...]) -> Hint:
        """Return what is known of a chain in the newest process's cache."""
        stream = self._streams.get(target)
        if stream is None:
            return Hint(0, 0, len(chain))
        return self.cached_pieces(now, target, stream.incarnation, chain)

    def _stream(self, target: str, incarnation: str) -> _Stream | None:
        """Return the stream of an incarnation, or None if it is over."""
        stream = self._streams.get(target)
        if stream is not None and stream.incarnation == incarnation:
            return stream
        if incarnation in self._retired.get(target, ()):
            return None
        if stream is not None and stream.sequence:
            self._retire(target, stream.incarnation)
        stream = _Stream(incarnation)
        self._streams[target] = stream
        return stream

    def _retire(self, target: str, incarnation: str) -> None:
        retired = self._retired.setdefault(target, OrderedDict())
        retired[incarnation] = None
        while len(retired) > _RETIRED_MAX:
            retired.popitem(last=False)

    def _put(self, stream: _Stream, prefix: bytes, entry: _Entry) -> None:
        stream.entries[prefix] = entry
        stream.entries.move_to_end(prefix)
        while len(stream.entries) > self._max_entries:
            stream.entries.popitem(last=False)


def _is_touched(stream: _Stream, chain: tuple[bytes, ...]) -> bool:
    """Look at three pieces only: caches evict the deepest pieces first."""
    if not chain:
        return False
    entries = stream.entries
    middle = chain[len(chain) // 2]
    return chain[0] in entries or middle in entries or chain[-1] in entries


#: Incarnations of an engine that are remembered as over.
_RETIRED_MAX = 16
