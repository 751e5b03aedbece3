"""One caller's request, from its first attempt to the last byte of its answer."""

from __future__ import annotations

import math

from berylnotch.streams.actions import (
    Action,
    AttemptFailed,
    CancelAttempt,
    FailureCause,
    Finish,
    FinishReason,
    PauseUpstream,
    ResumeUpstream,
    RunMark,
    SendBytes,
    SendHead,
    StartAttempt,
    WaitUntil,
)
from berylnotch.streams.answers import (
    END_MARKER,
    KeptAnswer,
    StreamAnswer,
    WholeAnswer,
)
from berylnotch.streams.attempts import Attempt, AttemptLog
from berylnotch.streams.errors import SequenceError, StreamError
from berylnotch.streams.heads import end_fault, head_fault, is_stream
from berylnotch.streams.inputs import (
    ExchangeRequest,
    ExchangeSettings,
    PauseReason,
    ResponseHead,
    UpstreamEnd,
)
from berylnotch.streams.outcomes import (
    REFUSAL_STATUSES,
    RETRY_STATUSES,
    UNKNOWN_STATUSES,
    error_event,
    reason_of,
    reason_without_target,
)
from berylnotch.streams.sequence import EventSequence

_NOTHING: tuple[Action, ...] = ()


class Exchange:
    """State machine of one request.

    Each input returns the actions that follow from it, in order. Inputs of an
    attempt that is no longer under way are ignored.

    Parameters
    ----------
    settings : ExchangeSettings
        Bounds.
    request : ExchangeRequest
        The caller's request.
    """

    def __init__(self, settings: ExchangeSettings, request: ExchangeRequest) -> None:
        self._settings = settings
        self._request = request
        self._log = AttemptLog(settings, request)
        self._sequence = EventSequence("", request.resume_after)
        self._weights = request.weights
        self._attempt: Attempt | None = None
        self._kept: KeptAnswer | None = None
        self._paused: set[PauseReason] = set()
        self._start_waits = False
        self._start_at = 0.0
        self._head_sent = False
        self._finished = False
        self._ran = request.resume_after > 0
        self._retry_after_s = 0.0
        self._active_at = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether the exchange is over."""
        return self._finished

    @property
    def is_paused(self) -> bool:
        """Whether there is a reason to pause."""
        return bool(self._paused)

    @property
    def position(self) -> int:
        """Number of the last event delivered."""
        return self._sequence.position

    @property
    def mark(self) -> RunMark:
        """Whether a target ran the request, as far as is known now."""
        if self._ran:
            return RunMark.RAN
        attempt = self._attempt
        unknown = self._log.may_have_run or (attempt is not None and attempt.started)
        return RunMark.UNKNOWN if unknown else RunMark.NOT_RUN

    @property
    def buffered(self) -> int:
        """Bytes held for this exchange."""
        return self._attempt.buffered if self._attempt is not None else 0

    def next_tick(self) -> float:
        """Return the time at which ``tick`` has something to do."""
        return min(self._request.deadline, self._due())

    def start(self, now: float) -> tuple[Action, ...]:
        """Ask for the first attempt."""
        return self._start_attempt(now)

    def attempt_started(
        self, now: float, number: int, target: str, weights: str = ""
    ) -> tuple[Action, ...]:
        """Take note that the request goes to ``target`` now."""
        attempt = self._current(number)
        if attempt is not None:
            attempt.start(target, weights)
            self._active_at = now
        return _NOTHING

    def no_target(
        self, now: float, number: int, message: str, retry_after_s: float = 0.0
    ) -> tuple[Action, ...]:
        """End, because no target can take the attempt that was asked for.

        A stream that has begun waits instead, if ``retry_after_s`` says that
        there may be a target later.
        """
        if self._current(number) is None:
            return _NOTHING
        self._attempt = None
        self._log.withdraw(now)
        if retry_after_s and self._log.may_wait(now):
            return self._start_later(now)
        self._retry_after_s = max(self._retry_after_s, retry_after_s)
        return self._end(reason_without_target(self._log.last_cause), message)

    def head(self, now: float, number: int, head: ResponseHead) -> tuple[Action, ...]:
        """Take the head of an attempt's answer."""
        attempt = self._current(number)
        if attempt is None:
            return _NOTHING
        self._active_at = now
        attempt.head = head
        cause = head_fault(self._request, attempt, self._weights, self.position)
        if cause is not None:
            self._retry_after_s = max(self._retry_after_s, head.retry_after_s)
            return self._fail(now, cause, not_run=cause is FailureCause.REFUSED)
        if is_stream(self._request, head):
            attempt.answer = StreamAnswer(self._settings, self._sequence)
        else:
            attempt.answer = WholeAnswer(self._settings, head)
        return _NOTHING

    def body(self, now: float, number: int, data: bytes) -> tuple[Action, ...]:
        """Take bytes of an attempt's answer."""
        attempt = self._attempt
        if attempt is None or attempt.number != number:
            return _NOTHING
        answer = attempt.answer
        if isinstance(answer, StreamAnswer):
            if self._paused:
                return self._hold(now, attempt, data)
            return self._take_events(now, attempt, answer, data)
        if isinstance(answer, WholeAnswer) and not answer.feed(data):
            return self._fail(now, FailureCause.TOO_LARGE)
        return _NOTHING

    def upstream_end(
        self, now: float, number: int, end: UpstreamEnd
    ) -> tuple[Action, ...]:
        """Take note that an attempt's transfer ended."""
        attempt = self._current(number)
        if attempt is None:
            return _NOTHING
        if self._paused:
            attempt.held_end = end
            return _NOTHING
        return self._take_end(now, attempt, end)

    def caller_gone(self, now: float) -> tuple[Action, ...]:
        """End, because the caller closed its connection."""
        return self._stop(FinishReason.CALLER_GONE, "caller closed the connection")

    def key_withdrawn(self, now: float) -> tuple[Action, ...]:
        """End, because the caller's key was withdrawn."""
        return self._stop(FinishReason.KEY_WITHDRAWN, "key was withdrawn")

    def pause(self, now: float, reason: PauseReason) -> tuple[Action, ...]:
        """Deliver nothing and start nothing until ``resume``."""
        if self._finished:
            return _NOTHING
        was_paused = bool(self._paused)
        self._paused.add(reason)
        attempt = self._attempt
        if was_paused or attempt is None or not self._request.stream:
            return _NOTHING
        return (PauseUpstream(attempt.number),)

    def resume(self, now: float, reason: PauseReason) -> tuple[Action, ...]:
        """Go on, unless another reason to pause remains."""
        if self._finished or reason not in self._paused:
            return _NOTHING
        self._paused.discard(reason)
        if self._paused:
            return _NOTHING
        self._active_at = now
        if self._start_waits:
            return self._start_attempt(now)
        attempt = self._attempt
        return _NOTHING if attempt is None else self._release_held(now, attempt)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Act on the deadline and on timeouts."""
        if self._finished:
            return _NOTHING
        if now >= self._request.deadline:
            return self._stop(FinishReason.DEADLINE, "deadline passed")
        if now < self._due():
            return _NOTHING
        if self._start_waits:
            return self._start_attempt(now)
        return self._fail(now, FailureCause.TIMEOUT)

    def _current(self, number: int) -> Attempt | None:
        attempt = self._attempt
        return attempt if attempt is not None and attempt.number == number else None

    def _start_later(self, now: float) -> tuple[Action, ...]:
        self._start_at = now + self._log.wait_s()
        return self._start_attempt(now)

    def _due(self) -> float:
        """Return when the next attempt starts or this one times out."""
        attempt = self._attempt
        if self._start_waits and not self._paused:
            return self._start_at
        if self._paused or attempt is None or not self._request.stream:
            return math.inf
        return self._active_at + attempt.idle_timeout_s(self._settings)

    def _start_attempt(self, now: float) -> tuple[Action, ...]:
        self._start_waits = bool(self._paused) or now < self._start_at
        if self._start_waits:
            return _NOTHING if self._paused else (WaitUntil(self._start_at),)
        self._active_at = now
        self._attempt = self._log.begin()
        start = StartAttempt(
            number=self._attempt.number,
            exclude=self._log.exclude,
            resume_after=self.position,
            weights=self._weights,
        )
        return (start,)

    def _take_events(
        self, now: float, attempt: Attempt, answer: StreamAnswer, data: bytes
    ) -> tuple[Action, ...]:
        if not self._head_sent:
            weights = self._weights or attempt.answer_weights
            self._sequence.set_base(self._request.sign_base(weights))
        try:
            numbered = answer.feed(data)
        except SequenceError:
            return self._fail(now, FailureCause.GAP)
        except StreamError:
            return self._fail(now, FailureCause.TOO_LARGE)
        if numbered.events:
            attempt.has_events = True
            self._active_at = now
            if self._head_sent and not answer.is_ended:
                return (SendBytes(numbered.data, numbered.events),)
        elif not answer.is_ended:
            return _NOTHING
        elif not self.position:
            # Nothing but an end marker is what a dying engine sends.
            return self._fail(now, FailureCause.EMPTY)
        return self._pass_on(attempt, numbered.data, numbered.events)

    def _pass_on(
        self, attempt: Attempt, data: bytes, events: int
    ) -> tuple[Action, ...]:
        out: list[Action] = []
        if not self._head_sent:
            head = attempt.head
            self._weights = self._weights or attempt.answer_weights
            self._head_sent = True
            self._ran = True
            out.append(SendHead(head.status, head.headers, RunMark.RAN, None))
        if not attempt.answer.is_ended:
            return (*out, SendBytes(data, events))
        finish = self._finish(FinishReason.COMPLETE)
        return (*out, SendBytes(data + END_MARKER, events), finish)

    def _take_end(
        self, now: float, attempt: Attempt, end: UpstreamEnd
    ) -> tuple[Action, ...]:
        answer = attempt.answer
        if isinstance(answer, WholeAnswer) and end.complete:
            return self._take_whole(now, answer)
        cause = end_fault(attempt, end)
        not_run = not end.sent and attempt.head is None
        return self._fail(now, cause, not_run=not_run, cancel=False)

    def _take_whole(self, now: float, answer: WholeAnswer) -> tuple[Action, ...]:
        head, body = answer.head, answer.body()
        if head.status in RETRY_STATUSES and self._request.idempotent:
            self._kept = KeptAnswer(head, body)
            return self._fail(now, FailureCause.ERROR_STATUS, cancel=False)
        if head.status == 200 and not self._request.is_whole(body):
            return self._fail(now, FailureCause.EMPTY, cancel=False)
        return self._deliver(KeptAnswer(head, body))

    def _deliver(self, answer: KeptAnswer) -> tuple[Action, ...]:
        self._ran = self._ran or answer.head.status not in UNKNOWN_STATUSES
        self._head_sent = True
        send = answer.actions(self.mark)
        return (*send, self._finish(FinishReason.COMPLETE))

    def _hold(self, now: float, attempt: Attempt, data: bytes) -> tuple[Action, ...]:
        if attempt.hold(data, self._settings.max_held_bytes):
            return _NOTHING
        if not self._request.idempotent:
            return self._fail(now, FailureCause.TOO_LARGE)
        # What was held is asked for again once the exchange goes on.
        self._attempt = None
        self._log.abandon(attempt)
        self._start_waits = True
        return (CancelAttempt(attempt.number),)

    def _release_held(self, now: float, attempt: Attempt) -> tuple[Action, ...]:
        out: list[Action] = []
        for data in attempt.take_held():
            out.extend(self.body(now, attempt.number, data))
        if self._attempt is attempt and attempt.held_end is not None:
            out.extend(self._take_end(now, attempt, attempt.held_end))
        elif self._attempt is attempt and self._request.stream:
            out.append(ResumeUpstream(attempt.number))
        return tuple(out)

    def _fail(
        self,
        now: float,
        cause: FailureCause,
        not_run: bool = False,
        cancel: bool = True,
    ) -> tuple[Action, ...]:
        attempt = self._attempt
        self._attempt = None
        cancel_it = (CancelAttempt(attempt.number),) if cancel else _NOTHING
        failed = AttemptFailed(attempt.number, attempt.target, cause)
        self._log.fail(now, attempt, cause, not_run, self.position)
        if self._log.may_retry(now, not_run):
            then = self._start_later(now)
        else:
            message = f"attempt failed: {cause.value}"
            then = self._end(reason_of(cause, not_run), message)
        return (*cancel_it, failed, *then)

    def _stop(self, reason: FinishReason, message: str) -> tuple[Action, ...]:
        if self._finished:
            return _NOTHING
        self._kept = None
        attempt = self._attempt
        if attempt is None:
            return self._end(reason, message)
        self._log.abandon(attempt)
        return (CancelAttempt(attempt.number), *self._end(reason, message))

    def _end(self, reason: FinishReason, message: str) -> tuple[Action, ...]:
        if self._kept is not None and not self._head_sent:
            return self._deliver(self._kept)
        finish = self._finish(reason, message)
        if self._head_sent and reason is not FinishReason.CALLER_GONE:
            return (SendBytes(error_event(reason, message), 0), finish)
        return (finish,)

    def _finish(self, reason: FinishReason, message: str = "") -> Finish:
        mark = self.mark  # Read before the attempt is dropped, which may have run.
        self._attempt = None
        self._finished = True
        complete = reason is FinishReason.COMPLETE
        return Finish(
            mark=mark,
            reason=reason,
            message=message,
            status=0 if self._head_sent else REFUSAL_STATUSES[reason],
            retry_after_s=0.0 if complete else self._retry_after_s,
            position=self.position,
            attempts=self._log.count,
            keep_connection=complete or not self._head_sent,
        )
