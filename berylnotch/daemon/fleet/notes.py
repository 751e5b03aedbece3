"""Which notes of prompts the leader passes on to all routers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import evolve

from berylnotch.group.messages import PromptNote
from berylnotch.placement.mirror import Holding, PromptMemory

#: Notes a second that are passed on. A note is 13 bytes; so many take a third of the
#: 6 KB/s that a router may spend on control.
NOTES_PER_S = 150.0

#: Notes that may be passed on at once, after seconds with few.
NOTES_AT_ONCE = 150.0

#: Parts of these that are kept: for what routers do not believe already, and of that
#: for ends of readings, after which a prompt is there until it is displaced.
NEWS_PART = 0.5
ENDS_PART = 0.25


class NoteFilter:
    """Bounds the notes that every router gets, and prefers what it does not know.

    It answers this load: thousands of long prompts a second, most of which an engine
    holds already. Who knows that an engine holds a prompt learns nothing from the
    next reading there; only its place among the least recently used ones changes, and
    what the rest of the prompt takes of the memory, which goes with a later note.

    Parameters
    ----------
    capacity_of : callable
        Returns the tokens that a holder's memory has room for; None for a store.
    """

    def __init__(self, capacity_of: Callable[[str], int | None]) -> None:
        self._capacity_of = capacity_of
        #: What routers believe that go by the notes which were passed on.
        self._told = PromptMemory()
        #: Own tokens of the notes that were not passed on, by engine.
        self._untold: dict[str, int] = {}
        self._left = NOTES_AT_ONCE
        self._at: float | None = None
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Notes that were not passed on."""
        return self._dropped

    def take(self, now: float, notes: Iterable[PromptNote]) -> tuple[PromptNote, ...]:
        """Return the notes to pass on now."""
        self._refill(now)
        passed = (self._pass(now, note) for note in notes)
        return tuple(note for note in passed if note is not None)

    def forget_engine(self, target_id: str) -> None:
        """Forget what an engine held, as routers do."""
        self._told.forget_engine(target_id)
        self._untold.pop(target_id, None)

    def _pass(self, now: float, note: PromptNote) -> PromptNote | None:
        """Return the note to pass on, None to leave it out."""
        capacity = self._capacity_of(note.holder)
        needed = 1.0 + self._kept_part(now, note, capacity) * NOTES_AT_ONCE
        if self._left < needed:
            self._dropped += 1
            self._untold[note.holder] = (
                self._untold.get(note.holder, 0) + note.own_tokens
            )
            return None
        self._left -= 1
        untold = self._untold.pop(note.holder, 0)
        if untold:
            note = evolve(note, own_tokens=note.own_tokens + untold)
        self._told.hear(now, note, capacity)
        return note

    def _kept_part(self, now: float, note: PromptNote, capacity: int | None) -> float:
        """Return the part of the notes at once that is kept for others than this."""
        if capacity is None:
            is_known = self._told.is_saved(now, note.holder, note.prompt)
            return NEWS_PART if is_known else ENDS_PART
        holding = self._told.holding(now, note.holder, note.prompt)
        if note.is_ready:
            return NEWS_PART if holding is Holding.READY else 0.0
        return ENDS_PART if holding is Holding.NONE else NEWS_PART

    def _refill(self, now: float) -> None:
        if self._at is not None:
            refilled = self._left + (now - self._at) * NOTES_PER_S
            self._left = min(NOTES_AT_ONCE, refilled)
        self._at = now
