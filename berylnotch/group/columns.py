"""Compact forms of what the leader sends to every router several times a second.

Targets are named by small numbers that the leader tells with its table of targets.
The sums of loads are columns over these numbers, notes of prompts are records of a
fixed size.
"""

from __future__ import annotations

import heapq
import math
import random
import struct
from collections.abc import Iterable

from attrs import evolve

from berylnotch.group.messages import (
    LoadColumns,
    LoadsUpdate,
    NoteRecords,
    PromptNote,
    TargetLoad,
    TargetsUpdate,
)

#: Unit of token counts in notes, in tokens; an engine's memory goes by blocks of 16.
TOKEN_UNIT = 16

#: Steps in which a column of unread tokens distinguishes a doubling: each value is
#: within 2.2% of what was summed up, from `TOKEN_UNIT` to about 980,000 tokens.
STEPS_A_DOUBLING = 16

#: Largest value of a byte and of two.
_BYTE, _WORD = 0xFF, 0xFFFF

#: Numbers that stand for a store of the same message, not for a target.
_FIRST_STORE = 0xFF00

#: Prompt, holder, shared tokens, own tokens, unread tokens, whether it is ready.
_NOTE = struct.Struct("<IHHHHB")

#: A numbering that no leader has.
NO_NUMBERING = 0


class TargetNumbers:
    """Numbers that a leader gives to the targets which it lists."""

    def __init__(self) -> None:
        #: Distinguishes the numbers of this leader from those of others.
        self.numbering = random.randint(NO_NUMBERING + 1, 2**32 - 1)
        self._numbers: dict[str, int] = {}
        self._free: list[int] = []

    @property
    def count(self) -> int:
        """Numbers in use or free, all of them below this."""
        return len(self._numbers) + len(self._free)

    def add(self, target_ids: Iterable[str]) -> None:
        """Give numbers to targets that have none, the lowest free one first."""
        for target_id in target_ids:
            if target_id not in self._numbers:
                number = heapq.heappop(self._free) if self._free else self.count
                self._numbers[target_id] = number

    def keep(self, target_ids: Iterable[str]) -> None:
        """Give numbers to these targets, and free those of all others."""
        listed = set(target_ids)
        for target_id in self._numbers.keys() - listed:
            heapq.heappush(self._free, self._numbers.pop(target_id))
        self.add(listed)

    def number(self, target_id: str) -> int | None:
        """Return a target's number, None if it is not listed."""
        number = self._numbers.get(target_id)
        return number if number is None or number < _FIRST_STORE else None

    def told(self, update: TargetsUpdate) -> TargetsUpdate:
        """Return an update of targets with their numbers."""
        numbers = tuple(self._numbers[e.target.target_id] for e in update.targets)
        return evolve(update, numbering=self.numbering, numbers=numbers)


class NumberedTargets:
    """What a router knows of the leader's numbers."""

    def __init__(self) -> None:
        self._numbering = NO_NUMBERING
        self._names: dict[int, str] = {}

    def take(self, update: TargetsUpdate) -> None:
        """Learn the numbers of targets."""
        if update.numbering != self._numbering or update.is_whole:
            self._numbering, self._names = update.numbering, {}
        for number, entry in zip(update.numbers, update.targets, strict=True):
            self._names[number] = entry.target.target_id

    def loads(self, columns: LoadColumns) -> LoadsUpdate | None:
        """Read sums of loads, None if they go by numbers that were not told."""
        if columns.numbering != self._numbering:
            return None
        loads = tuple(
            TargetLoad(self._names[number], requests, _tokens(step))
            for number, (requests, step) in enumerate(
                zip(columns.requests, columns.unread, strict=True)
            )
            if (requests or step) and number in self._names
        )
        suspects = (self._names.get(number, "") for number in columns.suspects)
        return LoadsUpdate(loads, tuple(filter(None, suspects)))

    def notes(self, records: NoteRecords) -> tuple[PromptNote, ...]:
        """Read notes of prompts, without those on targets that are unknown."""
        names = self._names if records.numbering == self._numbering else {}
        stores = dict(enumerate(records.stores, start=_FIRST_STORE))
        notes = []
        for fields in _NOTE.iter_unpack(records.notes):
            prompt, number, shared, own, unread, is_ready = fields
            holder = stores.get(number) or names.get(number)
            if holder:
                counts = (n * TOKEN_UNIT for n in (shared, own, unread))
                tokens, own_tokens, unread_tokens = counts
                notes.append(
                    PromptNote(
                        prompt,
                        tokens,
                        holder,
                        own_tokens,
                        bool(is_ready),
                        unread_tokens,
                    )
                )
        return tuple(notes)


def load_columns(update: LoadsUpdate, numbers: TargetNumbers) -> LoadColumns:
    """Return sums of loads by number, without those of targets that are not listed."""
    requests, unread = bytearray(numbers.count), bytearray(numbers.count)
    for load in update.loads:
        number = numbers.number(load.target_id)
        if number is not None:
            requests[number] = min(_BYTE, load.requests)
            unread[number] = _step(load.unread)
    suspects = (numbers.number(target_id) for target_id in update.suspects)
    return LoadColumns(
        numbers.numbering,
        bytes(requests),
        bytes(unread),
        tuple(number for number in suspects if number is not None),
    )


def note_records(notes: Iterable[PromptNote], numbers: TargetNumbers) -> NoteRecords:
    """Return notes as records, without those on targets that are not listed."""
    stores: dict[str, int] = {}
    records = bytearray()
    for note in notes:
        number = numbers.number(note.holder)
        if number is None and is_store(note.holder):
            number = stores.setdefault(note.holder, _FIRST_STORE + len(stores))
        if number is None or number > _WORD:
            continue
        records += _NOTE.pack(
            note.prompt,
            number,
            _units(note.tokens),
            _units(note.own_tokens),
            _units(note.unread),
            note.is_ready,
        )
    return NoteRecords(numbers.numbering, bytes(records), tuple(stores))


def echo(note: PromptNote) -> tuple[int, str, bool, int]:
    """Return by what a router knows its own note when it comes back from the leader.

    The leader may add own tokens of notes that it did not pass on.
    """
    return note.prompt, note.holder, note.is_ready, _units(note.unread)


def is_store(holder: str) -> bool:
    """Whether the holder of a prompt is a store's address, not a target's identity."""
    return ":" in holder


def _units(tokens: int) -> int:
    return min(_WORD, math.ceil(tokens / TOKEN_UNIT))


def _step(tokens: int) -> int:
    """Return a number of tokens on a logarithmic scale, 0 only for none."""
    if tokens <= 0:
        return 0
    doublings = math.log2(max(1.0, tokens / TOKEN_UNIT))
    return min(_BYTE, 1 + round(STEPS_A_DOUBLING * doublings))


def _tokens(step: int) -> int:
    if not step:
        return 0
    return round(TOKEN_UNIT * 2 ** ((step - 1) / STEPS_A_DOUBLING))
