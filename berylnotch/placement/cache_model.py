"""Estimated KV cache contents of engines and KV stores, shared between the routers.

Each router records the shared prefixes that engines prefill for its requests, sends
these records to the other routers as notes, and applies the notes that it receives. An
engine's cache is modelled as a list of prefixes in least recently used order. The
prefixes of one prompt form a chain, and each prefix is a level of this chain. A prefix
is identified by a 32-bit hash (`berylnotch.placement.chains.hash_prefix`).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from enum import Enum
from itertools import islice

from attrs import define, evolve, field, frozen

from berylnotch.group.messages import PromptNote

#: Share of an engine's KV cache that holds prompts. The rest is left for generated
#: tokens, and for requests of other routers of which no note has arrived.
PROMPT_CACHE_SHARE = 0.92

#: Seconds for which a prefix that was sent to a KV store counts as cached there. The
#: time is limited because a store evicts the least recently used prefixes.
STORE_ENTRY_TTL_S = 60.0

#: Seconds after which a pending prefill no longer counts as cached. Callers disconnect
#: after about this time, and the engine drops their requests.
PENDING_PREFILL_TTL_S = 4.0

#: Maximum number of entries for KV stores; the oldest entries are dropped.
MAX_STORE_ENTRIES = 8192

#: Maximum number of notes that are queued for the next report; further notes are
#: dropped.
MAX_QUEUED_NOTES = 256


class Holding(Enum):
    """State of a prefix in an engine's cache, as estimated by a router."""

    NONE = "none"
    PENDING = "reading"
    READY = "ready"


@frozen
class CachedLevels:
    """Number of leading levels of a chain that an engine probably caches.

    Parameters
    ----------
    ready : int
        Leading levels whose prefill is complete.
    ready_or_pending : int
        Leading levels whose prefill is complete or pending; at least ``ready``.
    used_at : float
        Router's time in seconds at which the deepest complete level was last used.
    """

    ready: int = 0
    ready_or_pending: int = 0
    used_at: float = field(default=0.0, eq=False)


#: Result for an engine that caches no level of a chain.
NO_CACHED_LEVELS = CachedLevels()


@define
class _CacheEntry:
    """An entry in the modelled cache of an engine."""

    tokens: int
    is_ready: bool
    used_at: float = 0.0


@define
class _EngineCache:
    """Modelled cache of one engine: entries by prefix hash, least recently used first.

    Entries with negative keys stand for the unshared ends of prompts. They are never
    looked up, but take up cache space.
    """

    entries: OrderedDict[int, _CacheEntry] = field(factory=OrderedDict)
    tokens: int = 0


class CacheModel:
    """Model of the prefixes that engines and KV stores probably cache."""

    def __init__(self) -> None:
        self._caches: dict[str, _EngineCache] = {}
        #: Engines that cache or prefill a prefix, by prefix hash.
        self._engines_by_prefix: dict[int, set[str]] = {}
        self._store_entries: OrderedDict[tuple[str, int], float] = OrderedDict()
        #: Tokens of prompts that no note has reported yet, by the engine that prefills
        #: them.
        self._unreported_tokens: dict[str, int] = {}
        self._notes: list[PromptNote] = []
        self._unshared_count = 0

    def holding(self, now: float, target_id: str, prefix_hash: int) -> Holding:
        """Return the estimated state of a prefix in an engine's cache."""
        cache = self._caches.get(target_id)
        entry = cache.entries.get(prefix_hash) if cache is not None else None
        if entry is None:
            return Holding.NONE
        if entry.is_ready:
            return Holding.READY
        is_pending = now - entry.used_at < PENDING_PREFILL_TTL_S
        return Holding.PENDING if is_pending else Holding.NONE

    def cached_levels(
        self, now: float, target_id: str, hashes: Sequence[int]
    ) -> CachedLevels:
        """Return the leading levels of a chain that an engine probably caches."""
        if target_id not in self._caches:
            return NO_CACHED_LEVELS
        ready = ready_or_pending = 0
        used_at = 0.0
        for count in range(len(hashes), 0, -1):
            holding = self.holding(now, target_id, hashes[count - 1])
            if holding is not Holding.NONE and not ready_or_pending:
                ready_or_pending = count
            if holding is Holding.READY:
                ready = count
                used_at = self._caches[target_id].entries[hashes[count - 1]].used_at
                break
        return (
            CachedLevels(ready, ready_or_pending, used_at)
            if ready_or_pending
            else NO_CACHED_LEVELS
        )

    def holders(
        self, hashes: Sequence[int], limit: int, draw: Callable[[int], int]
    ) -> set[str]:
        """Return engines that may cache or prefill a level of a chain.

        Engines with deeper levels are preferred. If the engines of a level exceed the
        rest of the limit, a random contiguous range of these engines is selected.

        Parameters
        ----------
        hashes : sequence of int
            Prefix hashes of the chain's levels.
        limit : int
            Maximum number of engines to return.
        draw : callable
            Returns a random integer from 0 up to, but excluding, its argument.
        """
        selected: set[str] = set()
        for prefix_hash in reversed(hashes):
            engines = self._engines_by_prefix.get(prefix_hash, ())
            free_places = limit - len(selected)
            first = (
                draw(len(engines) - free_places + 1)
                if len(engines) > free_places
                else 0
            )
            selected.update(islice(engines, first, first + free_places))
            if len(selected) >= limit:
                break
        return selected

    def stored_levels(self, now: float, store: str, hashes: Sequence[int]) -> int:
        """Return how many leading levels of a chain a KV store probably caches."""
        for count in range(len(hashes), 0, -1):
            if self.is_stored(now, store, hashes[count - 1]):
                return count
        return 0

    def add_unshared_tokens(self, target_id: str, tokens: int) -> None:
        """Record that an engine prefills a prompt without shared levels.

        The tokens are added to the next note of a pending prefill at the engine, so
        that other routers account for the cache space.
        """
        self._unreported_tokens[target_id] = (
            self._unreported_tokens.get(target_id, 0) + tokens
        )

    def is_stored(self, now: float, store: str, prefix_hash: int) -> bool:
        """Return whether a KV store probably caches a prefix."""
        saved_at = self._store_entries.get((store, prefix_hash))
        return saved_at is not None and now - saved_at < STORE_ENTRY_TTL_S

    def record_prefill(self, now: float, note: PromptNote, capacity: int) -> None:
        """Record a pending or complete prefill, and queue a note for other routers."""
        if not note.is_ready:
            unreported_tokens = self._unreported_tokens.pop(note.holder, 0)
            if unreported_tokens:
                note = evolve(note, own_tokens=note.own_tokens + unreported_tokens)
        self._record_prefill(now, note, capacity)
        self._queue_note(note)

    def cancel_prefill(self, target_id: str, prefix_hash: int) -> None:
        """Remove the entry of a pending prefill that the engine did not complete."""
        cache = self._caches.get(target_id)
        entry = cache.entries.get(prefix_hash) if cache is not None else None
        if entry is not None and not entry.is_ready:
            self._evict(cache, target_id, prefix_hash)

    def record_store_transfer(self, now: float, note: PromptNote) -> None:
        """Record that a KV store received a prefix, and queue a note about it."""
        self._record_stored(now, note)
        self._queue_note(note)

    def apply_note(self, now: float, note: PromptNote, capacity: int | None) -> None:
        """Apply a note of another router.

        ``capacity`` is the size of the engine's cache in tokens, None for a KV store.
        """
        if capacity is None:
            self._record_stored(now, note)
        else:
            self._record_prefill(now, note, capacity)

    def take_notes(self) -> tuple[PromptNote, ...]:
        """Return the queued notes for the other routers, and clear the queue."""
        notes, self._notes = tuple(self._notes), []
        return notes

    def forget_engine(self, target_id: str) -> None:
        """Drop the entries of an engine that has restarted or is gone."""
        cache = self._caches.pop(target_id, None)
        self._unreported_tokens.pop(target_id, None)
        for prefix_hash in cache.entries if cache is not None else ():
            self._remove_holder(prefix_hash, target_id)

    def forget_stores(self) -> None:
        """Drop all entries of KV stores, for instance after the loss of a store."""
        self._store_entries.clear()

    def _queue_note(self, note: PromptNote) -> None:
        if len(self._notes) < MAX_QUEUED_NOTES:
            self._notes.append(note)

    def _record_stored(self, now: float, note: PromptNote) -> None:
        key = (note.holder, note.prompt)
        self._store_entries[key] = now
        self._store_entries.move_to_end(key)
        while len(self._store_entries) > MAX_STORE_ENTRIES:
            self._store_entries.popitem(last=False)

    def _record_prefill(self, now: float, note: PromptNote, capacity: int) -> None:
        cache = self._caches.setdefault(note.holder, _EngineCache())
        previous = cache.entries.pop(note.prompt, None)
        was_ready = previous is not None and previous.is_ready
        cache.tokens += note.tokens - (previous.tokens if previous else 0)
        cache.entries[note.prompt] = _CacheEntry(
            note.tokens, note.is_ready or was_ready, now
        )
        self._engines_by_prefix.setdefault(note.prompt, set()).add(note.holder)
        if note.own_tokens:
            # The unshared end of a prompt gives no cache hits, but takes up space.
            self._unshared_count += 1
            cache.entries[-self._unshared_count] = _CacheEntry(note.own_tokens, False)
            cache.tokens += note.own_tokens
        while cache.tokens > capacity * PROMPT_CACHE_SHARE and len(cache.entries) > 1:
            self._evict(cache, note.holder, next(iter(cache.entries)))

    def _evict(self, cache: _EngineCache, holder: str, prefix_hash: int) -> None:
        cache.tokens -= cache.entries.pop(prefix_hash).tokens
        self._remove_holder(prefix_hash, holder)

    def _remove_holder(self, prefix_hash: int, holder: str) -> None:
        holders = self._engines_by_prefix.get(prefix_hash)
        if holders is not None:
            holders.discard(holder)
            if not holders:
                del self._engines_by_prefix[prefix_hash]
