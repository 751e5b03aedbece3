"""One attempt to have a request answered by one target."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum
from typing import TYPE_CHECKING

from berylnotch.entry.announcements import apply_announcements
from berylnotch.entry.events import StreamEvent
from berylnotch.entry.failover import PendingAnswer, failover_at
from berylnotch.entry.judging import (
    announced_bytes,
    forwarded_headers,
    is_encoded,
    response_problem,
)
from berylnotch.entry.migration import RunMigration, StoppedRun
from berylnotch.entry.reading import PromptTracker
from berylnotch.entry.results import AttemptEnd, AttemptOwner, AttemptResult
from berylnotch.entry.rollout_choice import observe_attempt
from berylnotch.entry.stream_intake import StreamIntake
from berylnotch.entry.target_outcome import TargetOutcome
from berylnotch.net.client import ClientConnection, Failure, ResponseSink
from berylnotch.net.response_memory import HeldResponse
from berylnotch.net.response_reader import ResponseHead
from berylnotch.platform.requests import (
    TargetHeaders,
    decode_answer,
    encode_for_target,
)
from berylnotch.util.clock import boot_time
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    from berylnotch.entry.context import EntryContext
    from berylnotch.entry.model import Choice
    from berylnotch.entry.rollout_evidence import AttemptEvidence
    from berylnotch.entry.routed_request import RoutedRequest
    from berylnotch.util.loop import Timer

#: Number of prompt parts in a log line.
MAX_LOGGED_PARTS = 16

#: Seconds before the end of its time from which a target may end an attempt for lack of
#: time: requests state whole milliseconds, and the clocks of two VMs differ.
EXPIRY_TOLERANCE_S = 0.01

#: Back-off, in seconds, after a target refuses a request because it is full and
#: specifies no back-off.
FULL_TARGET_BACKOFF_S = 0.15

#: Back-off, in seconds, after a target refuses a request because it is not the expected
#: target or runs other weights. The leader has newer information by the end of the
#: back-off.
MISDIRECTED_BACKOFF_S = 0.4

#: Seconds until the next attempt to migrate a run that no engine has taken over. Also
#: the interval of the timeout check while a migration is in progress, or while the
#: response waits for memory.
MIGRATION_RETRY_S = 0.8

#: Interval in seconds at which a router that stops, or has no retry left, checks again
#: whether an overdue request can be sent to another target.
RETRY_CHECK_S = 0.1

#: Number of engines that are asked to take over a run before the router waits for
#: ``MIGRATION_RETRY_S``: if two engines have no room, the others are full as well.
MAX_MIGRATION_TARGETS = 2


class ReadPause(Enum):
    """Reason why the response of a target is not read."""

    #: The caller reads more slowly than events arrive.
    CALLER = "caller"
    #: The responses that this process holds take too much memory.
    MEMORY = "memory"
    #: Received bytes are still being processed.
    PROCESSING = "processing"


class Attempt(ResponseSink):
    """One request sent to one target, up to its response or its failure.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    choice : Choice
        Target that the request is sent to.
    routed : RoutedRequest
        The request.
    target_headers : TargetHeaders
        Values of the headers that are added for the target.
    owner : AttemptOwner
        Receives the response and the result of the attempt.
    """

    def __init__(
        self,
        context: EntryContext,
        choice: Choice,
        routed: RoutedRequest,
        target_headers: TargetHeaders,
        owner: AttemptOwner,
    ) -> None:
        self._context = context
        self._target = choice.target
        self._reading = PromptTracker(context, choice, routed, target_headers)
        self._is_long = routed.caller.chain.has_affinity
        self._choice, self._expected_s = choice, choice.delay_ms / 1000
        self._evidence: AttemptEvidence | None = None
        self._routed = routed
        self._target_headers = target_headers
        self._owner = owner
        self._connection: ClientConnection | None = None
        self._head: ResponseHead | None = None
        self._is_stream = False
        self._stream = StreamIntake(
            context.loop,
            context.stream_turns,
            routed.caller.output_tokens,
            self._on_events,
            lambda is_paused: self._set_paused(ReadPause.PROCESSING, is_paused),
        )
        self._body = bytearray()
        self._held: HeldResponse | None = None
        self._pause_reasons: set[ReadPause] = set()
        self._sent_at = 0.0
        self._last_event_at = 0.0
        self._has_ended = False
        self._overdue_timer: Timer | None = None
        request_id = routed.caller.request_id
        self._outcome = TargetOutcome(context, choice.target, request_id)
        self._migration: RunMigration | None = None
        self._next_migration_at = 0.0
        #: Identities of the engines that did not take over the run.
        self._asked_destinations: set[str] = set()

    @property
    def has_sent(self) -> bool:
        """Whether the target may have received the request."""
        return self._connection is not None and self._connection.has_sent

    def start(self) -> None:
        """Send the request."""
        target, route = self._target, self._routed.route
        request = encode_for_target(self._routed.request, self._target_headers)
        self._connection = self._context.targets.connect(target, route.is_retryable)
        if not target.in_flight and not target.was_left_silent:
            target.busy_since = boot_time()
        target.in_flight += 1
        target.long_in_flight += self._is_long
        self._reading.begin()
        self._sent_at = boot_time()
        self._evidence = observe_attempt(
            self._context, self._routed, self._choice, self._sent_at
        )
        if target.limit is not None:
            target.limit.take(self._sent_at)
        self._outcome.on_sent(self._sent_at)
        self._connection.send(request, self)
        self.check_overdue()

    def pause(self) -> None:
        """Stop reading the response while the caller is congested (backpressure)."""
        self._set_paused(ReadPause.CALLER, True)

    def resume(self) -> None:
        """Continue to read the response after `pause`."""
        self._set_paused(ReadPause.CALLER, False)

    def _set_paused(self, reason: ReadPause, is_paused: bool) -> None:
        """Pause the response for a reason, or remove a reason to pause."""
        if self._connection is None or self._has_ended:
            return
        if is_paused:
            self._pause_reasons.add(reason)
            self._connection.pause()
        else:
            self._pause_reasons.discard(reason)
            if not self._pause_reasons:
                self._connection.resume()

    def cancel(self, is_overdue: bool = False) -> None:
        """End the attempt and close its connection, so that the target stops the run.

        Parameters
        ----------
        is_overdue : bool, default=False
            Whether the response is overdue, which counts as a failure of the target.
        """
        if self._has_ended:
            return
        if self._evidence is not None:
            self._evidence.on_unanswered(boot_time(), self._is_overdue())
        if is_overdue and self._head is None:
            self._outcome.on_silence(boot_time(), self._last_event_at)
            self._outcome.on_failure(boot_time(), is_late=True)
        else:
            self._outcome.on_abandoned()
        self._count_result("overdue" if is_overdue else "cancelled")
        self._release_target()
        self._take_body()
        self._connection.close()

    def check_overdue(self) -> None:
        """End the attempt of a repeatable request if its response is overdue."""
        if self._has_ended or not self._routed.route.is_retryable:
            return
        if self._migration is not None or ReadPause.MEMORY in self._pause_reasons:
            self._check_later(MIGRATION_RETRY_S)
            return
        route, now = self._routed.route, boot_time()
        due_at = self._due_at(self._stop_answer_by)
        if now < due_at or not route.target_latency_s:
            delay_s = max(0.05, due_at - now)
            self._check_later(delay_s)
        elif self._owner.can_retry_elsewhere():
            waited_s = now - (self._last_event_at or self._sent_at)
            self._outcome.on_silence(now, self._last_event_at)
            self.cancel(is_overdue=True)
            self._report_end(
                AttemptEnd.BROKEN, f"no data from the target for {waited_s:.2f} s"
            )
        elif self._context.stop is not None or self._owner.lacks_retry:
            # Another target may get room before the router stops and cuts the answer,
            # or the quota owner may grant a retry.
            self._check_later(RETRY_CHECK_S)

    def _check_later(self, delay_s: float) -> None:
        # A timer keeps the request in memory, so it is cancelled with the attempt.
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
        self._overdue_timer = self._context.loop.call_later(delay_s, self.check_overdue)

    def _due_at(self, answer_by: float = math.inf) -> float:
        """Return the boot time from which the answer is overdue."""
        pending = PendingAnswer(
            self._sent_at,
            self._expected_s,
            self._routed.is_stream,
            self._head is not None,
            self._last_event_at if self._is_stream else 0.0,
            self._target.heard_at,
        )
        settings, route = self._context.settings, self._routed.route
        return failover_at(settings, route, pending, answer_by)

    def _is_overdue(self) -> bool:
        """Whether the answer is overdue, also without a stop of the router."""
        return bool(self._routed.route.target_latency_s) and (
            boot_time() >= self._due_at()
        )

    @property
    def _stop_answer_by(self) -> float:
        """Boot time at which the router's stop ends the request, else infinite."""
        answer_by = self._context.answer_by
        deadline = self._sent_at + self._target_headers.deadline_s
        return answer_by if answer_by < deadline else math.inf

    # Events of the client connection.

    def on_head(self, head: ResponseHead) -> bool:
        """Accept the response head; skip the head of a response to another request."""
        answer = decode_answer(head.status, head.headers)
        apply_announcements(
            self._context,
            self._target,
            answer,
            self._routed.caller.request_id,
            self._sent_at,
        )
        own_id = self._routed.caller.request_id
        if not answer.request_id and head.status >= 300 and self._connection.is_reused:
            # It may be a late response to the previous request on this connection.
            self._abort(
                "error response without a request id on a reused connection",
                is_failure=False,
            )
            return False
        if answer.request_id != own_id and (answer.request_id or head.status < 300):
            self._context.log.warning(
                "foreign_answer",
                id=own_id,
                target=self._target.target_id,
                found=answer.request_id,
                status=head.status,
            )
            return False
        self._head = head
        if head.headers.get("Connection").lower() == "close":
            # A target that closes its connections is about to leave.
            self._context.log.info(
                "target_closes", target=self._target.target_id, status=head.status
            )
        content_type = head.headers.get("Content-Type").lower()
        self._is_stream = head.status == 200 and "text/event-stream" in content_type
        max_bytes = self._context.response_memory.limits.response_bytes
        announced = announced_bytes(self._routed.request.method, head)
        if not self._is_stream and announced > max_bytes:
            self._abort(f"response announces over {max_bytes} bytes")
        return True

    def on_body(self, data: bytes) -> None:
        """Process a part of the response body."""
        if self._has_ended:
            return
        if is_encoded(self._head):
            self._abort("response has a content encoding that was not requested")
            return
        if not self._is_stream:
            self._target.heard_at = boot_time()
            self._body += data
            max_bytes = self._context.response_memory.limits.response_bytes
            if len(self._body) > max_bytes:
                self._abort(f"response body exceeds {max_bytes} bytes")
            else:
                self._hold(len(self._body))
            return
        if not decode_answer(200, self._head.headers).stamp:
            self._abort("stream has no server stamp")
            return
        self._reading.on_processed(self._sent_at)
        self._stream.feed(data)

    def _hold(self, size_bytes: int) -> None:
        """Account for the memory of the bytes that wait here."""
        if self._held is None:
            self._held = self._context.response_memory.open(
                self._target.target_id,
                lambda is_paused: self._set_paused(ReadPause.MEMORY, is_paused),
                lambda: self._abort("no memory for the response", is_failure=False),
            )
        self._held.resize(size_bytes)

    def _on_events(self, events: Iterable[StreamEvent]) -> None:
        """Pass events of a stream on to the caller."""
        for event in events:
            self._stream.count(event)
            if event.is_response_head:
                # The framing does not show where a stream without a length ends, so
                # a response that a faulty target adds looks like an event.
                self._abort("another response follows within the stream")
                return
            if event.is_progress:
                # Incomplete events and comments do not show progress of the run.
                self._last_event_at = self._target.heard_at = boot_time()
                if self._evidence is not None:
                    self._evidence.on_event(self._last_event_at)
            self._owner.on_stream_begin(200, forwarded_headers(self._head))
            self._owner.on_event(event.data, event.number)
            if self._has_ended:
                return
        if self._held is not None or self._stream.held_bytes:
            self._hold(self._stream.held_bytes)
        if self._has_ended:
            return
        if self._stream.problem:
            self._abort(self._stream.problem)
        elif self._target.is_emptying or self._target.is_leaving:
            self._start_migration()

    def on_complete(self) -> None:
        """Check a received response and report the result of the attempt."""
        if self._has_ended or self._stream.call_when_processed(self.on_complete):
            return
        if self._migration is not None and not self._head.is_delimited:
            # The connection closes at the end of the run and also if the run is stopped
            # for the migration.
            self._migration.defer_stream_end(self.on_complete)
            return
        answer = decode_answer(self._head.status, self._head.headers)
        target, status = self._target, self._head.status
        self._release_target()
        tail = self._stream.tail if self._is_stream else None
        may_have_stopped = target.target_id in self._owner.unanswered_stops
        problem = response_problem(self._head, answer, tail, may_have_stopped)
        has_expired = self._has_expired(boot_time())
        if has_expired and status < 300 and not self._head.is_delimited:
            # The target closes its connection at the end of an answer and also if it
            # stops the work at the deadline.
            problem = problem or "connection closed at the deadline"
        if problem:
            self._connection.close()
            if has_expired:
                self._report_expiry(problem)
                return
            is_lost = not self._head.is_delimited
            self._report_end(AttemptEnd.BROKEN, problem, is_lost=is_lost)
            return
        self._context.targets.keep(target, self._connection)
        if answer.is_not_run:
            self._on_refusal(status, has_expired)
            return
        if self._is_stream:
            self._on_stream_complete()
            return
        if status in (408, 421, 429, 503):
            # To a caller these statuses mean that the request has not run.
            self._report_end(
                AttemptEnd.BROKEN,
                f"status {status} without the header for requests that did not run",
            )
            return
        now = target.heard_at = boot_time()
        if status < 500:
            self._outcome.on_success()
        else:
            self._outcome.on_abandoned()
        if status < 500 or not has_expired:
            target.note_outcome(status >= 500, now - self._sent_at)
            self._reading.on_answered(status, now - self._sent_at)
        self._record_evidence(AttemptEnd.ANSWERED, status, has_expired)
        self._count_result(f"status-{status // 100}xx")
        body = self._take_body()
        self._owner.on_attempt_end(
            AttemptResult(
                target,
                AttemptEnd.ANSWERED,
                status=status,
                headers=forwarded_headers(self._head),
                body=body,
                held=self._context.response_memory.keep(target.target_id, len(body)),
                is_delimited=self._head.is_delimited,
            )
        )

    def on_failure(self, failure: Failure, reason: str) -> None:
        """Report a failed connection as the result of the attempt."""
        if self._has_ended or self._stream.call_when_processed(
            lambda: self.on_failure(failure, reason)
        ):
            return
        if self._migration is not None:
            self._migration.defer_stream_end(lambda: self.on_failure(failure, reason))
            return
        self._release_target()
        target, now = self._target, boot_time()
        if failure is Failure.BROKEN and self._has_expired(now):
            self._report_expiry(reason)
            return
        if failure is Failure.NO_SOCKET:
            self._outcome.on_abandoned()
        else:
            self._outcome.on_failure(now, is_late=False)
        if failure is Failure.NOT_SENT:
            # No process listens at the target's address any more, and the target's
            # prefix cache is lost.
            target.on_ended(now)
            self._context.prompts.forget_engine(target.target_id)
        self._context.log.warning(
            "attempt_failed",
            id=self._routed.caller.request_id,
            target=target.target_id,
            failure=failure.value,
            reason=reason,
            after_s=now - self._sent_at,
            given_s=self._target_headers.deadline_s,
            failures=target.ejection.failures,
            events=self._stream.event_count,
            parts=",".join(self._routed.caller.part_ids[:MAX_LOGGED_PARTS]),
        )
        if failure is Failure.BROKEN:
            self._report_end(AttemptEnd.BROKEN, reason, is_lost=True)
        else:
            self._report_end(AttemptEnd.NOT_REACHED, reason)

    def _start_migration(self) -> None:
        """Migrate the run to another engine, so that this target is free sooner."""
        now = boot_time()
        is_due = (
            self._is_long and self._migration is None and now >= self._next_migration_at
        )
        if self._has_ended or not is_due:
            return
        destination = None
        if len(self._asked_destinations) < MAX_MIGRATION_TARGETS:
            destination = self._owner.choose_destination(self._asked_destinations)
        if destination is None:
            self._next_migration_at = now + MIGRATION_RETRY_S
            self._asked_destinations.clear()
            return
        self._asked_destinations.add(destination.target_id)
        request_id = self._routed.caller.request_id
        self._migration = RunMigration(
            self._context, request_id, self._target, destination, self._on_migration_end
        )
        self._migration.start()

    def _on_migration_end(self, stopped_run: StoppedRun | None) -> None:
        migration, self._migration = self._migration, None
        self._note_unanswered_stop(migration)
        if stopped_run is not None:
            self._outcome.on_success()
            self._release_target()
            self._connection.close()
            self._report_end(AttemptEnd.MOVED, "", stopped_run=stopped_run)
            return
        if migration.on_stream_end is not None:
            migration.on_stream_end()

    def _note_unanswered_stop(self, migration: RunMigration) -> None:
        if migration.has_unanswered_stop:
            self._owner.unanswered_stops.add(self._target.target_id)

    def _on_refusal(self, status: int, has_expired: bool) -> None:
        """Back off from a target that refused the request without running it.

        A target also refuses a request whose time is over while it waits there. That
        says nothing of other requests.
        """
        target = self._target
        self._outcome.on_abandoned()
        if has_expired:
            self._report_end(
                AttemptEnd.NOT_RUN, f"refused with {status} at the deadline"
            )
            return
        pause_s = (
            FULL_TARGET_BACKOFF_S if status in (503, 429) else MISDIRECTED_BACKOFF_S
        )
        if status in (503, 429):
            self._context.capacity.on_refused(target)
        target.back_off(boot_time(), pause_s)
        self._context.log.warning(
            "target_refused",
            id=self._routed.caller.request_id,
            target=target.target_id,
            status=status,
            load=target.load,
        )
        self._report_end(AttemptEnd.NOT_RUN, f"refused with {status}")

    def _on_stream_complete(self) -> None:
        self._outcome.on_success()
        self._target.note_outcome(has_failed=False)
        self._owner.on_stream_begin(200, forwarded_headers(self._head))
        if self._stream.tail:
            self._owner.on_event(self._stream.tail, None)
        self._report_end(AttemptEnd.STREAM_COMPLETE, "")

    def _abort(self, reason: str, is_failure: bool = True) -> None:
        """Give up a response; by default it counts as a failure of the target."""
        self._release_target()
        self._connection.close()
        if is_failure:
            self._outcome.on_failure(boot_time(), is_late=False)
        elif self._evidence is not None:
            self._evidence.discard()
        self._context.log.warning(
            "response_given_up",
            id=self._routed.caller.request_id,
            target=self._target.target_id,
            reason=reason,
            status=self._head.status if self._head else 0,
            received_bytes=len(self._body) or self._stream.held_bytes,
            held_bytes=self._context.response_memory.total_bytes,
            failures=self._target.ejection.failures,
        )
        self._report_end(AttemptEnd.BROKEN, reason)

    def _has_expired(self, now: float) -> bool:
        """Whether the time that the request stated for the target is over."""
        given_s = self._target_headers.deadline_s
        return now - self._sent_at >= given_s - EXPIRY_TOLERANCE_S

    def _report_expiry(self, reason: str) -> None:
        """Report a run that its target ended for lack of time, which is no failure."""
        self._outcome.on_abandoned()
        self._context.log.info(
            "attempt_expired",
            id=self._routed.caller.request_id,
            target=self._target.target_id,
            reason=reason,
            given_s=self._target_headers.deadline_s,
            events=self._stream.event_count,
        )
        self._report_end(AttemptEnd.EXPIRED, reason)

    def _record_evidence(
        self, end: AttemptEnd, status: int = 0, has_expired: bool = False
    ) -> None:
        if self._evidence is None:
            return
        if end is AttemptEnd.EXPIRED or (has_expired and status >= 500):
            self._evidence.on_unanswered(boot_time(), self._is_overdue())
        else:
            self._evidence.on_end(boot_time(), end, status)

    def _count_result(self, result: str) -> None:
        self._context.metrics.count(
            "berylnotch_attempts_total",
            Label("service", self._target.listed.service),
            Label("result", result),
        )

    def _release_target(self) -> None:
        self._has_ended = True
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
        if self._migration is not None:
            # The run has ended otherwise, so the outcome of the migration is void.
            migration, self._migration = self._migration, None
            self._note_unanswered_stop(migration)
            migration.cancel()
        self._target.in_flight -= 1
        self._target.long_in_flight -= self._is_long
        if self._target.is_emptying and not self._target.long_in_flight:
            self._context.schedule_report()
        self._reading.close()
        self._stream.close()
        if self._held is not None:
            self._held.close()

    def _take_body(self) -> bytearray:
        """Return the body, and drop it here: timers may refer to an ended attempt."""
        body, self._body = self._body, bytearray()
        return body

    def _report_end(
        self,
        end: AttemptEnd,
        reason: str,
        is_lost: bool = False,
        stopped_run: StoppedRun | None = None,
    ) -> None:
        self._record_evidence(end)
        self._count_result(end.value.replace(" ", "-"))
        self._take_body()
        self._outcome.on_abandoned()
        status = self._head.status if self._head else 0
        result = AttemptResult(
            self._target,
            end,
            reason,
            status,
            is_lost=is_lost,
            is_delimited=self._head is None or self._head.is_delimited,
            stopped_run=stopped_run,
        )
        self._owner.on_attempt_end(result)
