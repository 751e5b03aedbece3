"""Long-polling server of control events, used by controllers and routers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from berylnotch.control.protocol import SyncReply, SyncRequest

if TYPE_CHECKING:
    from berylnotch.control.events import VersionedEvent

#: Longest time in milliseconds for which a reply is delayed until there are new events.
MAX_WAIT_MS = 1000


class Source(Protocol):
    """State whose events and snapshots are served to subscribers."""

    @property
    def version(self) -> int:
        """Log index of the newest event."""

    @property
    def group(self) -> str:
        """Identifier of the group of controllers that produced the state."""

    def events_after(self, version: int) -> tuple[VersionedEvent, ...] | None:
        """Return the events after a version, or None if they were discarded."""

    def view_snapshot(self) -> bytes:
        """Return a snapshot of the view."""


@frozen
class _DelayedReply:
    """A request whose reply is delayed, at the latest until its deadline.

    The deadline is a monotonic time in seconds.
    """

    version: int
    deadline: float
    reply: Callable[[object], None]


class SyncServer:
    """Answers each `SyncRequest` with newer events or a snapshot.

    A request for the current version is answered when a newer version exists or its
    wait time is over.

    Parameters
    ----------
    source : Source
        State to serve.
    age_ms : callable
        Returns the age of the state in milliseconds at a monotonic time in seconds;
        negative if no leader has confirmed the state.
    leader_address : callable
        Returns the address of the leader, or an empty string if it is unknown.
    """

    def __init__(
        self,
        source: Source,
        age_ms: Callable[[float], int],
        leader_address: Callable[[], str],
    ) -> None:
        self._source = source
        self._age_ms = age_ms
        self._leader_address = leader_address
        self._delayed: list[_DelayedReply] = []
        self._snapshot: bytes = b""
        self._snapshot_key = ("", -1)

    @property
    def delayed_count(self) -> int:
        """Number of requests whose reply is delayed."""
        return len(self._delayed)

    def on_request(
        self, now: float, request: SyncRequest, reply: Callable[[object], None]
    ) -> None:
        """Answer a request at once, or delay the reply if there are no new events."""
        if request.version != self._source.version or request.wait_ms <= 0:
            reply(self._build_reply(now, request.version))
            return
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / 1000
        self._delayed.append(_DelayedReply(request.version, now + wait_s, reply))

    def tick(self, now: float) -> None:
        """Answer the requests whose deadline has passed or that have new events."""
        if not self._delayed:
            return
        version = self._source.version
        due = [d for d in self._delayed if d.deadline <= now or d.version != version]
        if not due:
            return
        self._delayed = [
            d for d in self._delayed if d.deadline > now and d.version == version
        ]
        for delayed_reply in due:
            delayed_reply.reply(self._build_reply(now, delayed_reply.version))

    def _build_reply(self, now: float, version: int) -> SyncReply:
        source = self._source
        events = source.events_after(version) if version <= source.version else None
        # If the source lags behind the subscriber, the subscriber needs neither events
        # nor a snapshot.
        if version > source.version:
            events = ()
        return SyncReply(
            version=source.version,
            age_ms=self._age_ms(now),
            leader_address=self._leader_address(),
            events=events or (),
            snapshot=self._cached_snapshot() if events is None else b"",
            group=source.group,
        )

    def _cached_snapshot(self) -> bytes:
        # The snapshot is cached because many routers that restart at the same time
        # request the same version.
        key = (self._source.group, self._source.version)
        if self._snapshot_key != key:
            self._snapshot = self._source.view_snapshot()
            self._snapshot_key = key
        return self._snapshot
