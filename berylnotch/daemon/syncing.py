"""Answers to subscribers, held back while nothing is new."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from berylnotch.control.protocol import SyncReply, SyncRequest

if TYPE_CHECKING:
    from berylnotch.control.events import VersionedEvent

#: Longest time, in milliseconds, for which an answer is held back.
MAX_WAIT_MS = 1000


class Source(Protocol):
    """State that subscribers follow."""

    @property
    def version(self) -> int:
        """Log index of the newest event."""

    @property
    def group(self) -> str:
        """Group of controllers that made the state."""

    def events_after(self, version: int) -> tuple[VersionedEvent, ...] | None:
        """Return newer events, or None if they are not kept any more."""

    def view_snapshot(self) -> bytes:
        """Return the whole view."""


@frozen
class _Waiting:
    """A subscriber whose answer is held back."""

    version: int
    due: float
    reply: Callable[[object], None]


class SyncServer:
    """Serves `SyncRequest` from a state.

    Parameters
    ----------
    source : Source
        The state.
    age_ms : callable
        Age of the state's freshness at a time, in milliseconds; negative if
        nobody vouches.
    leader_address : callable
        Address of the leader, or an empty string.
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
        self._waiting: list[_Waiting] = []
        self._snapshot: bytes = b""
        self._snapshot_of = ("", -1)

    @property
    def waiting(self) -> int:
        """Subscribers whose answer is held back."""
        return len(self._waiting)

    def ask(
        self, now: float, request: SyncRequest, reply: Callable[[object], None]
    ) -> None:
        """Answer a subscriber now, or hold the answer back."""
        if request.version != self._source.version or request.wait_ms <= 0:
            reply(self._answer(now, request.version))
            return
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / 1000
        self._waiting.append(_Waiting(request.version, now + wait_s, reply))

    def tick(self, now: float) -> None:
        """Answer those whose wait is over or for whom there is news."""
        if not self._waiting:
            return
        version = self._source.version
        due = [w for w in self._waiting if w.due <= now or w.version != version]
        if not due:
            return
        self._waiting = [
            w for w in self._waiting if w.due > now and w.version == version
        ]
        for waiting in due:
            waiting.reply(self._answer(now, waiting.version))

    def _answer(self, now: float, version: int) -> SyncReply:
        source = self._source
        events = source.events_after(version) if version <= source.version else None
        # A subscriber that is ahead of a follower keeps what it has.
        if version > source.version:
            events = ()
        return SyncReply(
            version=source.version,
            age_ms=self._age_ms(now),
            leader_address=self._leader_address(),
            events=events or (),
            snapshot=self._whole() if events is None else b"",
            group=source.group,
        )

    def _whole(self) -> bytes:
        # A herd of restarted routers asks for the same version at once.
        wanted = (self._source.group, self._source.version)
        if self._snapshot_of != wanted:
            self._snapshot = self._source.view_snapshot()
            self._snapshot_of = wanted
        return self._snapshot
