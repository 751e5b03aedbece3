"""One caller's request, from its first attempt to the last byte of its answer."""

from __future__ import annotations

import json

from attrs import define, field

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
)
from berylnotch.streams.answers import (
    END_MARKER,
    KeptAnswer,
    StreamAnswer,
    WholeAnswer,
)
from berylnotch.streams.errors import (
    AnswerTooLargeError,
    SequenceError,
    StreamError,
)
from berylnotch.streams.inputs import (
    ExchangeRequest,
    ExchangeSettings,
    PauseReason,
    ResponseHead,
    UpstreamEnd,
)
from berylnotch.streams.sequence import EventSequence

EVENT_STREAM = "text/event-stream"

#: Statuses after which another target may answer better.
_RETRY_STATUSES = frozenset((429, 500, 502, 503, 504))
#: Error statuses that don't tell whether the request was run.
_UNKNOWN_STATUSES = frozenset((429, 502, 503, 504))
_REFUSAL_STATUS = {
    FinishReason.NO_TARGET: 503,
    FinishReason.TARGET_FAILED: 502,
    FinishReason.DEADLINE: 504,
    FinishReason.KEY_WITHDRAWN: 401,
    FinishReason.WEIGHTS_CHANGED: 409,
    FinishReason.CALLER_GONE: 499,
}
_NOTHING: tuple[Action, ...] = ()


@define
class _Attempt:
    """The attempt that is under way."""

    number: int
    target: str = ""
    weights: str = ""
    started: bool = False
    answer: StreamAnswer | WholeAnswer | None = None
    head: ResponseHead | None = None
    received: bool = False
    held: list[bytes] = field(factory=list)
    held_bytes: int = 0
    held_end: UpstreamEnd | None = None


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
        self._sequence = EventSequence("", request.resume_after)
        self._weights = request.weights
        self._attempt: _Attempt | None = None
        self._attempts = 0
        self._fruitless = 0
        self._delivered_at_start = request.resume_after
        self._exclude: frozenset[str] = frozenset()
        self._paused: set[PauseReason] = set()
        self._start_waits = False
        self._head_sent = False
        self._finished = False
        self._ran = request.resume_after > 0
        self._unsettled = False
        self._kept: KeptAnswer | None = None
        self._last_cause: FailureCause | None = None
        self._retry_after_s = 0.0
        self._active_at = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether the exchange is over."""
        return self._finished

    @property
    def attempt(self) -> int:
        """Number of the attempt under way; 0 if there is none."""
        return self._attempt.number if self._attempt is not None else 0

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
        if self._unsettled or (attempt is not None and attempt.started):
            return RunMark.UNKNOWN
        return RunMark.NOT_RUN

    @property
    def buffered(self) -> int:
        """Bytes held for this exchange."""
        attempt = self._attempt
        if attempt is None:
            return 0
        answer = attempt.answer.buffered if attempt.answer is not None else 0
        return answer + attempt.held_bytes

    def next_tick(self) -> float:
        """Return the time at which ``tick`` has something to do."""
        timeout = self._idle_timeout_s()
        if timeout is None:
            return self._request.deadline
        return min(self._request.deadline, self._active_at + timeout)

    def start(self, now: float) -> tuple[Action, ...]:
        """Ask for the first attempt."""
        out: list[Action] = []
        self._start_attempt(now, out)
        return tuple(out)

    def attempt_started(
        self, now: float, number: int, target: str, weights: str = ""
    ) -> tuple[Action, ...]:
        """Take note that the request goes to ``target`` now."""
        attempt = self._current(number)
        if attempt is not None:
            attempt.target = target
            attempt.weights = weights
            attempt.started = True
            self._active_at = now
        return _NOTHING

    def no_target(
        self, now: float, number: int, message: str, retry_after_s: float = 0.0
    ) -> tuple[Action, ...]:
        """End, because no target can take the attempt that was asked for."""
        if self._current(number) is None:
            return _NOTHING
        self._attempt = None
        self._attempts -= 1
        self._retry_after_s = max(self._retry_after_s, retry_after_s)
        out: list[Action] = []
        if self._last_cause is FailureCause.WEIGHTS:
            self._end(FinishReason.WEIGHTS_CHANGED, message, out)
        else:
            self._end(FinishReason.NO_TARGET, message, out)
        return tuple(out)

    def head(self, now: float, number: int, head: ResponseHead) -> tuple[Action, ...]:
        """Take the head of an attempt's answer."""
        attempt = self._current(number)
        if attempt is None:
            return _NOTHING
        self._active_at = now
        attempt.head = head
        cause = self._head_fault(attempt, head)
        if cause is not None:
            out: list[Action] = []
            self._retry_after_s = max(self._retry_after_s, head.retry_after_s)
            self._fail(now, cause, out, not_run=cause is FailureCause.REFUSED)
            return tuple(out)
        if self._is_stream(head):
            attempt.answer = StreamAnswer(self._settings, self._sequence)
        else:
            attempt.answer = WholeAnswer(self._settings, head)
        return _NOTHING

    def body(self, now: float, number: int, data: bytes) -> tuple[Action, ...]:
        """Take bytes of an attempt's answer."""
        attempt = self._current(number)
        if attempt is None:
            return _NOTHING
        answer = attempt.answer
        if isinstance(answer, StreamAnswer):
            if self._paused:
                return self._hold(now, attempt, data)
            return self._take_events(now, attempt, answer, data)
        if isinstance(answer, WholeAnswer):
            return self._take_body(now, answer, data)
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
        out: list[Action] = []
        self._take_end(now, attempt, end, out)
        return tuple(out)

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
        out: list[Action] = []
        if self._start_waits:
            self._start_attempt(now, out)
        else:
            self._release_held(now, out)
        return tuple(out)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Act on the deadline and on timeouts."""
        if self._finished:
            return _NOTHING
        if now >= self._request.deadline:
            return self._stop(FinishReason.DEADLINE, "deadline passed")
        timeout = self._idle_timeout_s()
        if timeout is None or now < self._active_at + timeout:
            return _NOTHING
        out: list[Action] = []
        self._fail(now, FailureCause.TIMEOUT, out)
        return tuple(out)

    def _current(self, number: int) -> _Attempt | None:
        attempt = self._attempt
        if self._finished or attempt is None or attempt.number != number:
            return None
        return attempt

    def _idle_timeout_s(self) -> float | None:
        attempt = self._attempt
        if self._paused or attempt is None or not self._request.stream:
            return None
        if not attempt.started:
            return None
        if attempt.received:
            return self._settings.idle_timeout_s
        return self._settings.first_event_timeout_s

    def _start_attempt(self, now: float, out: list[Action]) -> None:
        self._start_waits = bool(self._paused)
        if self._start_waits:
            return
        self._attempts += 1
        self._fruitless += 1
        self._delivered_at_start = self.position
        self._active_at = now
        self._attempt = _Attempt(self._attempts)
        start = StartAttempt(
            number=self._attempts,
            exclude=self._exclude,
            resume_after=self.position,
            weights=self._weights,
        )
        out.append(start)

    def _head_fault(self, attempt: _Attempt, head: ResponseHead) -> FailureCause | None:
        request = self._request
        missing = request.echo_required and not head.request_id
        if missing or head.request_id not in ("", request.request_id):
            return FailureCause.WRONG_REQUEST
        if head.not_run:
            return FailureCause.REFUSED
        weights = head.weights or attempt.weights
        if self._weights and weights and weights != self._weights:
            return FailureCause.WEIGHTS
        if self.position and not self._is_stream(head):
            return FailureCause.ERROR_STATUS
        return None

    def _is_stream(self, head: ResponseHead) -> bool:
        is_events = head.content_type == EVENT_STREAM
        return self._request.stream and head.status == 200 and is_events

    def _take_events(
        self, now: float, attempt: _Attempt, answer: StreamAnswer, data: bytes
    ) -> tuple[Action, ...]:
        if not self._head_sent:
            self._set_base(attempt)
        try:
            numbered = answer.feed(data)
        except SequenceError:
            return self._fail_now(now, FailureCause.GAP)
        except StreamError:
            return self._fail_now(now, FailureCause.TOO_LARGE)
        if numbered.events:
            attempt.received = True
            self._active_at = now
            if self._head_sent and not answer.ended:
                return (SendBytes(numbered.data, numbered.events),)
        elif not answer.ended:
            return _NOTHING
        return self._pass_on(now, numbered.data, numbered.events, answer.ended)

    def _pass_on(
        self, now: float, data: bytes, events: int, ended: bool
    ) -> tuple[Action, ...]:
        if not self.position:
            # Nothing but an end marker: what a dying engine sends.
            return self._fail_now(now, FailureCause.EMPTY)
        out: list[Action] = []
        self._send_stream_head(out)
        if ended:
            data += END_MARKER
        out.append(SendBytes(data, events))
        if ended:
            self._finish(FinishReason.COMPLETE, "", out)
        return tuple(out)

    def _set_base(self, attempt: _Attempt) -> None:
        head = attempt.head
        weights = (head.weights if head is not None else "") or attempt.weights
        base = self._request.sign_base(self._weights or weights)
        self._sequence.set_base(base)

    def _send_stream_head(self, out: list[Action]) -> None:
        attempt = self._attempt
        if self._head_sent or attempt is None or attempt.head is None:
            return
        head = attempt.head
        self._weights = self._weights or head.weights or attempt.weights
        self._head_sent = True
        self._ran = True
        out.append(SendHead(head.status, head.headers, RunMark.RAN, None))

    def _take_body(
        self, now: float, answer: WholeAnswer, data: bytes
    ) -> tuple[Action, ...]:
        try:
            answer.feed(data)
        except AnswerTooLargeError:
            return self._fail_now(now, FailureCause.TOO_LARGE)
        return _NOTHING

    def _take_end(
        self, now: float, attempt: _Attempt, end: UpstreamEnd, out: list[Action]
    ) -> None:
        answer = attempt.answer
        if isinstance(answer, WholeAnswer) and end.complete:
            self._take_whole(now, answer, out)
            return
        if answer is None:
            cause = FailureCause.LOST if end.sent else FailureCause.CONNECT
        elif end.complete:
            cause = FailureCause.TRUNCATED if attempt.received else FailureCause.EMPTY
        else:
            cause = FailureCause.LOST
        not_run = not end.sent and attempt.head is None
        self._fail(now, cause, out, not_run=not_run, cancel=False)

    def _take_whole(self, now: float, answer: WholeAnswer, out: list[Action]) -> None:
        head, body = answer.head, answer.body()
        if head.status in _RETRY_STATUSES and self._request.idempotent:
            self._kept = KeptAnswer(head, body)
            self._fail(now, FailureCause.ERROR_STATUS, out, cancel=False)
        elif head.status == 200 and not self._request.is_whole(body):
            self._fail(now, FailureCause.EMPTY, out, cancel=False)
        else:
            self._deliver(head, body, out)

    def _deliver(self, head: ResponseHead, body: bytes, out: list[Action]) -> None:
        self._ran = self._ran or head.status not in _UNKNOWN_STATUSES
        self._head_sent = True
        out.append(SendHead(head.status, head.headers, self.mark, len(body)))
        if body:
            out.append(SendBytes(body, 0))
        self._finish(FinishReason.COMPLETE, "", out)

    def _hold(self, now: float, attempt: _Attempt, data: bytes) -> tuple[Action, ...]:
        if attempt.held_bytes + len(data) <= self._settings.max_held_bytes:
            attempt.held.append(data)
            attempt.held_bytes += len(data)
            return _NOTHING
        if not self._request.idempotent:
            return self._fail_now(now, FailureCause.TOO_LARGE)
        # What was held is asked for again once the exchange goes on.
        self._attempt = None
        self._unsettled = True
        self._start_waits = True
        self._fruitless -= 1
        return (CancelAttempt(attempt.number),)

    def _release_held(self, now: float, out: list[Action]) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        held, attempt.held, attempt.held_bytes = attempt.held, [], 0
        for data in held:
            out.extend(self.body(now, attempt.number, data))
        if self._current(attempt.number) is None:
            return
        if attempt.held_end is not None:
            self._take_end(now, attempt, attempt.held_end, out)
        elif self._request.stream:
            out.append(ResumeUpstream(attempt.number))

    def _fail_now(self, now: float, cause: FailureCause) -> tuple[Action, ...]:
        out: list[Action] = []
        self._fail(now, cause, out)
        return tuple(out)

    def _fail(
        self,
        now: float,
        cause: FailureCause,
        out: list[Action],
        not_run: bool = False,
        cancel: bool = True,
    ) -> None:
        attempt = self._attempt
        self._attempt = None
        self._last_cause = cause
        self._unsettled = self._unsettled or not not_run
        if cancel:
            out.append(CancelAttempt(attempt.number))
        out.append(AttemptFailed(attempt.number, attempt.target, cause))
        if self.position > self._delivered_at_start:
            self._fruitless = 0
            self._exclude = frozenset()
        self._exclude = self._exclude | {attempt.target}
        if self._may_retry(now, not_run):
            self._start_attempt(now, out)
            return
        reason = FinishReason.TARGET_FAILED
        if cause is FailureCause.WEIGHTS:
            reason = FinishReason.WEIGHTS_CHANGED
        elif cause is FailureCause.TIMEOUT:
            reason = FinishReason.DEADLINE
        elif not_run:
            reason = FinishReason.NO_TARGET
        self._end(reason, f"attempt failed: {cause.value}", out)

    def _may_retry(self, now: float, not_run: bool) -> bool:
        if not (not_run or self._request.idempotent):
            return False
        settings = self._settings
        if self._fruitless >= settings.max_attempts:
            return False
        within = self._attempts < settings.max_attempts_total
        return within and now < self._request.deadline

    def _stop(self, reason: FinishReason, message: str) -> tuple[Action, ...]:
        if self._finished:
            return _NOTHING
        out: list[Action] = []
        attempt = self._attempt
        if attempt is not None:
            self._unsettled = self._unsettled or attempt.started
            out.append(CancelAttempt(attempt.number))
        self._kept = None
        self._end(reason, message, out)
        return tuple(out)

    def _end(self, reason: FinishReason, message: str, out: list[Action]) -> None:
        self._attempt = None
        if self._kept is not None and not self._head_sent:
            self._deliver(self._kept.head, self._kept.body, out)
            return
        if self._head_sent and reason is not FinishReason.CALLER_GONE:
            out.append(SendBytes(error_event(reason, message), 0))
        self._finish(reason, message, out)

    def _finish(self, reason: FinishReason, message: str, out: list[Action]) -> None:
        complete = reason is FinishReason.COMPLETE
        finish = Finish(
            mark=self.mark,
            reason=reason,
            message=message,
            status=0 if self._head_sent else _REFUSAL_STATUS[reason],
            retry_after_s=0.0 if complete else self._retry_after_s,
            position=self.position,
            attempts=self._attempts,
            keep_connection=complete or not self._head_sent,
        )
        self._attempt = None
        self._finished = True
        out.append(finish)


def error_event(reason: FinishReason, message: str) -> bytes:
    """Return the event that tells a caller why its stream ends early."""
    error = {"message": message, "type": "stream_error", "code": reason.value}
    return b"data: " + json.dumps({"error": error}).encode() + b"\n\n"
