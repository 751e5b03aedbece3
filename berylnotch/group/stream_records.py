"""Replicated record of the software versions at which streams began."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from attrs import define, frozen

from berylnotch.membership.stream_versions import (
    UNKNOWN_VERSION,
    join_identities,
    split_identities,
)

#: Largest number of records; the oldest are dropped first. A record takes about 155
#: bytes of memory in each controller.
MAX_STREAM_RECORDS = 100_000


@frozen
class VersionGroup:
    """Streams of a service that began at one software version.

    An empty ``version`` means that it is unknown. ``identities`` are joined.
    """

    service: str
    version: str
    identities: bytes


@frozen
class SavedBatch:
    """Serialised form of the records that one command added."""

    number: int
    groups: tuple[VersionGroup, ...]


@define
class _Batch:
    """Identities that one command added, by service."""

    number: int
    identities: dict[str, list[bytes]]


class RecordedStreams:
    """Software versions of streams by identity, in numbered batches."""

    def __init__(self) -> None:
        self._versions: dict[bytes, str] = {}
        self._batches: deque[_Batch] = deque()
        self._next_number = 0
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._versions)

    @property
    def dropped(self) -> int:
        """Number of records that were dropped for lack of room."""
        return self._dropped

    @property
    def next_number(self) -> int:
        """Number of the next batch."""
        return self._next_number

    @property
    def first_number(self) -> int:
        """Number of the oldest batch, or of the next one if there is none."""
        return self._batches[0].number if self._batches else self._next_number

    def version(self, identity: bytes) -> str | None:
        """Return the recorded version of a stream, None without a record."""
        return self._versions.get(identity)

    def add(self, groups: Iterable[VersionGroup]) -> frozenset[str]:
        """Add a batch; return the services of records dropped for lack of room.

        The version of a stream that was recorded with two versions is unknown.
        """
        batch = _Batch(self._next_number, {})
        self._next_number += 1
        for group in groups:
            for identity in split_identities(group.identities):
                known = self._versions.get(identity)
                if known is None:
                    self._versions[identity] = group.version
                    batch.identities.setdefault(group.service, []).append(identity)
                elif known != group.version:
                    self._versions[identity] = UNKNOWN_VERSION
        if batch.identities:
            self._batches.append(batch)
        dropped: set[str] = set()
        while len(self._versions) > MAX_STREAM_RECORDS:
            count = len(self._versions)
            dropped |= self._drop_first()
            self._dropped += count - len(self._versions)
        return frozenset(dropped)

    def drop_before(self, number: int) -> None:
        """Drop the batches with lower numbers."""
        while self._batches and self._batches[0].number < number:
            self._drop_first()

    def save(self) -> tuple[SavedBatch, ...]:
        """Return the serialised batches."""
        return tuple(
            SavedBatch(batch.number, self._groups(batch)) for batch in self._batches
        )

    def restore(self, batches: Iterable[SavedBatch], next_number: int) -> None:
        """Replace all records by saved ones."""
        self._versions, self._batches = {}, deque()
        for saved in batches:
            self._next_number = saved.number
            self.add(saved.groups)
        self._next_number = next_number

    def _drop_first(self) -> frozenset[str]:
        batch = self._batches.popleft()
        for identities in batch.identities.values():
            for identity in identities:
                del self._versions[identity]
        return frozenset(batch.identities)

    def _groups(self, batch: _Batch) -> tuple[VersionGroup, ...]:
        by_version: dict[tuple[str, str], list[bytes]] = {}
        for service, identities in batch.identities.items():
            for identity in identities:
                key = service, self._versions[identity]
                by_version.setdefault(key, []).append(identity)
        return tuple(
            VersionGroup(service, version, join_identities(identities))
            for (service, version), identities in by_version.items()
        )
