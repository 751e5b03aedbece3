"""Compact encodings of the messages that the leader sends to every router.

The leader sends these messages several times a second. They refer to targets by small
numbers, which the leader assigns and sends with its target updates. Load sums are
columns indexed by these numbers. Prompt notes, which tell where a prompt prefix is or
will be cached, are records of a fixed size. Unread tokens are prompt tokens that a
target has not prefilled yet.
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
from berylnotch.group.speed_columns import decode_speed

#: Unit of token counts in notes, in tokens; engines allocate their KV cache in blocks
#: of 16 tokens.
TOKEN_UNIT = 16

#: Steps of the logarithmic scale of unread tokens for each doubling. From `TOKEN_UNIT`
#: to about 980,000 tokens, each decoded value is within 2.2% of the encoded sum.
STEPS_PER_DOUBLING = 16

#: Largest unsigned integers of one byte and of two bytes.
_MAX_UINT8, _MAX_UINT16 = 0xFF, 0xFFFF

#: Lowest number that refers to a store instead of a target. The stores are listed in
#: the same message.
_FIRST_STORE_NUMBER = 0xFF00

#: Fields of a note: prompt, number of the holder, shared tokens, own tokens, unread
#: tokens, whether the prompt is ready. Token counts are in `TOKEN_UNIT`.
_NOTE_STRUCT = struct.Struct("<IHHHHB")

#: Identity of the numbering at a router that has received no numbers; leaders never
#: choose this value.
NO_NUMBERING = 0


class TargetNumbers:
    """Numbers that a leader assigns to its listed targets."""

    def __init__(self) -> None:
        #: Random identity that distinguishes this leader's numbers from other leaders'.
        self.numbering = random.randint(NO_NUMBERING + 1, 2**32 - 1)
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._free: list[int] = []

    @property
    def count(self) -> int:
        """Number of assigned and free numbers; each of them is lower than this."""
        return len(self._numbers) + len(self._free)

    def add(self, target_ids: Iterable[str]) -> None:
        """Assign numbers to targets that have none, the lowest free number first."""
        for target_id in target_ids:
            if target_id not in self._numbers:
                number = heapq.heappop(self._free) if self._free else self.count
                self._numbers[target_id] = number
                self._names[number] = target_id

    def keep(self, target_ids: Iterable[str]) -> None:
        """Assign numbers to these targets, and free the numbers of all others."""
        listed = set(target_ids)
        for target_id in self._numbers.keys() - listed:
            number = self._numbers.pop(target_id)
            del self._names[number]
            heapq.heappush(self._free, number)
        self.add(listed)

    def number(self, target_id: str) -> int | None:
        """Return a target's number, None if it has none.

        Numbers in the range of the stores cannot be sent, so None is returned for
        these too.
        """
        number = self._numbers.get(target_id)
        return number if number is None or number < _FIRST_STORE_NUMBER else None

    def target_id(self, number: int) -> str | None:
        """Return the target that has a number, None if there is none."""
        return self._names.get(number)

    def with_numbers(self, update: TargetsUpdate) -> TargetsUpdate:
        """Return an update with the numbers of its targets."""
        numbers = tuple(self._numbers[e.target.target_id] for e in update.targets)
        return evolve(update, numbering=self.numbering, numbers=numbers)


class NumberedTargets:
    """Targets by the leader's numbers, as known to a router."""

    def __init__(self) -> None:
        self._numbering = NO_NUMBERING
        self._names: dict[int, str] = {}
        self._numbers: dict[str, int] = {}

    @property
    def numbering(self) -> int:
        """Identity of the numbers, `NO_NUMBERING` before the first numbers."""
        return self._numbering

    def number(self, target_id: str) -> int | None:
        """Return a target's number, None if it has none."""
        return self._numbers.get(target_id)

    def store_numbers(self, update: TargetsUpdate) -> None:
        """Store the numbers of an update's targets.

        Earlier numbers are discarded if the numbering changed or the update contains
        all targets.
        """
        if update.numbering != self._numbering or update.is_whole:
            self._numbering, self._names, self._numbers = update.numbering, {}, {}
        for number, entry in zip(update.numbers, update.targets, strict=True):
            self._names[number] = entry.target.target_id
            self._numbers[entry.target.target_id] = number

    def loads(self, columns: LoadColumns) -> LoadsUpdate | None:
        """Decode load sums; return None if their numbering is unknown."""
        if columns.numbering != self._numbering:
            return None
        loads = tuple(
            TargetLoad(self._names[number], requests, _decode_tokens(step))
            for number, (requests, step) in enumerate(
                zip(columns.requests, columns.unread, strict=True)
            )
            if (requests or step) and number in self._names
        )
        suspects = (self._names.get(number, "") for number in columns.suspects)
        return LoadsUpdate(loads, tuple(filter(None, suspects)))

    def speeds(self, columns: LoadColumns) -> dict[str, float]:
        """Decode the logarithms of factors; unknown and malformed ones are omitted."""
        if columns.numbering != self._numbering:
            return {}
        decoded = map(decode_speed, columns.speeds)
        return {
            self._names[number]: log_factor
            for number, log_factor in enumerate(decoded)
            if log_factor is not None and number in self._names
        }

    def notes(self, records: NoteRecords) -> tuple[PromptNote, ...]:
        """Decode prompt notes, without those of unknown targets."""
        names = self._names if records.numbering == self._numbering else {}
        stores = dict(enumerate(records.stores, start=_FIRST_STORE_NUMBER))
        notes = []
        for fields in _NOTE_STRUCT.iter_unpack(records.notes):
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
    """Encode load sums as columns, without those of unlisted targets."""
    requests, unread = bytearray(numbers.count), bytearray(numbers.count)
    for load in update.loads:
        number = numbers.number(load.target_id)
        if number is not None:
            requests[number] = min(_MAX_UINT8, load.requests)
            unread[number] = _encode_tokens(load.unread)
    suspects = (numbers.number(target_id) for target_id in update.suspects)
    return LoadColumns(
        numbers.numbering,
        bytes(requests),
        bytes(unread),
        tuple(number for number in suspects if number is not None),
    )


def note_records(notes: Iterable[PromptNote], numbers: TargetNumbers) -> NoteRecords:
    """Encode prompt notes as records, without those of unlisted targets."""
    stores: dict[str, int] = {}
    records = bytearray()
    for note in notes:
        number = numbers.number(note.holder)
        if number is None and is_store(note.holder):
            number = stores.setdefault(note.holder, _FIRST_STORE_NUMBER + len(stores))
        if number is None or number > _MAX_UINT16:
            continue
        records += _NOTE_STRUCT.pack(
            note.prompt,
            number,
            _count_units(note.tokens),
            _count_units(note.own_tokens),
            _count_units(note.unread),
            note.is_ready,
        )
    return NoteRecords(numbers.numbering, bytes(records), tuple(stores))


def note_key(note: PromptNote) -> tuple[int, str, bool, int]:
    """Return the key by which a router recognises its own note in a leader's message.

    Own tokens are no part of the key, since the leader may add the own tokens of notes
    that it did not forward.
    """
    return note.prompt, note.holder, note.is_ready, _count_units(note.unread)


def is_store(holder: str) -> bool:
    """Tell whether a prompt's holder is a store.

    A store is identified by its address with a port, a target by its identity, which
    contains no colon.
    """
    return ":" in holder


def _count_units(tokens: int) -> int:
    """Return a token count in units, rounded up and limited to two bytes."""
    return min(_MAX_UINT16, math.ceil(tokens / TOKEN_UNIT))


def _encode_tokens(tokens: int) -> int:
    """Return a token count on a logarithmic scale of one byte, 0 only for none."""
    if tokens <= 0:
        return 0
    doublings = math.log2(max(1.0, tokens / TOKEN_UNIT))
    return min(_MAX_UINT8, 1 + round(STEPS_PER_DOUBLING * doublings))


def _decode_tokens(step: int) -> int:
    """Return the token count of a step of the logarithmic scale."""
    if not step:
        return 0
    return round(TOKEN_UNIT * 2 ** ((step - 1) / STEPS_PER_DOUBLING))
