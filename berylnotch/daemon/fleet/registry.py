"""Registry of the routers that report to the leader, and the updates sent to them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from attrs import define, evolve

from berylnotch.daemon.fleet.feed import Change, DeltaTable
from berylnotch.daemon.fleet.speed_sums import SpeedSums
from berylnotch.group.columns import TargetNumbers, load_columns, note_records
from berylnotch.group.messages import (
    ConfigurationUpdate,
    CrashesUpdate,
    LoadsUpdate,
    PromptNote,
    RosterUpdate,
    RouterEntry,
    RouterReport,
    TargetLoad,
    TargetsUpdate,
)
from berylnotch.group.rollouts import RolloutPolicy
from berylnotch.group.state import FleetState
from berylnotch.transport.link import Link
from berylnotch.transport.packing import pack
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.recent_maximum import RecentMaximum

#: Routers that must have ejected a target before all others avoid it.
MIN_EJECTING_ROUTERS = 2

#: Reason for closing the earlier link of a router that reports on another one.
REPLACED = "replaced by a newer link"

#: Seconds for which a router that does not report any more may still hold its part of a
#: limit. It exceeds the usual length of a partition.
COUNT_MEMORY_S = 300.0


@define
class _Router:
    """Link and newest report of a router, and the configuration version sent to it."""

    link: Link
    report: RouterReport
    sent_version: int = 0


class RouterRegistry:
    """Registry of the routers with an open link to this leader.

    Parameters
    ----------
    state : FleetState
        Replicated state with the current configuration.
    log : EventLog
        Log of the process.
    on_roster_changed : callable, optional
        Called when `push_roster` has changes to send; by default they are sent at once.
    """

    def __init__(
        self,
        state: FleetState,
        log: EventLog,
        on_roster_changed: Callable[[], None] | None = None,
    ) -> None:
        self._state = state
        self._log = log
        self._on_roster_changed = on_roster_changed or self.push_roster
        self._routers: dict[str, _Router] = {}
        self._counts = RecentMaximum(COUNT_MEMORY_S)
        self._targets: TargetsUpdate | None = None
        #: Pages of the first target list, until all of it has been read, and the same
        #: packed with the newest policies of rollouts.
        self._first_pages: list[TargetsUpdate] = []
        self._packed_pages: list[bytes] = []
        #: Newest policies that were sent before the first target list, also packed.
        self._policies: tuple[RolloutPolicy, ...] = ()
        self._packed_policies = b""
        self._packed_targets = b""
        self._packed_configuration = b""
        self._packed_version = 0
        self._packed_roster = b""
        self._target_numbers = TargetNumbers()
        self._target_table = DeltaTable()
        self._roster_table = DeltaTable()
        self._is_roster_complete = False
        self._load_sums = LoadsUpdate(())
        self._speeds = SpeedSums()
        self._long_requests: Counter[str] = Counter()
        #: Whether routers added the loads of prompt notes to the newest sums.
        self._has_added_loads = False
        self._crashes = CrashesUpdate()
        self._pending_notes: list[PromptNote] = []

    @property
    def count(self) -> int:
        """Number of routers that report."""
        return len(self._routers)

    @property
    def reports(self) -> tuple[RouterReport, ...]:
        """Newest report of each router."""
        return tuple(router.report for router in self._routers.values())

    @property
    def recent_count(self) -> int:
        """Largest number of routers that reported within `COUNT_MEMORY_S`."""
        return self._counts.largest(boot_time(), self.count)

    def _remember_count(self) -> None:
        self._counts.replace(boot_time(), self.count)

    @property
    def has_targets(self) -> bool:
        """Whether a complete list of targets was sent."""
        return self._targets is not None

    def on_report(self, link: Link, report: RouterReport) -> None:
        """Store a report, and send its router the state that it lacks."""
        key = report.address
        router = self._routers.get(key)
        is_new = router is None or router.link is not link
        if is_new:
            self._log.info(
                "router_reports",
                router=report.name,
                at=report.address,
                version=report.configuration_version,
            )
            router = _Router(link, report, report.configuration_version)
            self._remember_count()
            replaced, self._routers[key] = self._routers.get(key), router
            if replaced is not None:
                # Reports that arrive late on the old link would take the place of newer
                # ones, and updates would go to a link that the router has closed.
                replaced.link.close(REPLACED)
        was_leaving = router.report.is_leaving
        router.report = report
        self._send_configuration(router)
        if is_new:
            self._send_initial_state(router)
        if is_new or was_leaving != report.is_leaving:
            self._on_roster_changed()
        self._pending_notes.extend(report.prompts)
        self._speeds.add(boot_time(), report, self._target_numbers)

    def on_link_closed(self, link: Link, reason: str) -> None:
        """Remove the router of a closed link."""
        for key, router in tuple(self._routers.items()):
            if router.link is link:
                self._remember_count()
                del self._routers[key]
                self._log.warning("router_lost", router=router.report.name, why=reason)
                self._on_roster_changed()

    def push_configuration(self) -> None:
        """Send the current configuration to every router that lacks it."""
        for router in self._routers.values():
            self._send_configuration(router)

    def push_pages(self, update: TargetsUpdate) -> None:
        """Send a part of the first target list; routers keep all other targets.

        After a failure the list is read again from its first page, so this
        method may get the same pages again.
        """
        entries = {e.target.target_id: e for e in update.targets}
        changed = self._target_table.update(entries)
        if not changed:
            return
        self._target_numbers.add(entries)
        self._speeds.store_targets(update.targets, is_whole=False)
        page = self._target_numbers.with_numbers(evolve(update, targets=changed))
        self._first_pages.append(page)
        # Packed once: hundreds of routers may connect while a long list is being read.
        self._packed_pages.append(pack(page))
        self._send_packed(self._packed_pages[-1])

    def push_policies(self, update: TargetsUpdate) -> None:
        """Send changed policies before all of the first target list has been read.

        Only routers that follow a rollout already have targets of an earlier leader or
        page. To another router, an update means that it knows the targets.

        Parameters
        ----------
        update : TargetsUpdate
            Update without targets.
        """
        if update.rollouts == self._policies:
            return
        self._policies = update.rollouts
        self._first_pages = [
            evolve(page, rollouts=update.rollouts) for page in self._first_pages
        ]
        self._packed_pages = [pack(page) for page in self._first_pages]
        self._packed_policies = pack(self._target_numbers.with_numbers(update))
        for router in tuple(self._routers.values()):
            if self._first_pages or router.report.rollouts:
                router.link.send(self._packed_policies)

    def push_targets(self, update: TargetsUpdate) -> None:
        """Send the differences between the previous and this update to all routers."""
        previous, self._targets = self._targets, update
        self._first_pages, self._packed_pages = [], []
        self._packed_policies = b""
        # The list is packed again when the next router connects, so that the router
        # gets the ages of weights from this update.
        self._packed_targets = b""
        entries = {e.target.target_id: e for e in update.targets}
        change = self._target_table.replace(entries)
        self._target_numbers.keep(entries)
        self._speeds.store_targets(update.targets, is_whole=True)
        if previous is None:
            self._send_all(self._target_numbers.with_numbers(update))
        elif change is not None or not _are_equal_except_targets(previous, update):
            entries, gone = (change.entries, change.gone) if change else ((), ())
            delta = evolve(update, targets=entries, gone=gone, is_whole=False)
            self._send_all(self._target_numbers.with_numbers(delta))

    def complete_roster(self) -> None:
        """Start to send rosters, after all routers had time to report."""
        self._is_roster_complete = True
        self._update_roster()
        # Routers may still have the roster of the previous leader.
        self._send_all(RosterUpdate(self._roster_table.entries))

    def push_roster(self) -> None:
        """Send changes in the set of routers that accept requests to all routers."""
        if not self._is_roster_complete:
            return
        change = self._update_roster()
        if change is not None:
            self._send_all(RosterUpdate(change.entries, change.gone, is_whole=False))

    def _update_roster(self) -> Change | None:
        change = self._roster_table.replace(
            {
                address: RouterEntry(address, r.report.failure_domain)
                for address, r in sorted(self._routers.items())
                if not r.report.is_leaving
            }
        )
        if change is not None:
            self._packed_roster = b""
        return change

    def push_loads(self) -> None:
        """Send the sums of all loads, if they differ from those that routers have."""
        requests: Counter[str] = Counter()
        unread: Counter[str] = Counter()
        long_requests: Counter[str] = Counter()
        for router in self._routers.values():
            for load in router.report.loads:
                requests[load.target_id] += load.requests
                unread[load.target_id] += load.unread
                long_requests[load.target_id] += load.long
        self._long_requests = long_requests
        update = LoadsUpdate(
            tuple(TargetLoad(t, n, unread[t]) for t, n in sorted(requests.items())),
            tuple(sorted(self._ejected_targets(MIN_EJECTING_ROUTERS))),
        )
        speeds = self._speeds.column_if_due(boot_time(), self._target_numbers)
        if update != self._load_sums or self._has_added_loads or speeds:
            self._load_sums = update
            self._has_added_loads = False
            columns = load_columns(update, self._target_numbers)
            self._send_all(evolve(columns, speeds=speeds))

    def take_notes(self) -> tuple[PromptNote, ...]:
        """Return the prompt notes that routers reported since the last call."""
        notes, self._pending_notes = tuple(self._pending_notes), []
        return notes

    def push_notes(self, notes: tuple[PromptNote, ...]) -> None:
        """Send prompt notes to all routers."""
        if notes:
            self._has_added_loads = True
            self._send_all(note_records(notes, self._target_numbers))

    def push_crashes(self, update: CrashesUpdate) -> None:
        """Send the suspects and causes of crashes to all routers, if they changed."""
        if update != self._crashes:
            self._crashes = update
            self._send_all(update)

    def is_recording(self, service: str) -> bool:
        """Return whether all routers record the streams of a service."""
        return all(service in r.report.recording for r in self._routers.values())

    def requests(self) -> dict[str, int]:
        """Return the running requests at each target, from the newest load sums."""
        return {load.target_id: load.requests for load in self._load_sums.loads}

    def long_requests(self, target_id: str) -> int:
        """Return the long-running requests at a target, from the newest load sums."""
        return self._long_requests[target_id]

    def unreachable(self) -> frozenset[str]:
        """Return the targets that several routers have ejected after failures."""
        return self._ejected_targets(MIN_EJECTING_ROUTERS)

    def _ejected_targets(self, min_routers: int) -> frozenset[str]:
        """Return the targets that at least ``min_routers`` routers have ejected."""
        counts: Counter[str] = Counter()
        for router in self._routers.values():
            counts.update(router.report.ejected)
        return frozenset(t for t, n in counts.items() if n >= min_routers)

    def _send_initial_state(self, router: _Router) -> None:
        """Send the known state to a new router.

        The load sums are sent even if they are empty, so that the router learns that it
        has found the leader. The causes of crashes come first, so that the router
        serves no request before it knows them.
        """
        if self._crashes != CrashesUpdate():
            router.link.send(self._crashes)
        if self._packed_policies and router.report.rollouts:
            router.link.send(self._packed_policies)
        for page in self._packed_pages:
            router.link.send(page)
        if self._targets is not None:
            if not self._packed_targets:
                self._packed_targets = pack(
                    self._target_numbers.with_numbers(self._targets)
                )
            router.link.send(self._packed_targets)
        columns = load_columns(self._load_sums, self._target_numbers)
        speeds = self._speeds.column(boot_time(), self._target_numbers)
        router.link.send(evolve(columns, speeds=speeds))
        if self._is_roster_complete:
            if not self._packed_roster:
                self._packed_roster = pack(RosterUpdate(self._roster_table.entries))
            router.link.send(self._packed_roster)

    def _send_configuration(self, router: _Router) -> None:
        version = self._state.version
        if version <= router.sent_version:
            return
        router.sent_version = version
        if self._packed_version != version:
            self._packed_version = version
            update = ConfigurationUpdate(
                version, self._state.content, self._state.cache_sharing.generation
            )
            self._packed_configuration = pack(update)
        router.link.send(self._packed_configuration)

    def _send_all(self, message: object) -> None:
        self._send_packed(pack(message))

    def _send_packed(self, packed: bytes) -> None:
        for router in tuple(self._routers.values()):
            router.link.send(packed)


def _are_equal_except_targets(one: TargetsUpdate, other: TargetsUpdate) -> bool:
    """Return whether two updates are equal apart from targets and ages of weights."""
    return (
        one.down_stores == other.down_stores
        and one.mixed_services == other.mixed_services
        and one.rollouts == other.rollouts
        and [(w.model, w.version) for w in one.weights]
        == [(w.model, w.version) for w in other.weights]
    )
