"""Rate limit for the prompt notes that the leader forwards to all routers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import evolve

from berylnotch.group.messages import PromptNote
from berylnotch.placement.cache_model import CacheModel, Holding

#: Rate limit of forwarded notes, in notes per second. A note has 13 bytes, so the notes
#: use a third of the 6 KB/s of control traffic that a router may receive.
NOTES_PER_S = 150.0

#: Burst size of the rate limit, in notes: the capacity of its token bucket.
NOTES_BURST = 150.0

#: Share of the burst that is reserved for notes of prefixes that routers do not know to
#: be cached.
NEW_NOTES_RESERVE = 0.5

#: Part of `NEW_NOTES_RESERVE` that only notes of finished prefills may use, as a share
#: of the burst. These notes have the highest priority, because a prefix stays cached
#: after its prefill until it is evicted.
READY_NOTES_RESERVE = 0.25


class NoteFilter:
    """Limits the rate of forwarded prompt notes; prefers notes of unknown prefixes.

    The filter is designed for thousands of long prompts per second, most of whose
    prefixes an engine has cached already. A router that knows that an engine caches a
    prefix learns little from the note of another cache hit on this engine: the prefix
    moves in the least-recently-used order, and the rest of the prompt occupies cache
    memory. If a note is dropped, the tokens of the rest of its prompt are added to the
    next forwarded note of the same engine.

    Parameters
    ----------
    capacity_of : callable
        Returns the cache capacity of an engine in tokens; None for a store.
    """

    def __init__(self, capacity_of: Callable[[str], int | None]) -> None:
        self._capacity_of = capacity_of
        #: Cache contents that routers infer from the forwarded notes.
        self._known_by_routers = CacheModel()
        #: Sums of `own_tokens` in the notes dropped since the last forwarded note, by
        #: engine.
        self._dropped_tokens: dict[str, int] = {}
        self._bucket_level = NOTES_BURST
        self._refilled_at: float | None = None
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of notes that were not forwarded."""
        return self._dropped

    def select_notes(
        self, now: float, notes: Iterable[PromptNote]
    ) -> tuple[PromptNote, ...]:
        """Return the notes to forward now, and drop the others."""
        self._refill(now)
        forwarded = (self._forward(now, note) for note in notes)
        return tuple(note for note in forwarded if note is not None)

    def forget_engine(self, target_id: str) -> None:
        """Discard the cache contents inferred for an engine, as routers do."""
        self._known_by_routers.forget_engine(target_id)
        self._dropped_tokens.pop(target_id, None)

    def _forward(self, now: float, note: PromptNote) -> PromptNote | None:
        """Return the note to forward, or None if it is dropped."""
        capacity = self._capacity_of(note.holder)
        needed_level = 1.0 + self._reserved_share(now, note, capacity) * NOTES_BURST
        if self._bucket_level < needed_level:
            self._dropped += 1
            self._dropped_tokens[note.holder] = (
                self._dropped_tokens.get(note.holder, 0) + note.own_tokens
            )
            return None
        self._bucket_level -= 1
        dropped_tokens = self._dropped_tokens.pop(note.holder, 0)
        if dropped_tokens:
            note = evolve(note, own_tokens=note.own_tokens + dropped_tokens)
        self._known_by_routers.apply_note(now, note, capacity)
        return note

    def _reserved_share(
        self, now: float, note: PromptNote, capacity: int | None
    ) -> float:
        """Return the share of the burst that this note must leave to other notes."""
        if capacity is None:
            is_known = self._known_by_routers.is_stored(now, note.holder, note.prompt)
            return NEW_NOTES_RESERVE if is_known else READY_NOTES_RESERVE
        holding = self._known_by_routers.holding(now, note.holder, note.prompt)
        if note.is_ready:
            return NEW_NOTES_RESERVE if holding is Holding.READY else 0.0
        return READY_NOTES_RESERVE if holding is Holding.NONE else NEW_NOTES_RESERVE

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            refilled_level = (
                self._bucket_level + (now - self._refilled_at) * NOTES_PER_S
            )
            self._bucket_level = min(NOTES_BURST, refilled_level)
        self._refilled_at = now
