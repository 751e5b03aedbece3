"""Routers that report to the leader, and what is pushed to them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from attrs import define, evolve

from berylnotch.daemon.fleet.feed import Change, Feed
from berylnotch.group.columns import TargetNumbers, load_columns, note_records
from berylnotch.group.messages import (
    ConfigurationUpdate,
    CrashesUpdate,
    CrashMark,
    LoadsUpdate,
    PromptNote,
    RosterUpdate,
    RouterEntry,
    RouterReport,
    TargetLoad,
    TargetsUpdate,
)
from berylnotch.group.state import FleetState
from berylnotch.transport.link import Link
from berylnotch.transport.packing import pack
from berylnotch.util.lines import EventLog

#: Routers that must have left a target out before all others avoid it.
SUSPECT_ROUTERS = 2

#: Crash marks that are remembered; the oldest are forgotten first.
MAX_CRASH_MARKS = 512


@define
class _Router:
    """A router as its newest report tells."""

    link: Link
    report: RouterReport
    sent_version: int = 0


class RouterRegistry:
    """Routers with an open link to this leader.

    Parameters
    ----------
    state : FleetState
        Configuration in force.
    log : EventLog
        Log of the process.
    roster_changed : callable, optional
        Called when `push_roster` has something to send; by default it is sent at once.
    """

    def __init__(
        self,
        state: FleetState,
        log: EventLog,
        roster_changed: Callable[[], None] | None = None,
    ) -> None:
        self._state = state
        self._log = log
        self._roster_changed = roster_changed or self.push_roster
        self._routers: dict[str, _Router] = {}
        self._targets: TargetsUpdate | None = None
        #: Packed pages of the first list, while it is being read.
        self._first_pages: list[bytes] = []
        self._packed_targets = b""
        self._packed_configuration = b""
        self._packed_version = 0
        self._packed_roster = b""
        self._numbers = TargetNumbers()
        self._target_feed = Feed()
        self._roster_feed = Feed()
        self._is_roster_complete = False
        self._loads = LoadsUpdate(())
        self._long_requests: Counter[str] = Counter()
        #: Whether routers added the loads of notes to the newest sums.
        self._has_added_loads = False
        self._crashes: dict[CrashMark, None] = {}
        self._notes: list[PromptNote] = []

    @property
    def count(self) -> int:
        """Routers that report."""
        return len(self._routers)

    def take(self, link: Link, report: RouterReport) -> None:
        """Take a report; bring its router up to date."""
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
            self._routers[key] = router
        was_leaving = router.report.is_leaving
        router.report = report
        self._send_configuration(router)
        if is_new:
            self._welcome(router)
        if is_new or was_leaving != report.is_leaving:
            self._roster_changed()
        self._take_crashes(report)
        self._notes.extend(report.prompts)

    def lost(self, link: Link, reason: str) -> None:
        """Note that a link has ended."""
        for key, router in tuple(self._routers.items()):
            if router.link is link:
                del self._routers[key]
                self._log.warning("router_lost", router=router.report.name, why=reason)
                self._roster_changed()

    def push_configuration(self) -> None:
        """Send the configuration in force to every router that lacks it."""
        for router in self._routers.values():
            self._send_configuration(router)

    def push_pages(self, update: TargetsUpdate) -> None:
        """Send a part of the first list; routers keep what they know beside it.

        A reading that failed begins anew, with the same pages.
        """
        entries = {e.target.target_id: e for e in update.targets}
        changed = self._target_feed.add(entries)
        if not changed:
            return
        self._numbers.add(entries)
        page = pack(self._numbers.told(evolve(update, targets=changed)))
        # Packed once: hundreds of routers may come while a long list is being read.
        self._first_pages.append(page)
        self._send_packed(page)

    def push_targets(self, update: TargetsUpdate) -> None:
        """Send to all routers what changed in the whole update."""
        known, self._targets = self._targets, update
        self._first_pages = []
        # Packed when a router comes, with the ages of this update.
        self._packed_targets = b""
        entries = {e.target.target_id: e for e in update.targets}
        change = self._target_feed.take(entries)
        self._numbers.keep(entries)
        if known is None:
            self._send_all(self._numbers.told(update))
        elif change is not None or not _is_rest_same(known, update):
            entries, gone = (change.entries, change.gone) if change else ((), ())
            part = evolve(update, targets=entries, gone=gone, is_whole=False)
            self._send_all(self._numbers.told(part))

    def complete_roster(self) -> None:
        """Begin to send rosters; all routers had the time to report."""
        self._is_roster_complete = True
        self._take_roster()
        # Routers may still hold the roster of the leader before.
        self._send_all(RosterUpdate(self._roster_feed.entries))

    def push_roster(self) -> None:
        """Send the routers that take requests to all routers, if they changed."""
        if not self._is_roster_complete:
            return
        change = self._take_roster()
        if change is not None:
            self._send_all(RosterUpdate(change.entries, change.gone, is_whole=False))

    def _take_roster(self) -> Change | None:
        change = self._roster_feed.take(
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
        """Send the sums of all loads, if they differ from what routers hold."""
        requests: Counter[str] = Counter()
        unread: Counter[str] = Counter()
        long: Counter[str] = Counter()
        for router in self._routers.values():
            for load in router.report.loads:
                requests[load.target_id] += load.requests
                unread[load.target_id] += load.unread
                long[load.target_id] += load.long
        self._long_requests = long
        update = LoadsUpdate(
            tuple(TargetLoad(t, n, unread[t]) for t, n in sorted(requests.items())),
            tuple(sorted(self._left_out(SUSPECT_ROUTERS))),
        )
        if update != self._loads or self._has_added_loads:
            self._loads = update
            self._has_added_loads = False
            self._send_all(load_columns(update, self._numbers))

    def take_notes(self) -> tuple[PromptNote, ...]:
        """Return the routers' notes of prompts since the last call."""
        notes, self._notes = tuple(self._notes), []
        return notes

    def push_notes(self, notes: tuple[PromptNote, ...]) -> None:
        """Send notes of prompts to all routers."""
        if notes:
            self._has_added_loads = True
            self._send_all(note_records(notes, self._numbers))

    def requests(self) -> dict[str, int]:
        """Return the requests under way at each target, as last summed up."""
        return {load.target_id: load.requests for load in self._loads.loads}

    def long_requests(self, target_id: str) -> int:
        """Return the requests at a target that take long, as last summed up."""
        return self._long_requests[target_id]

    def unreachable(self) -> frozenset[str]:
        """Return the targets that routers avoid after failures."""
        return self._left_out(SUSPECT_ROUTERS)

    def _left_out(self, routers: int) -> frozenset[str]:
        """Return the targets that at least so many routers have left out."""
        counts: Counter[str] = Counter()
        for router in self._routers.values():
            counts.update(router.report.ejected)
        return frozenset(t for t, n in counts.items() if n >= routers)

    def _welcome(self, router: _Router) -> None:
        """Tell a router what is known, and at any rate that it found the leader."""
        for page in self._first_pages:
            router.link.send(page)
        if self._targets is not None:
            if not self._packed_targets:
                self._packed_targets = pack(self._numbers.told(self._targets))
            router.link.send(self._packed_targets)
        router.link.send(load_columns(self._loads, self._numbers))
        if self._is_roster_complete:
            if not self._packed_roster:
                self._packed_roster = pack(RosterUpdate(self._roster_feed.entries))
            router.link.send(self._packed_roster)
        if self._crashes:
            router.link.send(CrashesUpdate(tuple(self._crashes)))

    def _send_configuration(self, router: _Router) -> None:
        version = self._state.version
        if version <= router.sent_version:
            return
        router.sent_version = version
        if self._packed_version != version:
            self._packed_version = version
            update = ConfigurationUpdate(version, self._state.content)
            self._packed_configuration = pack(update)
        router.link.send(self._packed_configuration)

    def _take_crashes(self, report: RouterReport) -> None:
        new = tuple(mark for mark in report.crashes if mark not in self._crashes)
        if not new:
            return
        for mark in new:
            self._crashes[mark] = None
            self._log.warning(
                "crash_mark",
                fingerprint=mark.fingerprint.hex(),
                target=mark.target_id,
                router=report.name,
            )
        while len(self._crashes) > MAX_CRASH_MARKS:
            del self._crashes[next(iter(self._crashes))]
        self._send_all(CrashesUpdate(new))

    def _send_all(self, message: object) -> None:
        self._send_packed(pack(message))

    def _send_packed(self, packed: bytes) -> None:
        for router in tuple(self._routers.values()):
            router.link.send(packed)


def _is_rest_same(one: TargetsUpdate, other: TargetsUpdate) -> bool:
    """Tell whether updates differ in targets and ages of weights at the most."""
    return one.down_stores == other.down_stores and [
        (w.model, w.version) for w in one.weights
    ] == [(w.model, w.version) for w in other.weights]
