"""Provides the outcome of an attempt and the interface of its receiver."""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from berylnotch.net.messages import Headers
from berylnotch.net.response_memory import HeldResponse

if TYPE_CHECKING:
    from berylnotch.entry.migration import StoppedRun
    from berylnotch.entry.targets import Target


class AttemptEnd(Enum):
    """Outcome of an attempt."""

    #: The target sent a whole answer that is not a stream.
    ANSWERED = "answered"
    #: The target's stream is complete.
    STREAM_COMPLETE = "stream complete"
    #: The target could not be reached, so no part of the request arrived.
    NOT_REACHED = "not reached"
    #: The target states that it did not run the request.
    NOT_RUN = "not run"
    #: The run was stopped and can resume at another engine from its KV cache.
    MOVED = "moved"
    #: The target stopped its work when the time that it was given was over.
    EXPIRED = "expired"
    #: The attempt failed, and the target may have run the request.
    BROKEN = "broken"


@frozen
class AttemptResult:
    """Outcome of an attempt, with the target's answer if one has arrived.

    ``is_lost`` states that the connection broke while the target may have run the
    request. ``is_delimited`` is false if the answer ended with its connection, which
    also happens if the target ends. ``held`` is the memory of ``body``. ``stopped_run``
    is set if ``end`` is ``AttemptEnd.MOVED``.
    """

    target: Target
    end: AttemptEnd
    reason: str = ""
    status: int = 0
    headers: Headers | None = None
    body: bytes | bytearray = b""
    held: HeldResponse | None = None
    is_lost: bool = False
    is_delimited: bool = True
    stopped_run: StoppedRun | None = None


class AttemptOwner(Protocol):
    """Receiver of an attempt's events.

    ``unanswered_stops`` holds the identities of the targets that did not answer a call
    to stop a run of the request. They may carry it out at any time, and it stops a
    later run of the request at the same target as well.
    """

    unanswered_stops: set[str]

    def on_stream_begin(self, status: int, headers: Headers) -> None:
        """Handle the head of a stream."""

    def on_event(self, data: bytes, number: int | None) -> None:
        """Handle an event of a stream."""

    @property
    def lacks_retry(self) -> bool:
        """Whether only the retry budget kept the last check from one more attempt."""

    def can_retry_elsewhere(self) -> bool:
        """Return whether the request may be sent to another target now."""

    def choose_destination(self, full_engines: Collection[str]) -> Target | None:
        """Return the engine to which the run should migrate, None if the run stays.

        Parameters
        ----------
        full_engines : collection of str
            Identities of engines that did not take over the run.
        """

    def on_attempt_end(self, result: AttemptResult) -> None:
        """Handle the end of the attempt."""
