"""State machine of one request, from its first attempt to the end of its response."""

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
    RunStatus,
    SendBytes,
    SendHead,
    StartAttempt,
    WaitUntil,
)
from berylnotch.streams.answers import (
    END_MARKER,
    BufferedResponse,
    CompleteResponse,
    StreamedResponse,
)
from berylnotch.streams.attempts import Attempt, AttemptTracker
from berylnotch.streams.errors import SequenceError, StreamError
from berylnotch.streams.heads import (
    classify_head_failure,
    classify_transfer_failure,
    is_stream,
)
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
    RUN_UNKNOWN_STATUSES,
    encode_error_event,
    finish_reason_after_failure,
    finish_reason_without_target,
)
from berylnotch.streams.sequence import EventSequence

_NO_ACTIONS: tuple[Action, ...] = ()


class Exchange:
    """State machine of one caller's request; performs no input or output.

    Each input method returns the actions that the driver has to carry out, in
    order. Inputs of an attempt that is no longer in progress are ignored.

    Parameters
    ----------
    settings : ExchangeSettings
        Limits and timeouts.
    request : ExchangeRequest
        The caller's request.
    """

    def __init__(self, settings: ExchangeSettings, request: ExchangeRequest) -> None:
        self._settings = settings
        self._request = request
        self._tracker = AttemptTracker(settings, request)
        self._sequence = EventSequence("", request.resume_after)
        self._weights = request.weights
        self._attempt: Attempt | None = None
        self._fallback_response: CompleteResponse | None = None
        self._pause_reasons: set[PauseReason] = set()
        self._is_start_pending = False
        self._next_start_time = 0.0
        self._key_wait_ends_at = math.inf
        self._is_head_sent = False
        self._is_finished = False
        self._stop_at = math.inf
        self._has_run = request.resume_after > 0
        self._retry_after_s = 0.0
        self._last_activity_time = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether the exchange is over."""
        return self._is_finished

    @property
    def is_paused(self) -> bool:
        """Whether at least one reason to pause applies."""
        return bool(self._pause_reasons)

    @property
    def position(self) -> int:
        """Number of the last event delivered."""
        return self._sequence.position

    @property
    def run_status(self) -> RunStatus:
        """Whether a target ran the request, according to the inputs so far."""
        if self._has_run:
            return RunStatus.RAN
        attempt = self._attempt
        may_have_run = self._tracker.may_have_run or (
            attempt is not None and attempt.is_started
        )
        return RunStatus.UNKNOWN if may_have_run else RunStatus.NOT_RUN

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes buffered for this exchange."""
        return self._attempt.buffered_bytes if self._attempt is not None else 0

    def next_tick(self) -> float:
        """Return the time in seconds at which ``tick`` has to be called next."""
        end_at = min(self._request.deadline, self._stop_at, self._key_wait_ends_at)
        return min(end_at, self._next_timer_time())

    def stop_at(self, time: float) -> None:
        """Set the time in seconds at which the router stops and the exchange ends."""
        self._stop_at = time

    def start(self, now: float) -> tuple[Action, ...]:
        """Start the first attempt."""
        return self._start_attempt(now)

    def attempt_started(
        self, now: float, number: int, target: str, weights: str = ""
    ) -> tuple[Action, ...]:
        """Record that the request is being sent to ``target``."""
        attempt = self._current_attempt(number)
        if attempt is not None:
            attempt.record_start(target, weights)
            self._last_activity_time = now
        return _NO_ACTIONS

    def on_no_target(
        self, now: float, number: int, message: str, retry_after_s: float = 0.0
    ) -> tuple[Action, ...]:
        """End the exchange because no target is available for the attempt.

        A stream that has begun waits for a target instead if ``retry_after_s`` is
        not 0, meaning that a target may become available later.
        """
        if self._current_attempt(number) is None:
            return _NO_ACTIONS
        self._attempt = None
        self._tracker.discard_attempt(now)
        if retry_after_s and self._tracker.can_wait_for_target(now):
            return self._start_after_backoff(now)
        self._retry_after_s = max(self._retry_after_s, retry_after_s)
        return self._end_exchange(
            finish_reason_without_target(self._tracker.last_cause), message
        )

    def on_response_head(
        self, now: float, number: int, head: ResponseHead
    ) -> tuple[Action, ...]:
        """Process the head of an attempt's response."""
        attempt = self._current_attempt(number)
        if attempt is None:
            return _NO_ACTIONS
        self._last_activity_time = now
        attempt.head = head
        cause = classify_head_failure(
            self._request, attempt, self._weights, self.position
        )
        if cause is not None:
            self._retry_after_s = max(self._retry_after_s, head.retry_after_s)
            return self._fail_attempt(now, cause, not_run=cause is FailureCause.REFUSED)
        if is_stream(self._request, head):
            attempt.response = StreamedResponse(self._settings, self._sequence)
        else:
            attempt.response = BufferedResponse(self._settings, head)
        return _NO_ACTIONS

    def on_response_chunk(
        self, now: float, number: int, data: bytes
    ) -> tuple[Action, ...]:
        """Process a chunk of the body of an attempt's response."""
        attempt = self._attempt
        if attempt is None or attempt.number != number:
            return _NO_ACTIONS
        response = attempt.response
        if isinstance(response, StreamedResponse):
            if self._pause_reasons:
                return self._hold_chunk(now, attempt, data)
            return self._on_stream_chunk(now, attempt, response, data)
        if isinstance(response, BufferedResponse) and not response.feed(data):
            return self._fail_attempt(now, FailureCause.TOO_LARGE)
        return _NO_ACTIONS

    def on_transfer_end(
        self, now: float, number: int, end: UpstreamEnd
    ) -> tuple[Action, ...]:
        """Process the end of an attempt's transfer."""
        attempt = self._current_attempt(number)
        if attempt is None:
            return _NO_ACTIONS
        if self._pause_reasons:
            attempt.held_end = end
            self._await_key(now)
            return _NO_ACTIONS
        return self._on_transfer_end(now, attempt, end)

    def on_caller_disconnected(self, now: float) -> tuple[Action, ...]:
        """End the exchange because the caller closed its connection."""
        return self._cancel(FinishReason.CALLER_GONE, "caller closed the connection")

    def on_key_withdrawn(self, now: float) -> tuple[Action, ...]:
        """End the exchange because the caller's key was withdrawn."""
        return self._cancel(FinishReason.KEY_WITHDRAWN, "key was withdrawn")

    def pause(self, now: float, reason: PauseReason) -> tuple[Action, ...]:
        """Stop delivery and new attempts until ``resume`` is called for ``reason``."""
        if self._is_finished:
            return _NO_ACTIONS
        was_paused = bool(self._pause_reasons)
        self._pause_reasons.add(reason)
        if self._is_start_pending:
            self._await_key(now)
        attempt = self._attempt
        if was_paused or attempt is None or not self._request.stream:
            return _NO_ACTIONS
        return (PauseUpstream(attempt.number),)

    def resume(self, now: float, reason: PauseReason) -> tuple[Action, ...]:
        """Continue delivery unless another reason to pause remains."""
        if self._is_finished or reason not in self._pause_reasons:
            return _NO_ACTIONS
        self._pause_reasons.discard(reason)
        if reason is PauseReason.KEY:
            self._key_wait_ends_at = math.inf
        if self._pause_reasons:
            return _NO_ACTIONS
        self._last_activity_time = now
        if self._is_start_pending:
            return self._start_attempt(now)
        attempt = self._attempt
        return (
            _NO_ACTIONS if attempt is None else self._deliver_held_chunks(now, attempt)
        )

    def tick(self, now: float) -> tuple[Action, ...]:
        """Apply the deadline, timeouts and pending starts that are due at ``now``."""
        if self._is_finished:
            return _NO_ACTIONS
        if now >= self._request.deadline:
            return self._cancel(FinishReason.DEADLINE, "deadline passed")
        if now >= self._stop_at:
            return self._cancel(FinishReason.STOPPING, "the router is stopping")
        if now >= self._key_wait_ends_at:
            return self._end_key_wait(now)
        if now < self._next_timer_time():
            return _NO_ACTIONS
        if self._is_start_pending:
            return self._start_attempt(now)
        return self._fail_attempt(now, FailureCause.TIMEOUT)

    def _await_key(self, now: float) -> None:
        """Bound the time for which a ready answer or a due attempt waits for the key.

        A stream waits until its deadline: its caller has a part of the answer, and
        gets the rest once the key can be verified.
        """
        if PauseReason.KEY not in self._pause_reasons or self._request.stream:
            return
        if math.isinf(self._key_wait_ends_at):
            self._key_wait_ends_at = now + self._settings.key_wait_s

    def _end_key_wait(self, now: float) -> tuple[Action, ...]:
        self._key_wait_ends_at = math.inf
        attempt = self._attempt
        is_answer = attempt is not None and isinstance(
            attempt.response, BufferedResponse
        )
        if is_answer and attempt.held_end.complete:
            if self._request.can_deliver_late(now):
                return self._on_transfer_end(now, attempt, attempt.held_end)
            if attempt.head.status not in RUN_UNKNOWN_STATUSES:
                self._has_run = True
        message = "the key could not be verified in time"
        return self._cancel(FinishReason.KEYS_UNVERIFIED, message)

    def _current_attempt(self, number: int) -> Attempt | None:
        attempt = self._attempt
        return attempt if attempt is not None and attempt.number == number else None

    def _start_after_backoff(self, now: float) -> tuple[Action, ...]:
        self._next_start_time = now + self._tracker.backoff_s()
        return self._start_attempt(now)

    def _next_timer_time(self) -> float:
        """Return the time, in seconds, of the next start or the current timeout."""
        attempt = self._attempt
        if self._is_start_pending and not self._pause_reasons:
            return self._next_start_time
        if self._pause_reasons or attempt is None or not self._request.stream:
            return math.inf
        return self._last_activity_time + attempt.idle_timeout_s(self._settings)

    def _start_attempt(self, now: float) -> tuple[Action, ...]:
        self._is_start_pending = (
            bool(self._pause_reasons) or now < self._next_start_time
        )
        if self._is_start_pending:
            self._await_key(now)
            return (
                _NO_ACTIONS
                if self._pause_reasons
                else (WaitUntil(self._next_start_time),)
            )
        self._last_activity_time = now
        self._attempt = self._tracker.begin_attempt()
        start = StartAttempt(
            number=self._attempt.number,
            exclude=self._tracker.excluded_targets,
            resume_after=self.position,
            weights=self._weights,
        )
        return (start,)

    def _on_stream_chunk(
        self, now: float, attempt: Attempt, response: StreamedResponse, data: bytes
    ) -> tuple[Action, ...]:
        if not self._is_head_sent:
            weights = self._weights or attempt.response_weights
            self._sequence.set_base(self._request.sign_base(weights))
        try:
            numbered = response.feed(data)
        except SequenceError:
            return self._fail_attempt(now, FailureCause.GAP)
        except StreamError:
            return self._fail_attempt(now, FailureCause.TOO_LARGE)
        if numbered.events:
            attempt.has_events = True
            self._last_activity_time = now
            if self._is_head_sent and not response.is_ended:
                return (SendBytes(numbered.data, numbered.events),)
        elif not response.is_ended:
            return _NO_ACTIONS
        elif not self.position:
            # An engine that crashes may send an end marker without any event.
            return self._fail_attempt(now, FailureCause.EMPTY)
        return self._deliver_events(attempt, numbered.data, numbered.events)

    def _deliver_events(
        self, attempt: Attempt, data: bytes, events: int
    ) -> tuple[Action, ...]:
        actions: list[Action] = []
        if not self._is_head_sent:
            head = attempt.head
            self._weights = self._weights or attempt.response_weights
            self._is_head_sent = True
            self._has_run = True
            actions.append(SendHead(head.status, head.headers, RunStatus.RAN, None))
        if not attempt.response.is_ended:
            return (*actions, SendBytes(data, events))
        finish = self._build_finish(FinishReason.COMPLETE)
        return (*actions, SendBytes(data + END_MARKER, events), finish)

    def _on_transfer_end(
        self, now: float, attempt: Attempt, end: UpstreamEnd
    ) -> tuple[Action, ...]:
        response = attempt.response
        if isinstance(response, BufferedResponse) and end.complete:
            return self._on_buffered_response(now, response)
        cause = classify_transfer_failure(attempt, end)
        not_run = not end.sent and attempt.head is None
        return self._fail_attempt(now, cause, not_run=not_run, cancel=False)

    def _on_buffered_response(
        self, now: float, response: BufferedResponse
    ) -> tuple[Action, ...]:
        head, body = response.head, response.body()
        if head.status in RETRY_STATUSES and self._request.idempotent:
            self._fallback_response = CompleteResponse(head, body)
            return self._fail_attempt(now, FailureCause.ERROR_STATUS, cancel=False)
        if head.status == 200 and not self._request.is_whole(body):
            return self._fail_attempt(now, FailureCause.EMPTY, cancel=False)
        return self._deliver_response(CompleteResponse(head, body))

    def _deliver_response(self, response: CompleteResponse) -> tuple[Action, ...]:
        self._has_run = (
            self._has_run or response.head.status not in RUN_UNKNOWN_STATUSES
        )
        self._is_head_sent = True
        send_actions = response.delivery_actions(self.run_status)
        return (*send_actions, self._build_finish(FinishReason.COMPLETE))

    def _hold_chunk(
        self, now: float, attempt: Attempt, data: bytes
    ) -> tuple[Action, ...]:
        if attempt.hold_chunk(data, self._settings.max_held_bytes):
            return _NO_ACTIONS
        if not self._request.idempotent:
            return self._fail_attempt(now, FailureCause.TOO_LARGE)
        # The held chunks exceed the limit and are dropped. After the pause, the next
        # attempt requests their events again.
        self._attempt = None
        self._tracker.record_cancellation(attempt)
        self._is_start_pending = True
        return (CancelAttempt(attempt.number),)

    def _deliver_held_chunks(self, now: float, attempt: Attempt) -> tuple[Action, ...]:
        actions: list[Action] = []
        for data in attempt.drain_held_chunks():
            actions.extend(self.on_response_chunk(now, attempt.number, data))
        if self._attempt is attempt and attempt.held_end is not None:
            actions.extend(self._on_transfer_end(now, attempt, attempt.held_end))
        elif self._attempt is attempt and self._request.stream:
            actions.append(ResumeUpstream(attempt.number))
        return tuple(actions)

    def _fail_attempt(
        self,
        now: float,
        cause: FailureCause,
        not_run: bool = False,
        cancel: bool = True,
    ) -> tuple[Action, ...]:
        attempt = self._attempt
        self._attempt = None
        cancel_actions = (CancelAttempt(attempt.number),) if cancel else _NO_ACTIONS
        failed_action = AttemptFailed(attempt.number, attempt.target, cause)
        self._tracker.record_failure(now, attempt, cause, not_run, self.position)
        if self._tracker.can_retry(now, not_run):
            follow_up_actions = self._start_after_backoff(now)
        else:
            message = f"attempt failed: {cause.value}"
            follow_up_actions = self._end_exchange(
                finish_reason_after_failure(cause, not_run), message
            )
        return (*cancel_actions, failed_action, *follow_up_actions)

    def _cancel(self, reason: FinishReason, message: str) -> tuple[Action, ...]:
        if self._is_finished:
            return _NO_ACTIONS
        self._fallback_response = None
        attempt = self._attempt
        if attempt is None:
            return self._end_exchange(reason, message)
        self._tracker.record_cancellation(attempt)
        return (CancelAttempt(attempt.number), *self._end_exchange(reason, message))

    def _end_exchange(self, reason: FinishReason, message: str) -> tuple[Action, ...]:
        if self._fallback_response is not None and not self._is_head_sent:
            return self._deliver_response(self._fallback_response)
        finish = self._build_finish(reason, message)
        if self._is_head_sent and reason is not FinishReason.CALLER_GONE:
            return (SendBytes(encode_error_event(reason, message), 0), finish)
        return (finish,)

    def _build_finish(self, reason: FinishReason, message: str = "") -> Finish:
        # Read the run status before the attempt is cleared, because the run status
        # depends on whether the attempt may have run.
        run_status = self.run_status
        self._attempt = None
        self._is_finished = True
        is_complete = reason is FinishReason.COMPLETE
        return Finish(
            run_status=run_status,
            reason=reason,
            message=message,
            status=0 if self._is_head_sent else REFUSAL_STATUSES[reason],
            retry_after_s=0.0 if is_complete else self._retry_after_s,
            position=self.position,
            attempts=self._tracker.attempt_count,
            keep_connection=is_complete or not self._is_head_sent,
        )
