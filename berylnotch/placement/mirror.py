"""Which shared prompts engines and stores probably hold, over all routers.

Each router notes the prompts that its requests had read, and hears the notes of the
others. An engine's memory is mirrored as a list of least recently used beginnings of
prompts, each by the mark of its last part (`berylnotch.placement.chains`).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from enum import Enum
from itertools import islice

from attrs import define, evolve, field, frozen

from berylnotch.group.messages import PromptNote

#: Part of an engine's memory that holds prompts; what requests generate, and what is
#: not known of other routers, takes the rest.
PROMPTS_PART = 0.92

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


@frozen
class Run:
    """Levels of a chain that an engine holds, from the first on.

    Parameters
    ----------
    ready : int
        Levels that it has read.
    coming : int
        The same with those that it is about to read.
    used_at : float
        When the deepest level that it has read was last used.
    """

    ready: int = 0
    coming: int = 0
    used_at: float = field(default=0.0, eq=False)


#: Run of an engine that holds nothing of a prompt.
NO_RUN = Run()


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
        #: Engines by the marks that they hold or read.
        self._holders: dict[int, set[str]] = {}
        self._saved: OrderedDict[tuple[str, int], float] = OrderedDict()
        #: Tokens of prompts that no note told of, by the engine that read them.
        self._untold: dict[str, int] = {}
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

    def run(self, now: float, target_id: str, marks: Sequence[int]) -> Run:
        """Return the longest run of a chain that an engine probably holds."""
        if target_id not in self._engines:
            return NO_RUN
        ready = coming = 0
        used_at = 0.0
        for count in range(len(marks), 0, -1):
            holding = self.holding(now, target_id, marks[count - 1])
            if holding is not Holding.NONE and not coming:
                coming = count
            if holding is Holding.READY:
                ready = count
                used_at = self._engines[target_id].prompts[marks[count - 1]].noted_at
                break
        return Run(ready, coming, used_at) if coming else NO_RUN

    def holders(
        self, marks: Sequence[int], limit: int, draw: Callable[[int], int]
    ) -> set[str]:
        """Return engines that may hold a level of a chain, or read it.

        Those with the longest runs come first; of more than are wanted with the same
        run, which ones is left to chance.

        Parameters
        ----------
        marks : sequence of int
            Marks of the chain's levels.
        limit : int
            Most engines to return.
        draw : callable
            Returns a random number below a given one.
        """
        found: set[str] = set()
        for mark in reversed(marks):
            names = self._holders.get(mark, ())
            room = limit - len(found)
            first = draw(len(names) - room + 1) if len(names) > room else 0
            found.update(islice(names, first, first + room))
            if len(found) >= limit:
                break
        return found

    def saved_levels(self, now: float, store: str, marks: Sequence[int]) -> int:
        """Return how many levels of a chain a store probably holds."""
        for count in range(len(marks), 0, -1):
            if self.is_saved(now, store, marks[count - 1]):
                return count
        return 0

    def fill(self, target_id: str, tokens: int) -> None:
        """Note that an engine reads a prompt that nobody looks for."""
        self._untold[target_id] = self._untold.get(target_id, 0) + tokens

    def is_saved(self, now: float, store: str, prompt: int) -> bool:
        """Tell whether a store probably holds a prompt."""
        saved_at = self._saved.get((store, prompt))
        return saved_at is not None and now - saved_at < SAVED_S

    def read(self, now: float, note: PromptNote, capacity: int) -> None:
        """Note that an engine reads a prompt, and tell the other routers."""
        if not note.is_ready:
            untold = self._untold.pop(note.holder, 0)
            if untold:
                note = evolve(note, own_tokens=note.own_tokens + untold)
        self._take_read(now, note, capacity)
        self._add(note)

    def not_read(self, target_id: str, prompt: int) -> None:
        """Note that an engine has not read a prompt after all."""
        memory = self._engines.get(target_id)
        entry = memory.prompts.get(prompt) if memory is not None else None
        if entry is not None and not entry.is_ready:
            self._drop(memory, target_id, prompt)

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
        memory = self._engines.pop(target_id, None)
        self._untold.pop(target_id, None)
        for mark in memory.prompts if memory is not None else ():
            self._forget_holder(mark, target_id)

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
        self._holders.setdefault(note.prompt, set()).add(note.holder)
        if note.own_tokens:
            # The rest of a prompt is of no use to others, but takes its place.
            self._reads += 1
            memory.prompts[-self._reads] = _Entry(note.own_tokens, False)
            memory.tokens += note.own_tokens
        while memory.tokens > capacity * PROMPTS_PART and len(memory.prompts) > 1:
            self._drop(memory, note.holder, next(iter(memory.prompts)))

    def _drop(self, memory: _Memory, holder: str, mark: int) -> None:
        memory.tokens -= memory.prompts.pop(mark).tokens
        self._forget_holder(mark, holder)

    def _forget_holder(self, mark: int, holder: str) -> None:
        holders = self._holders.get(mark)
        if holders is not None:
            holders.discard(holder)
            if not holders:
                del self._holders[mark]
