"""A copy of the part of the control state that routers need."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import Any

from berylnotch.control.commands import LifeState, Subject
from berylnotch.control.crashes import CrashTable
from berylnotch.control.errors import EventError, SnapshotError
from berylnotch.control.eventlog import EventLog
from berylnotch.control.events import (
    CrashReported,
    DrainChanged,
    KeyGiven,
    KeyWithdrawn,
    LifeStateChanged,
    TextChanged,
    VersionedEvent,
    WeightsChanged,
)
from berylnotch.control.records import KeyBlock, ViewHeader
from berylnotch.control.snapshot import pack, unpack
from berylnotch.errors import BerylnotchError
from berylnotch.fleet.model import Fleet
from berylnotch.fleet.text import parse
from berylnotch.keys.errors import KeyExistsError
from berylnotch.keys.keyring import KEY_HASH_BYTES, HeldKey, Keyring
from berylnotch.transport.codec import decode

_Named = tuple[Subject, str]


class View:
    """Text, keys, drains, life states, weights and crash reports.

    The version is the log index of the newest event. It only rises.
    """

    def __init__(self) -> None:
        self._log = EventLog()
        self._group = ""
        self._revision = 0
        self._text = ""
        self._fleet = Fleet()
        self._keyring = Keyring()
        self._drains: set[_Named] = set()
        self._life: dict[_Named, LifeStateChanged] = {}
        self._weights: dict[str, WeightsChanged] = {}
        self._crashes = CrashTable()

    @property
    def version(self) -> int:
        """Log index of the newest event."""
        return self._log.version

    @property
    def group(self) -> str:
        """Group of controllers that made the state; empty if not known yet."""
        return self._group

    @property
    def revision(self) -> int:
        """Revision of the operators' text in force, 0 if there is none."""
        return self._revision

    @property
    def text(self) -> str:
        """The operators' text in force."""
        return self._text

    @property
    def fleet(self) -> Fleet:
        """The fleet that the text describes."""
        return self._fleet

    @property
    def keyring(self) -> Keyring:
        """Accepted keys, those of removed organisations included."""
        return self._keyring

    def find_key(self, key_hash: bytes) -> HeldKey | None:
        """Return the key with this hash if its organisation is in the text."""
        key = self._keyring.find(key_hash)
        if key is None or key.organisation not in self._fleet.organisations:
            return None
        return key

    def is_draining(self, subject: Subject, name: str) -> bool:
        """Tell whether an operator drained a target or VM."""
        return (subject, name) in self._drains

    def life_state(self, subject: Subject, name: str) -> LifeState:
        """Return a target's or VM's state; LIVE if nobody reported another."""
        found = self._life.get((subject, name))
        return found.state if found else LifeState.LIVE

    def life_report(self, subject: Subject, name: str) -> LifeStateChanged | None:
        """Return the newest report about a target or VM."""
        return self._life.get((subject, name))

    def weights(self, target: str) -> str:
        """Return an engine's weights version, empty while it loads."""
        found = self._weights.get(target)
        return found.version if found else ""

    def weights_report(self, target: str) -> WeightsChanged | None:
        """Return the newest report about an engine's weights."""
        return self._weights.get(target)

    def crash_targets(self, fingerprint: bytes, at_ms: int = 0) -> frozenset[str]:
        """Return the targets lost while they ran a request; see `CrashTable`."""
        return self._crashes.targets(fingerprint, at_ms)

    def apply(self, events: Iterable[VersionedEvent]) -> bool:
        """Apply events; those of a known version are skipped.

        Parameters
        ----------
        events : iterable of VersionedEvent
            Every event after a version that this view has reached, in order.
            Events of one version are applied all or none.

        Returns
        -------
        bool
            Whether the version rose.

        Raises
        ------
        EventError
            If an event is invalid. Versions before it stay applied.
        """
        before = self.version
        for version, group in groupby(events, key=lambda event: event.version):
            if version <= self.version:
                continue
            self._apply_version(tuple(group))
        return self.version > before

    def restore(self, snapshot: bytes) -> bool:
        """Replace the view by a snapshot, unless it is older.

        Returns
        -------
        bool
            Whether the version rose.

        Raises
        ------
        SnapshotError
            If the snapshot is damaged; the view stays as it was.
        """
        records = unpack(snapshot)
        if not records or not isinstance(records[0], ViewHeader):
            raise SnapshotError("the snapshot does not begin with a view header")
        if records[0].version <= self.version:
            return False
        fresh = View.from_records(records)
        self.__dict__.update(fresh.__dict__)
        return True

    def set_group(self, group: str) -> None:
        """Note which group makes the state, before its first event."""
        self._group = group

    def reset(self) -> None:
        """Forget everything: another group of controllers makes the state now."""
        self.__dict__.update(View().__dict__)

    def events_after(self, version: int) -> tuple[VersionedEvent, ...] | None:
        """Return the events after a version, or None if some are gone."""
        return self._log.after(version)

    def view_snapshot(self) -> bytes:
        """Return the whole view for a subscriber that is far behind."""
        return pack(self.records())

    def records(self) -> Iterator[object]:
        """Yield the view as records, the header first."""
        yield ViewHeader(self.version, self._revision, self._group)
        if self._revision:
            yield TextChanged(self._revision, self._text)
        yield from _key_blocks(self._keyring)
        for subject, name in sorted(self._drains, key=_drain_order):
            yield DrainChanged(subject, name, True)
        yield from self._life.values()
        yield from self._weights.values()
        yield from self._crashes

    @classmethod
    def from_records(cls, records: Iterable[object]) -> View:
        """Build a view from what `records` yielded.

        Raises
        ------
        SnapshotError
            If a record does not belong into a view.
        """
        header, *rest = records
        view = cls()
        view._log = EventLog(header.version)
        view._group = header.group
        try:
            for record in rest:
                view._restore_record(record)
        except (BerylnotchError, KeyError) as error:
            raise SnapshotError(f"the snapshot is inconsistent: {error}") from error
        return view

    def _apply_version(self, group: tuple[VersionedEvent, ...]) -> None:
        try:
            events = [decode(event.event) for event in group]
            checked = [self._check(event) for event in events]
        except BerylnotchError as error:
            message = f"version {group[0].version} cannot be applied: {error}"
            raise EventError(message) from error
        for event, fleet in zip(events, checked, strict=True):
            self._apply_event(event, fleet)
        self._log.extend(group)

    def _check(self, event: Any) -> Fleet | None:
        if type(event) not in _APPLY:
            raise EventError(f"{type(event).__name__} is no event")
        if isinstance(event, KeyGiven):
            self._check_key(event)
        return parse(event.text) if isinstance(event, TextChanged) else None

    def _check_key(self, event: KeyGiven) -> None:
        held = self._keyring.get(event.key_id) or self._keyring.find(event.key_hash)
        if held is not None:
            raise KeyExistsError(f"key {held.key_id} exists already")

    def _apply_event(self, event: Any, fleet: Fleet | None) -> None:
        if fleet is not None:
            self._set_text(event, fleet)
        else:
            _APPLY[type(event)](self, event)

    def _restore_record(self, record: Any) -> None:
        if isinstance(record, KeyBlock):
            self._restore_keys(record)
        elif isinstance(record, TextChanged):
            self._set_text(record, parse(record.text))
        else:
            _APPLY[type(record)](self, record)

    def _restore_keys(self, block: KeyBlock) -> None:
        hashes = block.key_hashes
        if len(hashes) != len(block.key_ids) * KEY_HASH_BYTES:
            raise SnapshotError("a block of keys has the wrong length")
        for position, key_id in enumerate(block.key_ids):
            start = position * KEY_HASH_BYTES
            key_hash = hashes[start : start + KEY_HASH_BYTES]
            self._keyring.give(HeldKey(key_id, block.organisation, key_hash))

    def _set_text(self, event: TextChanged, fleet: Fleet) -> None:
        self._revision = event.revision
        self._text = event.text
        self._fleet = fleet
        # A name that comes back later is another machine.
        self._drains = {item for item in self._drains if self._is_known(item)}
        self._life = {k: v for k, v in self._life.items() if self._is_known(k)}
        self._weights = {k: v for k, v in self._weights.items() if k in fleet.targets}

    def _is_known(self, named: _Named) -> bool:
        subject, name = named
        fleet = self._fleet
        return name in (fleet.targets if subject is Subject.TARGET else fleet.vms)

    def _give_key(self, event: KeyGiven) -> None:
        # Without interning, each key would hold its own copy of the name.
        organisation = self._fleet.organisations.get(event.organisation)
        name = organisation.name if organisation else event.organisation
        self._keyring.give(HeldKey(event.key_id, name, event.key_hash))

    def _withdraw_key(self, event: KeyWithdrawn) -> None:
        self._keyring.withdraw(event.key_id)

    def _set_drain(self, event: DrainChanged) -> None:
        if event.draining:
            self._drains.add((event.subject, event.name))
        else:
            self._drains.discard((event.subject, event.name))

    def _set_life(self, event: LifeStateChanged) -> None:
        self._life[event.subject, event.name] = event

    def _set_weights(self, event: WeightsChanged) -> None:
        self._weights[event.target] = event

    def _add_crash(self, event: CrashReported) -> None:
        self._crashes.add(event)


_APPLY = {
    TextChanged: None,
    KeyGiven: View._give_key,
    KeyWithdrawn: View._withdraw_key,
    DrainChanged: View._set_drain,
    LifeStateChanged: View._set_life,
    WeightsChanged: View._set_weights,
    CrashReported: View._add_crash,
}


def _drain_order(named: _Named) -> tuple[str, str]:
    subject, name = named
    return subject.value, name


def _key_blocks(keyring: Keyring) -> Iterator[KeyBlock]:
    by_organisation: dict[str, list[HeldKey]] = {}
    for key in keyring:
        by_organisation.setdefault(key.organisation, []).append(key)
    for organisation in sorted(by_organisation):
        keys = by_organisation[organisation]
        ids = tuple(key.key_id for key in keys)
        yield KeyBlock(organisation, ids, b"".join(key.key_hash for key in keys))
