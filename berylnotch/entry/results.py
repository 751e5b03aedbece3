"""How an attempt ends, and who hears of it."""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from berylnotch.net.messages import Headers

if TYPE_CHECKING:
    from berylnotch.entry.moving import MovedRun
    from berylnotch.entry.targets import Target


class AttemptEnd(Enum):
    """How an attempt ended."""

    #: The target gave a whole answer.
    ANSWERED = "answered"
    #: The target's stream came to its end.
    STREAM_COMPLETE = "stream complete"
    #: The target was not reached, so no part of the request arrived.
    NOT_REACHED = "not reached"
    #: The target did not run the request.
    NOT_RUN = "not run"
    #: The run was stopped and can go on elsewhere with its memory.
    MOVED = "moved"
    #: The target may have run the request.
    BROKEN = "broken"


@frozen
class AttemptResult:
    """End of an attempt, with the answer if there is one.

    ``is_lost`` tells that the connection broke while the target may have run it,
    ``moved`` by what a moved run goes on.
    """

    target: Target
    end: AttemptEnd
    reason: str = ""
    status: int = 0
    headers: Headers | None = None
    body: bytes = b""
    is_lost: bool = False
    moved: MovedRun | None = None


class AttemptOwner(Protocol):
    """What hears of an attempt."""

    def stream_began(self, status: int, headers: Headers) -> None:
        """Take the head of a stream."""

    def event(self, data: bytes, number: int | None) -> None:
        """Take an event of a stream."""

    def may_move(self) -> bool:
        """Tell whether the request may go to another target now."""

    def refuge(self, without_room: Collection[str]) -> Target | None:
        """Return the engine at which the run should go on, None if it stays."""

    def ended(self, result: AttemptResult) -> None:
        """Take the end."""
