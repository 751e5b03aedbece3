"""Proposals of this leader that are not applied yet."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen

from berylnotch.control.protocol import NotLeader, ProposeReply

if TYPE_CHECKING:
    from berylnotch.control.commands import Result


@frozen
class _Pending:
    """A proposal's term and the way to answer."""

    term: int
    reply: Callable[[object], None]


class Proposals:
    """Answers proposals once they are applied."""

    def __init__(self) -> None:
        self._pending: dict[int, _Pending] = {}

    def add(self, index: int, term: int, reply: Callable[[object], None]) -> None:
        """Remember who waits for the entry at ``index``."""
        self._pending[index] = _Pending(term, reply)

    def resolve(self, index: int, term: int, result: Result | None) -> None:
        """Answer whoever proposed the entry that was applied at ``index``."""
        pending = self._pending.pop(index, None)
        if pending is None:
            return
        if pending.term != term or result is None:
            # Another leader's entry took the place; the proposer may repeat.
            pending.reply(NotLeader())
            return
        pending.reply(ProposeReply(result))

    def fail_all(self, answer: NotLeader) -> None:
        """Tell all proposers to ask the new leader.

        Their entries may still be committed, so they repeat them under the
        same change id or attempt.
        """
        pending, self._pending = self._pending, {}
        for entry in pending.values():
            entry.reply(answer)
