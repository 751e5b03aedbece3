"""Records of the attempts of one exchange, and decisions on retries."""

from __future__ import annotations

import math

from attrs import define, field

from berylnotch.streams.actions import FailureCause
from berylnotch.streams.answers import BufferedResponse, StreamedResponse
from berylnotch.streams.inputs import (
    ExchangeRequest,
    ExchangeSettings,
    ResponseHead,
    UpstreamEnd,
)


@define
class Attempt:
    """Attempt in progress.

    Attributes
    ----------
    number : int
        Number of the attempt, from 1.
    target, weights : str
        Target, and the target's weights version according to the router's view.
    is_started : bool
        Whether bytes of the request may have reached the target.
    head : ResponseHead or None
        Head of the response.
    response : StreamedResponse, BufferedResponse or None
        Response; None until the response's head is accepted.
    has_events : bool
        Whether an event has arrived.
    held_chunks : list of bytes
        Chunks that arrived while the exchange was paused.
    held_bytes : int
        Total length of ``held_chunks`` in bytes.
    held_end : UpstreamEnd or None
        End of the transfer, if it arrived while the exchange was paused.
    """

    number: int
    target: str = ""
    weights: str = ""
    is_started: bool = False
    head: ResponseHead | None = None
    response: StreamedResponse | BufferedResponse | None = None
    has_events: bool = False
    held_chunks: list[bytes] = field(factory=list)
    held_bytes: int = 0
    held_end: UpstreamEnd | None = None

    @property
    def response_weights(self) -> str:
        """Weights version that the response reports, or else that of the target."""
        reported = self.head.weights if self.head is not None else ""
        return reported or self.weights

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes buffered in the response and in held chunks."""
        response_bytes = (
            self.response.buffered_bytes if self.response is not None else 0
        )
        return response_bytes + self.held_bytes

    def record_start(self, target: str, weights: str) -> None:
        """Record that the request is being sent to a target."""
        self.target = target
        self.weights = weights
        self.is_started = True

    def hold_chunk(self, data: bytes, limit_bytes: int) -> bool:
        """Hold a chunk while the exchange is paused; return False above the limit."""
        if self.held_bytes + len(data) > limit_bytes:
            return False
        self.held_chunks.append(data)
        self.held_bytes += len(data)
        return True

    def drain_held_chunks(self) -> list[bytes]:
        """Return the held chunks and clear them."""
        held_chunks, self.held_chunks, self.held_bytes = self.held_chunks, [], 0
        return held_chunks

    def idle_timeout_s(self, settings: ExchangeSettings) -> float:
        """Return the timeout in seconds for the next event of the response."""
        if not self.is_started:
            return math.inf
        if self.has_events:
            return settings.idle_timeout_s
        return settings.first_event_timeout_s


class AttemptTracker:
    """Counts the attempts of an exchange and decides on retries.

    Before the first event, the number of attempts without progress is limited to
    ``max_attempts``, because the caller can repeat the request. After the first
    event, attempts continue for ``resume_patience_s`` seconds without progress, up
    to ``max_attempts_total`` in all.
    """

    def __init__(self, settings: ExchangeSettings, request: ExchangeRequest) -> None:
        self._settings = settings
        self._request = request
        self._attempt_count = 0
        self._attempts_without_progress = 0
        self._position = request.resume_after
        self._stalled_since: float | None = None
        self._excluded_targets: frozenset[str] = frozenset()
        self._may_have_run = False
        self._last_cause: FailureCause | None = None

    @property
    def attempt_count(self) -> int:
        """Number of attempts made."""
        return self._attempt_count

    @property
    def excluded_targets(self) -> frozenset[str]:
        """Targets that failed since the last event was delivered."""
        return self._excluded_targets

    @property
    def may_have_run(self) -> bool:
        """Whether an ended attempt may have run at its target."""
        return self._may_have_run

    @property
    def last_cause(self) -> FailureCause | None:
        """Cause of the most recent failure."""
        return self._last_cause

    def begin_attempt(self) -> Attempt:
        """Return the next attempt and count it."""
        self._attempt_count += 1
        self._attempts_without_progress += 1
        return Attempt(self._attempt_count)

    def discard_attempt(self, now: float) -> None:
        """Remove the newest attempt, for which no target was found, from the count."""
        self._attempt_count -= 1
        if self._stalled_since is None:
            self._stalled_since = now

    def record_cancellation(self, attempt: Attempt) -> None:
        """Record an attempt that was cancelled without a failure of its target."""
        self._may_have_run = self._may_have_run or attempt.is_started
        self._attempts_without_progress -= 1

    def record_failure(
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
            Attempt that failed.
        cause : FailureCause
            Why the attempt failed.
        not_run : bool
            Whether the target is known not to have run the request.
        position : int
            Number of the last event delivered.
        """
        self._last_cause = cause
        self._may_have_run = self._may_have_run or not not_run
        if position > self._position:
            self._position = position
            self._attempts_without_progress = 1
            self._stalled_since = now
            self._excluded_targets = frozenset()
        elif self._stalled_since is None:
            self._stalled_since = now
        self._excluded_targets = self._excluded_targets | {attempt.target}

    def can_retry(self, now: float, not_run: bool) -> bool:
        """Return whether another attempt is allowed after the most recent failure."""
        if not (not_run or self._request.idempotent):
            return False
        if now >= self._request.deadline:
            return False
        if self._position:
            return self.can_wait_for_target(now)
        return self._attempts_without_progress < self._settings.max_attempts

    def can_wait_for_target(self, now: float) -> bool:
        """Return whether a stream that has begun may wait for another target."""
        if not self._position or self._stalled_since is None:
            return False
        if not self._request.idempotent:
            return False
        has_attempts_left = self._attempt_count < self._settings.max_attempts_total
        is_in_resume_window = (
            now < self._stalled_since + self._settings.resume_patience_s
        )
        return has_attempts_left and is_in_resume_window

    def backoff_s(self) -> float:
        """Return the back-off before the next attempt, in seconds."""
        doublings = self._attempts_without_progress - 2
        if doublings < 0:
            return 0.0
        backoff_s = self._settings.retry_wait_s * 2.0 ** min(doublings, 16)
        return min(backoff_s, self._settings.retry_max_wait_s)
