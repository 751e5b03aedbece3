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


@define
class _Entry:
    is_stored: bool
    at: float


@define
class _Stream:
    incarnation: str
    sequence: int = 0
    entries: OrderedDict[bytes, _Entry] = field(factory=OrderedDict)


class CacheHints:
    """Late and gappy knowledge about cached prefixes.

    Entries belong to an incarnation of an engine. A gap in the sequence may
    hide any removal, so it drops every stored entry; a new incarnation drops
    all.

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
            self._drop_stored(stream)
        stream.sequence = event.sequence
        for prefix in event.stored:
            self._put(stream, prefix, _Entry(True, now))
        for prefix in event.removed:
            self._put(stream, prefix, _Entry(False, now))

    def expect(
        self, now: float, target: str, incarnation: str, chain: Iterable[bytes]
    ) -> None:
        """Note that a request with this chain was sent to the engine."""
        stream = self._stream(target, incarnation)
        if stream is None:
            return
        for prefix in chain:
            self._put(stream, prefix, _Entry(True, now))

    def forget(self, target: str) -> None:
        """Drop an engine's entries, as when its process was lost."""
        stream = self._streams.get(target)
        if stream is not None:
            self._retire(target, stream.incarnation)
            del self._streams[target]

    def cached_pieces(
        self, now: float, target: str, incarnation: str, chain: tuple[bytes, ...]
    ) -> tuple[int, int]:
        """Return the bounds of the cached leading pieces.

        Returns
        -------
        known : int
            Leading pieces that are believed to be cached.
        limit : int
            Leading pieces above which one is known to be missing.
        """
        stream = self._streams.get(target)
        if stream is None or stream.incarnation != incarnation:
            return 0, len(chain)
        known, oldest = 0, now - self._keep_s
        entries = stream.entries
        for index, prefix in enumerate(chain):
            entry = entries.get(prefix)
            if entry is None or entry.at < oldest:
                continue
            if not entry.is_stored:
                return known, index
            known = index + 1
        return known, len(chain)

    def _stream(self, target: str, incarnation: str) -> _Stream | None:
        """Return the stream of an incarnation, or None if it is over."""
        stream = self._streams.get(target)
        if stream is not None and stream.incarnation == incarnation:
            return stream
        if incarnation in self._retired.get(target, ()):
            return None
        if stream is not None:
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

    def _drop_stored(self, stream: _Stream) -> None:
        stored = [prefix for prefix, entry in stream.entries.items() if entry.is_stored]
        for prefix in stored:
            del stream.entries[prefix]


#: Incarnations of an engine that are remembered as over.
_RETIRED_MAX = 16
