"""View: the part of the control state that routers replicate."""

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
from berylnotch.control.snapshot import decode_snapshot, encode_snapshot
from berylnotch.errors import BerylnotchError
from berylnotch.fleet.model import Fleet
from berylnotch.fleet.text import parse
from berylnotch.keys.errors import KeyExistsError
from berylnotch.keys.keyring import KEY_HASH_BYTES, AcceptedKey, Keyring
from berylnotch.transport.codec import decode

_SubjectKey = tuple[Subject, str]


class View:
    """Fleet configuration, keys, drains, life states, weights and crash reports.

    The version is the log index of the newest event. It never decreases, except when
    `reset` discards the view.
    """

    def __init__(self) -> None:
        self._event_log = EventLog()
        self._group = ""
        self._revision = 0
        self._text = ""
        self._fleet = Fleet()
        self._keyring = Keyring()
        self._draining: set[_SubjectKey] = set()
        self._life_reports: dict[_SubjectKey, LifeStateChanged] = {}
        self._weights_reports: dict[str, WeightsChanged] = {}
        self._crashes = CrashTable()

    @property
    def version(self) -> int:
        """Log index of the newest event."""
        return self._event_log.version

    @property
    def group(self) -> str:
        """Group of controllers that produced the state; empty if not known yet."""
        return self._group

    @property
    def revision(self) -> int:
        """Revision of the fleet configuration in force, 0 if there is none."""
        return self._revision

    @property
    def text(self) -> str:
        """Text of the fleet configuration in force."""
        return self._text

    @property
    def fleet(self) -> Fleet:
        """Parsed fleet configuration in force."""
        return self._fleet

    @property
    def keyring(self) -> Keyring:
        """Accepted keys, including those of organisations that were removed."""
        return self._keyring

    def find_key(self, key_hash: bytes) -> AcceptedKey | None:
        """Return the key with this hash if its organisation is configured."""
        key = self._keyring.find_by_hash(key_hash)
        if key is None or key.organisation not in self._fleet.organisations:
            return None
        return key

    def is_draining(self, subject: Subject, name: str) -> bool:
        """Tell whether an operator is draining a target or VM."""
        return (subject, name) in self._draining

    def life_state(self, subject: Subject, name: str) -> LifeState:
        """Return a target's or VM's life state; LIVE if none was reported."""
        report = self._life_reports.get((subject, name))
        return report.state if report else LifeState.LIVE

    def life_report(self, subject: Subject, name: str) -> LifeStateChanged | None:
        """Return the newest report of a target's or VM's life state."""
        return self._life_reports.get((subject, name))

    def weights(self, target: str) -> str:
        """Return an engine's weights version, empty while it loads."""
        report = self._weights_reports.get(target)
        return report.version if report else ""

    def weights_report(self, target: str) -> WeightsChanged | None:
        """Return the newest report of an engine's weights version."""
        return self._weights_reports.get(target)

    def targets_lost_with(self, fingerprint: bytes, at_ms: int = 0) -> frozenset[str]:
        """Return the targets lost while running a request; see `CrashTable`."""
        return self._crashes.lost_targets(fingerprint, at_ms)

    def apply(self, events: Iterable[VersionedEvent]) -> bool:
        """Apply events, except those of versions that were applied already.

        Parameters
        ----------
        events : iterable of VersionedEvent
            All events, in order, after some version that is not higher than the
            version of this view. The events of one version are applied together or
            not at all.

        Returns
        -------
        bool
            Whether the version increased.

        Raises
        ------
        EventError
            If an event is invalid. Earlier versions stay applied.
        """
        previous_version = self.version
        for version, version_events in groupby(events, key=lambda event: event.version):
            if version <= self.version:
                continue
            self._apply_version(tuple(version_events))
        return self.version > previous_version

    def restore(self, snapshot: bytes) -> bool:
        """Replace the view with a snapshot if the snapshot is newer.

        Returns
        -------
        bool
            Whether the version increased.

        Raises
        ------
        SnapshotError
            If the snapshot is damaged; the view is unchanged.
        """
        records = decode_snapshot(snapshot)
        if not records or not isinstance(records[0], ViewHeader):
            raise SnapshotError("the first record of the snapshot is not a view header")
        if records[0].version <= self.version:
            return False
        restored = View.from_records(records)
        self.__dict__.update(restored.__dict__)
        return True

    def set_group(self, group: str) -> None:
        """Set the group of controllers, before the group's first event is applied."""
        self._group = group

    def reset(self) -> None:
        """Discard the view, because another group of controllers produces the state."""
        self.__dict__.update(View().__dict__)

    def events_after(self, version: int) -> tuple[VersionedEvent, ...] | None:
        """Return the events after a version, or None if some were evicted."""
        return self._event_log.events_after(version)

    def view_snapshot(self) -> bytes:
        """Return a snapshot of the view, for a subscriber whose events were evicted."""
        return encode_snapshot(self.records())

    def records(self) -> Iterator[object]:
        """Yield the records of a snapshot of the view, starting with the header."""
        yield ViewHeader(self.version, self._revision, self._group)
        if self._revision:
            yield TextChanged(self._revision, self._text)
        yield from _build_key_blocks(self._keyring)
        for subject, name in sorted(self._draining, key=_drain_sort_key):
            yield DrainChanged(subject, name, True)
        yield from self._life_reports.values()
        yield from self._weights_reports.values()
        yield from self._crashes

    @classmethod
    def from_records(cls, records: Iterable[object]) -> View:
        """Build a view from the records that `records` yields.

        Raises
        ------
        SnapshotError
            If a record is not part of a view or contradicts another record.
        """
        header, *body = records
        view = cls()
        view._event_log = EventLog(header.version)
        view._group = header.group
        try:
            for record in body:
                view._restore_record(record)
        except (BerylnotchError, KeyError) as error:
            raise SnapshotError(f"the snapshot is inconsistent: {error}") from error
        return view

    def _apply_version(self, version_events: tuple[VersionedEvent, ...]) -> None:
        try:
            events = [decode(event.event) for event in version_events]
            fleets = [self._validate_event(event) for event in events]
        except BerylnotchError as error:
            message = f"version {version_events[0].version} cannot be applied: {error}"
            raise EventError(message) from error
        for event, fleet in zip(events, fleets, strict=True):
            self._apply_event(event, fleet)
        self._event_log.extend(version_events)

    def _validate_event(self, event: Any) -> Fleet | None:
        if type(event) not in _APPLIERS:
            raise EventError(f"{type(event).__name__} is not an event of the view")
        if isinstance(event, KeyGiven):
            self._check_key_is_new(event)
        return parse(event.text) if isinstance(event, TextChanged) else None

    def _check_key_is_new(self, event: KeyGiven) -> None:
        existing = self._keyring.find_by_id(event.key_id) or self._keyring.find_by_hash(
            event.key_hash
        )
        if existing is not None:
            raise KeyExistsError(f"key {existing.key_id} exists already")

    def _apply_event(self, event: Any, fleet: Fleet | None) -> None:
        if fleet is not None:
            self._set_text(event, fleet)
        else:
            _APPLIERS[type(event)](self, event)

    def _restore_record(self, record: Any) -> None:
        if isinstance(record, KeyBlock):
            self._restore_keys(record)
        elif isinstance(record, TextChanged):
            self._set_text(record, parse(record.text))
        else:
            _APPLIERS[type(record)](self, record)

    def _restore_keys(self, block: KeyBlock) -> None:
        hashes = block.key_hashes
        if len(hashes) != len(block.key_ids) * KEY_HASH_BYTES:
            raise SnapshotError(
                f"block of {len(block.key_ids)} keys has {len(hashes)} bytes of hashes"
            )
        for position, key_id in enumerate(block.key_ids):
            start = position * KEY_HASH_BYTES
            key_hash = hashes[start : start + KEY_HASH_BYTES]
            self._keyring.add(AcceptedKey(key_id, block.organisation, key_hash))

    def _set_text(self, event: TextChanged, fleet: Fleet) -> None:
        self._revision = event.revision
        self._text = event.text
        self._fleet = fleet
        # A target or VM that is added under the name of a removed one is a different
        # machine. The drains and reports of removed names are therefore discarded.
        self._draining = {key for key in self._draining if self._is_configured(key)}
        self._life_reports = {
            key: report
            for key, report in self._life_reports.items()
            if self._is_configured(key)
        }
        self._weights_reports = {
            target: report
            for target, report in self._weights_reports.items()
            if target in fleet.targets
        }

    def _is_configured(self, key: _SubjectKey) -> bool:
        subject, name = key
        fleet = self._fleet
        return name in (fleet.targets if subject is Subject.TARGET else fleet.vms)

    def _add_key(self, event: KeyGiven) -> None:
        # Uses the configured name object, because otherwise each key would hold its
        # own copy of the name.
        organisation = self._fleet.organisations.get(event.organisation)
        name = organisation.name if organisation else event.organisation
        self._keyring.add(AcceptedKey(event.key_id, name, event.key_hash))

    def _remove_key(self, event: KeyWithdrawn) -> None:
        self._keyring.remove(event.key_id)

    def _set_drain(self, event: DrainChanged) -> None:
        if event.draining:
            self._draining.add((event.subject, event.name))
        else:
            self._draining.discard((event.subject, event.name))

    def _set_life_state(self, event: LifeStateChanged) -> None:
        self._life_reports[event.subject, event.name] = event

    def _set_weights(self, event: WeightsChanged) -> None:
        self._weights_reports[event.target] = event

    def _add_crash(self, event: CrashReported) -> None:
        self._crashes.add(event)


_APPLIERS = {
    TextChanged: None,
    KeyGiven: View._add_key,
    KeyWithdrawn: View._remove_key,
    DrainChanged: View._set_drain,
    LifeStateChanged: View._set_life_state,
    WeightsChanged: View._set_weights,
    CrashReported: View._add_crash,
}


def _drain_sort_key(key: _SubjectKey) -> tuple[str, str]:
    subject, name = key
    return subject.value, name


def _build_key_blocks(keyring: Keyring) -> Iterator[KeyBlock]:
    by_organisation: dict[str, list[AcceptedKey]] = {}
    for key in keyring:
        by_organisation.setdefault(key.organisation, []).append(key)
    for organisation in sorted(by_organisation):
        keys = by_organisation[organisation]
        ids = tuple(key.key_id for key in keys)
        yield KeyBlock(organisation, ids, b"".join(key.key_hash for key in keys))
