"""Leader's commits of stream records, and its answers to version queries."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from attrs import frozen

from berylnotch.group.commands import RecordStreams
from berylnotch.group.messages import StreamRecords, VersionQuery, VersionReply
from berylnotch.group.state import FleetState
from berylnotch.group.stream_records import VersionGroup
from berylnotch.membership.stream_versions import (
    MAX_VERSION_CHARS,
    UNKNOWN_VERSION,
    join_identities,
    split_identities,
)
from berylnotch.transport.link import Link
from berylnotch.transport.packing import pack
from berylnotch.util.clock import boot_time
from berylnotch.util.coalesced_action import CoalescedAction
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds for which records are collected into one command.
RECORD_BATCH_S = 0.05

#: Interval in seconds at which old records are dropped while no new ones come.
DROP_INTERVAL_S = 5.0

#: Largest number of records that wait for a commit. Further ones are not recorded.
MAX_PENDING_RECORDS = 50_000

#: Largest number of queries that wait for a commit; the oldest get no answer.
MAX_WAITING_QUERIES = 10_000

#: Longest time in seconds for which a query waits; routers refuse a take-up earlier.
MAX_QUERY_WAIT_S = 2.0


@frozen
class _WaitingQuery:
    """A query, and the number of the last records that came before it.

    ``expires_at`` is the boot time after which it gets no answer any more.
    """

    after: int
    expires_at: float
    link: Link
    query: VersionQuery


class StreamRecorder:
    """Records the software versions of streams, and answers routers from the state.

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
    lifetime_s : callable
        Returns the longest time in seconds from the begin of a stream until it is taken
        up.
    on_lost : callable
        Called with the service of records that cannot be committed.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        loop: Loop,
        state: FleetState,
        propose: Callable[[bytes, Callable[[bool], None]], None],
        is_active: Callable[[], bool],
        lifetime_s: Callable[[], float],
        on_lost: Callable[[str], None],
        log: EventLog,
    ) -> None:
        self._state = state
        self._propose = propose
        self._is_active = is_active
        self._lifetime_s = lifetime_s
        self._on_lost = on_lost
        self._log = log
        #: Identities to record, by service and version.
        self._pending: dict[tuple[str, str], set[bytes]] = {}
        self._pending_count = 0
        self._received = self._settled = 0
        self._waiting: deque[_WaitingQuery] = deque(maxlen=MAX_WAITING_QUERIES)
        #: Times at which all batches with lower numbers were in the state.
        self._batch_times = deque([(boot_time(), state.stream_batches.stop)])
        self._drop_due_at = boot_time() + DROP_INTERVAL_S
        self._is_proposing = False
        self._is_closed = False
        self._batches = CoalescedAction(loop, self._submit, lambda: RECORD_BATCH_S)

    @property
    def received(self) -> int:
        """Number of the last records that were received."""
        return self._received

    @property
    def settled(self) -> int:
        """Number of the last records of which all up to them are committed."""
        return self._settled

    def close(self) -> None:
        """Propose and answer nothing any more."""
        self._is_closed = True
        self._batches.close()
        self._waiting.clear()

    def on_applied(self) -> None:
        """Follow the newly applied state."""
        next_batch = self._state.stream_batches.stop
        if next_batch != self._batch_times[-1][1]:
            self._batch_times.append((boot_time(), next_batch))

    def drop_old(self) -> None:
        """Drop the records that no take-up can need, even if no new ones come."""
        now = boot_time()
        if now >= self._drop_due_at:
            self._drop_due_at = now + DROP_INTERVAL_S
            if self._has_old_records(now):
                self._batches.schedule()

    def on_records(self, records: StreamRecords, is_needed: bool) -> None:
        """Record streams with the next command, unless the state tells the same.

        Parameters
        ----------
        records : StreamRecords
            Streams of one version.
        is_needed : bool
            Whether streams of this version need a record.
        """
        service, version = records.service, records.version
        try:
            identities = tuple(split_identities(records.identities))
        except ValueError as error:
            self._log.warning("stream_records_malformed", reason=str(error))
            return
        if len(version) > MAX_VERSION_CHARS:
            version = UNKNOWN_VERSION
        pending = self._pending.get((service, version), set())
        added = {
            identity
            for identity in identities
            if identity not in pending
            and self._is_unrecorded(identity, version, is_needed)
        }
        if not added:
            return
        if self._pending_count + len(added) > MAX_PENDING_RECORDS:
            self._log.warning("stream_records_lost", service=service, count=len(added))
            self._on_lost(service)
            return
        self._pending.setdefault((service, version), set()).update(added)
        self._pending_count += len(added)
        self._received += 1
        self._batches.schedule()

    def on_query(self, link: Link, query: VersionQuery) -> None:
        """Answer a query once all records that came before it are committed.

        A record may tell that the version is unknown, which nobody could learn if this
        leader were lost with the record.
        """
        if self._settled >= self._received:
            self._answer(link, query)
        else:
            self._waiting.append(
                _WaitingQuery(
                    self._received, boot_time() + MAX_QUERY_WAIT_S, link, query
                )
            )

    def _is_unrecorded(self, identity: bytes, version: str, is_needed: bool) -> bool:
        recorded = self._state.recorded_version(identity)
        if recorded is None:
            return is_needed
        return recorded not in (version, UNKNOWN_VERSION)

    def _answer(self, link: Link, query: VersionQuery) -> None:
        if not self._is_active():
            return
        version = self._state.stream_version(query.service, query.identity)
        if version == UNKNOWN_VERSION:
            listed = self._state.software_versions.get(query.service, frozenset())
            recorded = self._state.recorded_version(query.identity)
            self._log.info(
                "stream_version_unknown",
                service=query.service,
                identity=query.identity.hex(),
                is_recorded=recorded is not None,
                versions=describe_versions(listed),
            )
        link.send(VersionReply(query.number, version))

    def _submit(self) -> None:
        """Propose the next command, one at a time."""
        now = boot_time()
        if not self._pending and not self._has_old_records(now):
            return
        if self._is_proposing or not self._is_active():
            self._batches.schedule()
            return
        pending, self._pending, self._pending_count = self._pending, {}, 0
        received = self._received
        groups = tuple(
            VersionGroup(service, version, join_identities(sorted(identities)))
            for (service, version), identities in sorted(pending.items())
        )
        self._is_proposing = True

        def on_done(is_committed: bool) -> None:
            self._is_proposing = False
            if self._is_closed:
                return
            if is_committed:
                self._settled = received
                self._answer_waiting()
            else:
                for key, identities in pending.items():
                    self._pending.setdefault(key, set()).update(identities)
                self._pending_count = sum(map(len, self._pending.values()))
            if self._pending:
                self._batches.schedule()

        self._propose(pack(RecordStreams(groups, self._keep_from(now))), on_done)

    def _answer_waiting(self) -> None:
        while self._waiting and self._waiting[0].after <= self._settled:
            waiting = self._waiting.popleft()
            if boot_time() < waiting.expires_at:
                self._answer(waiting.link, waiting.query)

    def _has_old_records(self, now: float) -> bool:
        return self._keep_from(now) > self._state.stream_batches.start

    def _keep_from(self, now: float) -> int:
        """Return the number of the first batch that may still be needed."""
        times, lifetime_s = self._batch_times, self._lifetime_s()
        while len(times) > 1 and now - times[1][0] >= lifetime_s:
            times.popleft()
        oldest_at, next_batch = times[0]
        return next_batch if now - oldest_at >= lifetime_s else 0


def describe_versions(versions: Iterable[str]) -> str:
    """Return software versions in a form for logs."""
    return ",".join(sorted(version or "unknown" for version in versions))
