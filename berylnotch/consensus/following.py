"""What a follower does with its leader's entries and snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotReply,
    SnapshotRequest,
)
from berylnotch.consensus.state import Snapshot

if TYPE_CHECKING:
    from berylnotch.consensus.core import Core


def append(core: Core, request: AppendRequest) -> AppendReply:
    """Take the leader's entries.

    Returns
    -------
    AppendReply
        ``match`` is the last index that equals the leader's log; if the
        entries do not fit, it is where the logs may still be equal.
    """
    match = request.prev_index + len(request.entries)
    if request.prev_index > core.commit:
        if core.log.term_at(request.prev_index) != request.prev_term:
            return _append_reply(core, request, False, _match_hint(core, request))
    # Committed entries are equal in all logs, also where they are compacted.
    core.log.merge(tuple(e for e in request.entries if e.index > core.commit))
    core.advance_commit(min(request.commit, match))
    return _append_reply(core, request, True, match)


def _append_reply(
    core: Core, request: AppendRequest, ok: bool, match: int
) -> AppendReply:
    return AppendReply(core.term, core.identity, ok, match, request.round)


def _match_hint(core: Core, request: AppendRequest) -> int:
    if request.prev_index > core.log.last_index:
        return core.log.last_index
    return max(core.commit, core.log.first_of_term(request.prev_index) - 1)


class SnapshotReceiver:
    """Collects the parts of one snapshot.

    Parameters
    ----------
    core : Core
        Shared state of the replica.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._source: tuple[str, int, int] = ("", 0, 0)
        self._data = bytearray()

    def receive(self, request: SnapshotRequest) -> SnapshotReply:
        """Take one part; the last one installs the snapshot."""
        core = self._core
        if request.last_index <= core.commit:
            return self._reply(request, done=True)
        if core.log.term_at(request.last_index) == request.last_term:
            core.advance_commit(request.last_index)
            return self._reply(request, done=True)
        source = (request.leader, request.last_index, request.last_term)
        if source != self._source:
            self._source = source
            self._data = bytearray()
        if request.offset != len(self._data):
            return self._reply(request, done=False)
        self._data += request.data
        if request.done:
            self._install(request)
        return self._reply(request, done=request.done)

    def _install(self, request: SnapshotRequest) -> None:
        core = self._core
        snapshot = Snapshot(
            request.last_index, request.last_term, request.members, bytes(self._data)
        )
        core.log.install(snapshot)
        core.installed = snapshot
        core.commit = snapshot.last_index
        self._forget()

    def _forget(self) -> None:
        self._source = ("", 0, 0)
        self._data = bytearray()

    def _reply(self, request: SnapshotRequest, done: bool) -> SnapshotReply:
        core = self._core
        offset = len(self._data)
        return SnapshotReply(
            core.term, core.identity, request.last_index, offset, done, request.round
        )
