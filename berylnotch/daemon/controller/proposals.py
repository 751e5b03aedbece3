"""Pending proposals of the leader, answered when their entries are applied."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen

from berylnotch.control.protocol import NotLeader, ProposeReply

if TYPE_CHECKING:
    from berylnotch.control.commands import Result


@frozen
class _PendingProposal:
    """Term of a proposal and the callable for its reply."""

    term: int
    reply: Callable[[object], None]


class PendingProposals:
    """Replies to proposers once the entries of their proposals are applied."""

    def __init__(self) -> None:
        self._pending: dict[int, _PendingProposal] = {}

    def add(self, index: int, term: int, reply: Callable[[object], None]) -> None:
        """Register the callable for the reply to the entry at ``index``."""
        self._pending[index] = _PendingProposal(term, reply)

    def resolve(self, index: int, term: int, result: Result | None) -> None:
        """Answer the proposer of the entry that was applied at ``index``.

        Parameters
        ----------
        index : int
            Log index of the applied entry.
        term : int
            Term of the applied entry.
        result : Result or None
            Result of the command, None if the entry holds no command.
        """
        pending = self._pending.pop(index, None)
        if pending is None:
            return
        if pending.term != term or result is None:
            # An entry of another leader was committed at this index, so the proposal
            # is lost and the proposer may repeat it.
            pending.reply(NotLeader())
            return
        pending.reply(ProposeReply(result))

    def fail_all(self, answer: NotLeader) -> None:
        """Send an answer that redirects all proposers to the new leader.

        Their entries may still be committed, so they must repeat the commands with the
        same change id or attempt.
        """
        pending, self._pending = self._pending, {}
        for proposal in pending.values():
            proposal.reply(answer)
