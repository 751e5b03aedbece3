"""Handling of the leader's entries and snapshots on a follower."""

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


def append_entries(core: Core, request: AppendRequest) -> AppendReply:
    """Append the leader's entries to the log.

    Returns
    -------
    AppendReply
        If ``ok``, ``match`` is the last index up to which the log equals the leader's.
        If the entries do not continue this log, ``match`` is a hint: the last index up
        to which the logs may still be equal.
    """
    match = request.prev_index + len(request.entries)
    if request.prev_index > core.commit_index:
        if core.log.term_at(request.prev_index) != request.prev_term:
            return _make_append_reply(core, request, False, _match_hint(core, request))
    # Committed entries are equal in all logs, including entries that this replica has
    # compacted and can no longer compare.
    core.log.merge(tuple(e for e in request.entries if e.index > core.commit_index))
    core.advance_commit(min(request.commit, match))
    return _make_append_reply(core, request, True, match)


def _make_append_reply(
    core: Core, request: AppendRequest, ok: bool, match: int
) -> AppendReply:
    return AppendReply(core.term, core.identity, ok, match, request.round)


def _match_hint(core: Core, request: AppendRequest) -> int:
    if request.prev_index > core.log.last_index:
        return core.log.last_index
    return max(core.commit_index, core.log.first_index_of_term(request.prev_index) - 1)


class SnapshotReceiver:
    """Assembles a snapshot from the parts that the leader sends.

    Parameters
    ----------
    core : Core
        Shared state of the replica.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._snapshot_id: tuple[str, int, int] = ("", 0, 0)
        self._data = bytearray()

    def receive_part(self, request: SnapshotRequest) -> SnapshotReply:
        """Store one part of a snapshot; the last part installs the snapshot."""
        core = self._core
        if request.last_index <= core.commit_index:
            return self._reply(request, done=True)
        if core.log.term_at(request.last_index) == request.last_term:
            core.advance_commit(request.last_index)
            return self._reply(request, done=True)
        snapshot_id = (request.leader, request.last_index, request.last_term)
        if snapshot_id != self._snapshot_id:
            self._snapshot_id = snapshot_id
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
        core.log.install_snapshot(snapshot)
        core.installed_snapshot = snapshot
        core.commit_index = snapshot.last_index
        self._reset()

    def _reset(self) -> None:
        self._snapshot_id = ("", 0, 0)
        self._data = bytearray()

    def _reply(self, request: SnapshotRequest, done: bool) -> SnapshotReply:
        core = self._core
        offset = len(self._data)
        return SnapshotReply(
            core.term, core.identity, request.last_index, offset, done, request.round
        )
