"""Leader's list of the software versions that routers may begin streams at."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from berylnotch.daemon.fleet.stream_recorder import StreamRecorder, describe_versions
from berylnotch.group.commands import ListSoftwareVersions, ServiceVersions
from berylnotch.group.messages import StreamRecords, VersionQuery
from berylnotch.group.state import FleetState
from berylnotch.membership.listing import ListedTarget
from berylnotch.membership.stream_versions import stream_lifetime_s
from berylnotch.membership.version_tracker import VersionTracker
from berylnotch.transport.link import Link
from berylnotch.transport.packing import pack
from berylnotch.util.clock import boot_time
from berylnotch.util.coalesced_action import CoalescedAction
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Longest time in seconds for which targets of a further version are withheld until
#: all routers have sent the records of their streams.
RECORDING_WAIT_S = 1.0

#: Interval in seconds between checks whether all routers have sent their records, and
#: between attempts to list versions.
CHECK_INTERVAL_S = 0.02


class StreamVersions:
    """Lists software versions before their targets are used, and answers routers.

    A stream may go on only at the software version that began it. While a service has
    one version only, that version began each of its streams, and none is recorded.

    Parameters
    ----------
    loop : Loop
        Event loop that runs all callbacks.
    state : FleetState
        Replicated state with the versions and records.
    propose : callable
        Proposes a command, and calls back with whether it was committed.
    is_active : callable
        Returns whether this controller holds the leader lease at the current time.
    is_recording : callable
        Returns whether all routers record the streams of a service.
    is_new_group : bool
        Whether no router of the group can have served a request yet.
    on_changed : callable
        Called when the targets that routers may use have changed.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        loop: Loop,
        state: FleetState,
        propose: Callable[[bytes, Callable[[bool], None]], None],
        is_active: Callable[[], bool],
        is_recording: Callable[[str], bool],
        is_new_group: bool,
        on_changed: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._state = state
        self._propose = propose
        self._is_active = is_active
        self._is_recording = is_recording
        self._on_changed = on_changed
        self._log = log
        # A leader of an earlier software has listed no versions.
        self._tracker = VersionTracker(
            has_unlisted=not is_new_group and not state.software_versions
        )
        self._lifetime_s = stream_lifetime_s(0.0)
        self._recorder = StreamRecorder(
            loop,
            state,
            propose,
            is_active,
            lambda: self._lifetime_s,
            self._on_records_lost,
            log,
        )
        self._listed = dict(state.software_versions)
        #: Boot time until which targets of a version are withheld at the longest, and
        #: the number of the last records that came before all routers recorded.
        self._withheld: dict[tuple[str, str], float] = {}
        self._recorded_after: dict[tuple[str, str], int] = {}
        #: Versions by service that a command in flight takes from the list. A target
        #: that comes back meanwhile may not be used until its version is listed again.
        self._leaving: dict[str, frozenset[str]] = {}
        self._streams_dropped = state.streams_dropped
        self._is_proposing = False
        self._is_closed = False
        self._checks = CoalescedAction(
            loop, self._release_targets, lambda: CHECK_INTERVAL_S
        )
        self._retries = CoalescedAction(loop, self._submit, lambda: CHECK_INTERVAL_S)

    @property
    def mixed_services(self) -> tuple[str, ...]:
        """Services for which each stream has to be recorded."""
        listed = self._state.software_versions
        return tuple(sorted(s for s, versions in listed.items() if len(versions) > 1))

    @property
    def is_listing(self) -> bool:
        """Whether a version of the target list is not listed in the state yet."""
        listed = self._state.software_versions
        return any(
            versions - listed.get(service, frozenset())
            for service, versions in self._changes().items()
        )

    def close(self) -> None:
        """Propose and answer nothing any more."""
        self._is_closed = True
        self._recorder.close()
        self._checks.close()
        self._retries.close()

    def set_longest_timeout(self, timeout_s: float) -> None:
        """Set the longest time-out of all routes in seconds."""
        self._lifetime_s = stream_lifetime_s(timeout_s)

    def is_usable(self, target: ListedTarget) -> bool:
        """Return whether routers may send requests to a target."""
        service, version = target.service, target.software_version
        return (
            version in self._state.software_versions.get(service, frozenset())
            and version not in self._leaving.get(service, frozenset())
            and (service, version) not in self._withheld
        )

    def on_page(self, targets: Iterable[ListedTarget]) -> None:
        """Follow a part of the target list."""
        self._tracker.add(targets)
        self._submit()

    def on_list(self, targets: Iterable[ListedTarget]) -> None:
        """Follow a complete target list."""
        self._tracker.replace(boot_time(), targets, self._state.software_versions)
        self._submit()
        self._recorder.drop_old()

    def on_message(self, link: Link, message: StreamRecords | VersionQuery) -> None:
        """Record streams, or answer a query about one."""
        if isinstance(message, VersionQuery):
            self._recorder.on_query(link, message)
            return
        listed = self._state.software_versions.get(message.service)
        # A second version of the service may be about to be committed.
        is_needed = listed != {message.version} or self._is_proposing
        self._recorder.on_records(message, is_needed)

    def on_applied(self) -> None:
        """Follow the newly applied state."""
        self._recorder.on_applied()
        if self._state.streams_dropped != self._streams_dropped:
            self._streams_dropped = self._state.streams_dropped
            self._log.warning("stream_records_full", dropped=self._streams_dropped)
            for service in self._state.software_versions:
                self._tracker.mark_unknown(service)
            self._submit()
        listed = dict(self._state.software_versions)
        if listed != self._listed:
            previous, self._listed = self._listed, listed
            self._follow_versions(previous)

    def _follow_versions(self, previous: dict[str, frozenset[str]]) -> None:
        withhold_until = boot_time() + RECORDING_WAIT_S
        for service in sorted(self._listed.keys() | previous.keys()):
            versions = self._listed.get(service, frozenset())
            was = previous.get(service, frozenset())
            if versions == was:
                continue
            self._log.info(
                "software_versions",
                service=service,
                versions=describe_versions(versions),
            )
            # Without an earlier version no router has streams to record.
            for version in versions - was if was else ():
                self._withheld[service, version] = withhold_until
            for version in was - versions:
                self._withheld.pop((service, version), None)
        self._release_targets()
        self._on_changed()

    def _release_targets(self) -> None:
        """Let routers use the targets of versions that need not be withheld any more.

        The streams that began at another version have to be recorded before, since a
        stream without a record is unknown from now on.
        """
        now, is_released = boot_time(), False
        for key, expires_at in tuple(self._withheld.items()):
            service, version = key
            if self._is_recording(service):
                self._recorded_after.setdefault(key, self._recorder.received)
            after = self._recorded_after.get(key)
            is_recorded = after is not None and self._recorder.settled >= after
            if not is_recorded and now < expires_at:
                continue
            if not is_recorded:
                self._log.warning(
                    "streams_unrecorded", service=service, version=version
                )
            del self._withheld[key]
            self._recorded_after.pop(key, None)
            is_released = True
        if self._withheld:
            self._checks.schedule()
        if is_released:
            self._on_changed()

    def _on_records_lost(self, service: str) -> None:
        self._tracker.mark_unknown(service)
        self._submit()

    def _changes(self) -> dict[str, frozenset[str]]:
        return self._tracker.changes(
            boot_time(), self._state.software_versions, self._lifetime_s
        )

    def _submit(self) -> None:
        """Propose the versions that have to be listed, one command at a time."""
        changes = {} if self._is_closed else self._changes()
        if not changes:
            return
        if self._is_proposing or not self._is_active():
            self._retries.schedule()
            return
        self._is_proposing = True
        listed = self._state.software_versions
        self._leaving = {s: listed.get(s, frozenset()) - v for s, v in changes.items()}

        def on_done(_is_committed: bool) -> None:
            self._is_proposing = False
            self._leaving = {}
            self._retries.schedule()

        services = tuple(
            ServiceVersions(service, tuple(sorted(versions)))
            for service, versions in sorted(changes.items())
        )
        self._propose(pack(ListSoftwareVersions(services)), on_done)
