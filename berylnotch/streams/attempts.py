"""Attempts of one exchange: which targets failed, whether one ran, what to retry."""

from __future__ import annotations

import math

from attrs import define, field

from berylnotch.streams.actions import FailureCause
from berylnotch.streams.answers import StreamAnswer, WholeAnswer
from berylnotch.streams.inputs import (
    ExchangeRequest,
    ExchangeSettings,
    ResponseHead,
    UpstreamEnd,
)


@define
class Attempt:
    """The attempt that is under way.

    Attributes
    ----------
    number : int
        Number of the attempt, from 1.
    target, weights : str
        Target, and its weights version as the router knows it.
    started : bool
        Whether the request may have begun to reach the target.
    head : ResponseHead or None
        Head of the answer.
    answer : StreamAnswer, WholeAnswer or None
        Answer, once its head is accepted.
    has_events : bool
        Whether an event arrived.
    held : list of bytes
        Bytes that arrived while the exchange was paused.
    held_bytes : int
        Their length.
    held_end : UpstreamEnd or None
        End of the transfer, if it came while the exchange was paused.
    """

    number: int
    target: str = ""
    weights: str = ""
    started: bool = False
    head: ResponseHead | None = None
    answer: StreamAnswer | WholeAnswer | None = None
    has_events: bool = False
    held: list[bytes] = field(factory=list)
    held_bytes: int = 0
    held_end: UpstreamEnd | None = None

    @property
    def answer_weights(self) -> str:
        """Weights version of the answer, or of the target if it tells none."""
        told = self.head.weights if self.head is not None else ""
        return told or self.weights

    @property
    def buffered(self) -> int:
        """Bytes held for the attempt."""
        answer = self.answer.buffered if self.answer is not None else 0
        return answer + self.held_bytes

    def start(self, target: str, weights: str) -> None:
        """Record where the request goes now."""
        self.target = target
        self.weights = weights
        self.started = True

    def hold(self, data: bytes, limit_bytes: int) -> bool:
        """Keep bytes until the exchange goes on; return False if too many."""
        if self.held_bytes + len(data) > limit_bytes:
            return False
        self.held.append(data)
        self.held_bytes += len(data)
        return True

    def take_held(self) -> list[bytes]:
        """Return the bytes held and hold none."""
        held, self.held, self.held_bytes = self.held, [], 0
        return held

    def idle_timeout_s(self, settings: ExchangeSettings) -> float:
        """Return how long the answer's next event may take."""
        if not self.started:
            return math.inf
        if self.has_events:
            return settings.idle_timeout_s
        return settings.first_event_timeout_s


class AttemptLog:
    """Counts attempts and decides on retries.

    Before the first event a few attempts are enough, since the caller can come
    back. A stream that has begun is worth more patience.
    """

    def __init__(self, settings: ExchangeSettings, request: ExchangeRequest) -> None:
        self._settings = settings
        self._request = request
        self._count = 0
        self._fruitless = 0
        self._position = request.resume_after
        self._stalled_since: float | None = None
        self._exclude: frozenset[str] = frozenset()
        self._may_have_run = False
        self._last_cause: FailureCause | None = None

    @property
    def count(self) -> int:
        """Attempts made."""
        return self._count

    @property
    def exclude(self) -> frozenset[str]:
        """Targets that failed since the last event was delivered."""
        return self._exclude

    @property
    def may_have_run(self) -> bool:
        """Whether an ended attempt may have run at its target."""
        return self._may_have_run

    @property
    def last_cause(self) -> FailureCause | None:
        """Cause of the newest failure."""
        return self._last_cause

    def begin(self) -> Attempt:
        """Open the next attempt."""
        self._count += 1
        self._fruitless += 1
        return Attempt(self._count)

    def withdraw(self, now: float) -> None:
        """Forget the newest attempt, for which there was no target."""
        self._count -= 1
        if self._stalled_since is None:
            self._stalled_since = now

    def abandon(self, attempt: Attempt) -> None:
        """Record an attempt that was cancelled through no fault of its target."""
        self._may_have_run = self._may_have_run or attempt.started
        self._fruitless -= 1

    def fail(
        self,
        now: float,
        attempt: Attempt,
        cause: FailureCause,
        not_run: bool,
        position: int,
    ) -> None:
        """Record a failed attempt.

        Parameters
        ----------
        now : float
            Time in seconds.
        attempt : Attempt
            The attempt.
        cause : FailureCause
            What was seen.
        not_run : bool
            Whether it is proven that the target didn't run the request.
        position : int
            Number of the last event delivered.
        """
        self._last_cause = cause
        self._may_have_run = self._may_have_run or not not_run
        if position > self._position:
            self._position = position
            self._fruitless = 1
            self._stalled_since = now
            self._exclude = frozenset()
        elif self._stalled_since is None:
            self._stalled_since = now
        self._exclude = self._exclude | {attempt.target}

    def may_retry(self, now: float, not_run: bool) -> bool:
        """Whether another attempt is allowed after the newest failure."""
        if not (not_run or self._request.idempotent):
            return False
        if now >= self._request.deadline:
            return False
        if self._position:
            return self.may_wait(now)
        return self._fruitless < self._settings.max_attempts

    def may_wait(self, now: float) -> bool:
        """Whether a stream that has begun may go on looking for a target."""
        if not self._position or self._stalled_since is None:
            return False
        if not self._request.idempotent:
            return False
        within = self._count < self._settings.max_attempts_total
        patient = now < self._stalled_since + self._settings.resume_patience_s
        return within and patient

    def wait_s(self) -> float:
        """Return how long the next attempt waits."""
        doublings = self._fruitless - 2
        if doublings < 0:
            return 0.0
        wait_s = self._settings.retry_wait_s * 2.0 ** min(doublings, 16)
        return min(wait_s, self._settings.retry_max_wait_s)
