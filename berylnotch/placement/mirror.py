"""Which shared prompts engines and stores probably hold, over all routers.

Each router notes the prompts that its requests had read, and hears the notes of the
others. An engine's memory is mirrored as a list of least recently used prompts.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

from attrs import define, field

from berylnotch.group.messages import PromptNote

#: Part of an engine's memory that holds long prompts; short ones and requests that
#: run take the rest.
LONG_PART = 0.85

#: Seconds for which a prompt that was sent to a store counts as held there. A store
#: drops what was not used for longest.
SAVED_S = 60.0

#: Seconds after which a prompt that an engine was about to read counts as not held;
#: callers leave about then, and the engine drops their requests.
READING_S = 4.0

#: Prompts of stores that are remembered at once.
MAX_SAVED = 8192

#: Notes that wait for the next report; more are dropped.
MAX_NOTES = 256


class Holding(Enum):
    """Whether an engine probably holds a prompt."""

    NONE = "none"
    READING = "reading"
    READY = "ready"


@define
class _Entry:
    """A prompt in an engine's memory."""

    tokens: int
    is_ready: bool
    noted_at: float = 0.0


@define
class _Memory:
    """Prompts of one engine by their marks, the least recently used first.

    Keys below zero stand for the rest of prompts, which nobody looks for.
    """

    prompts: OrderedDict[int, _Entry] = field(factory=OrderedDict)
    tokens: int = 0


class PromptMemory:
    """Mirror of what engines and stores hold."""

    def __init__(self) -> None:
        self._engines: dict[str, _Memory] = {}
        self._saved: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._notes: list[PromptNote] = []
        self._reads = 0

    def holding(self, now: float, target_id: str, prompt: int) -> Holding:
        """Tell whether an engine probably holds a prompt, or is about to."""
        memory = self._engines.get(target_id)
        entry = memory.prompts.get(prompt) if memory is not None else None
        if entry is None:
            return Holding.NONE
        if entry.is_ready:
            return Holding.READY
        is_fresh = now - entry.noted_at < READING_S
        return Holding.READING if is_fresh else Holding.NONE

    def is_saved(self, now: float, store: str, prompt: int) -> bool:
        """Tell whether a store probably holds a prompt."""
        saved_at = self._saved.get((store, prompt))
        return saved_at is not None and now - saved_at < SAVED_S

    def read(self, now: float, note: PromptNote, capacity: int) -> None:
        """Note that an engine reads a prompt, and tell the other routers."""
        self._take_read(now, note, capacity)
        self._add(note)

    def not_read(self, target_id: str, prompt: int) -> None:
        """Note that an engine has not read a prompt after all."""
        memory = self._engines.get(target_id)
        entry = memory.prompts.get(prompt) if memory is not None else None
        if entry is not None and not entry.is_ready:
            del memory.prompts[prompt]
            memory.tokens -= entry.tokens

    def saved(self, now: float, note: PromptNote) -> None:
        """Note that a prompt is sent to a store, and tell the other routers."""
        self._take_saved(now, note)
        self._add(note)

    def hear(self, now: float, note: PromptNote, capacity: int | None) -> None:
        """Take a note of another router; a store has no capacity."""
        if capacity is None:
            self._take_saved(now, note)
        else:
            self._take_read(now, note, capacity)

    def take_notes(self) -> tuple[PromptNote, ...]:
        """Return the notes for the other routers, and forget them."""
        notes, self._notes = tuple(self._notes), []
        return notes

    def forget_engine(self, target_id: str) -> None:
        """Forget what an engine held, since it started again or is gone."""
        self._engines.pop(target_id, None)

    def forget_stores(self) -> None:
        """Forget what stores hold, as after a loss of one."""
        self._saved.clear()

    def _add(self, note: PromptNote) -> None:
        if len(self._notes) < MAX_NOTES:
            self._notes.append(note)

    def _take_saved(self, now: float, note: PromptNote) -> None:
        key = (note.holder, note.prompt)
        self._saved[key] = now
        self._saved.move_to_end(key)
        while len(self._saved) > MAX_SAVED:
            self._saved.popitem(last=False)

    def _take_read(self, now: float, note: PromptNote, capacity: int) -> None:
        memory = self._engines.setdefault(note.holder, _Memory())
        known = memory.prompts.pop(note.prompt, None)
        was_ready = known is not None and known.is_ready
        memory.tokens += note.tokens - (known.tokens if known else 0)
        memory.prompts[note.prompt] = _Entry(
            note.tokens, note.is_ready or was_ready, now
        )
        if note.own_tokens:
            # The rest of a prompt is of no use to others, but takes its place.
            self._reads += 1
            memory.prompts[-self._reads] = _Entry(note.own_tokens, False)
            memory.tokens += note.own_tokens
        while memory.tokens > capacity * LONG_PART and len(memory.prompts) > 1:
            _, dropped = memory.prompts.popitem(last=False)
            memory.tokens -= dropped.tokens
