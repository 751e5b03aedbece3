"""One sending of a request to one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.entry.events import MAX_EVENT_BYTES, EventSplitter
from berylnotch.entry.judging import is_encoded, passed_on, problem_of
from berylnotch.entry.moving import MovedRun, RunMove
from berylnotch.entry.patience import Waiting, overdue_at
from berylnotch.entry.reading import PromptReading
from berylnotch.entry.results import AttemptEnd, AttemptOwner, AttemptResult
from berylnotch.entry.signals import take_signals
from berylnotch.net.client import (
    ClientConnection,
    Failure,
    ResponseHead,
    ResponseSink,
)
from berylnotch.platform.requests import (
    TargetHeaders,
    decode_answer,
    encode_for_target,
)
from berylnotch.util.clock import boot_time
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    from berylnotch.entry.admitted import Admitted
    from berylnotch.entry.context import EntryContext
    from berylnotch.entry.model import Choice

#: Largest answer that is not a stream, in bytes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

#: Seconds for which a target that said it is full, but not for how long, gets no
#: request.
FULL_S = 0.15

#: Seconds for which a target that is not the expected one, or runs other weights,
#: gets no request; by then the leader knows more.
MISDIRECTED_S = 0.4

#: Seconds until a run that found no place is looked at again.
MOVE_RETRY_S = 0.8

#: Engines that are asked to take a run over before that pause: where two have no room
#: the others are full as well.
MAX_REFUGES = 2


class Attempt(ResponseSink):
    """A request at one target.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    choice : Choice
        Where it is sent.
    admitted : Admitted
        The request.
    told : TargetHeaders
        What the target is told beside it.
    owner : AttemptOwner
        Hears of the answer.
    """

    def __init__(
        self,
        context: EntryContext,
        choice: Choice,
        admitted: Admitted,
        told: TargetHeaders,
        owner: AttemptOwner,
    ) -> None:
        self._context = context
        self._target = choice.target
        self._reading = PromptReading(context, choice, admitted, told)
        self._is_long = admitted.caller.chain.has_home
        self._expected_s = choice.delay_ms / 1000
        self._admitted = admitted
        self._told = told
        self._owner = owner
        self._connection: ClientConnection | None = None
        self._head: ResponseHead | None = None
        self._is_stream = False
        self._splitter = EventSplitter()
        self._body = bytearray()
        self._sent_at = 0.0
        self._heard_at = 0.0
        self._is_over = False
        self._number = id(self)
        self._move: RunMove | None = None
        self._move_again_at = 0.0
        #: Engines that did not take the run.
        self._without_room: set[str] = set()
        #: Whether the target may have stopped the run without saying so.
        self._is_in_doubt = False

    @property
    def has_sent(self) -> bool:
        """Whether the target may have seen the request."""
        return self._connection is not None and self._connection.has_sent

    def start(self) -> None:
        """Send the request."""
        target, route = self._target, self._admitted.route
        request = encode_for_target(self._admitted.request, self._told)
        self._connection = self._context.targets.connect(target, route.is_repeatable)
        target.in_flight += 1
        target.long_in_flight += self._is_long
        self._reading.begin()
        self._sent_at = boot_time()
        target.ejection.sent(self._sent_at, self._number)
        self._connection.send(request, self)
        self._watch_answer()

    def pause(self) -> None:
        """Stop reading for a slow caller."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Read on."""
        if self._connection is not None:
            self._connection.resume()

    def cancel(self, is_overdue: bool = False) -> None:
        """End the attempt; the target stops working on it.

        Parameters
        ----------
        is_overdue : bool, default=False
            Whether the target should have answered by now.
        """
        if self._is_over:
            return
        if is_overdue and self._head is None:
            self._target.ejection.failed(boot_time(), self._number)
            self._target.note_outcome(has_failed=True)
        else:
            self._target.ejection.abandoned(self._number)
        self._count("overdue" if is_overdue else "cancelled")
        if self._move is not None:
            self._move.cancel()
        self._leave()
        self._connection.close()

    def _watch_answer(self) -> None:
        """Give up a repeatable request whose answer does not come or go on."""
        if self._is_over or not self._admitted.route.is_repeatable:
            return
        if self._move is not None:
            self._context.loop.call_later(MOVE_RETRY_S, self._watch_answer)
            return
        route, now = self._admitted.route, boot_time()
        waiting = Waiting(
            self._sent_at,
            self._expected_s,
            self._admitted.is_stream,
            self._head is not None,
            self._heard_at if self._is_stream else 0.0,
            self._target.heard_at,
        )
        overdue = overdue_at(self._context.settings, route, waiting)
        if now < overdue or not route.target_latency_s:
            delay_s = max(0.05, overdue - now)
            self._context.loop.call_later(delay_s, self._watch_answer)
        elif self._owner.may_move():
            waited_s = now - (self._heard_at or self._sent_at)
            self.cancel(is_overdue=True)
            self._end(AttemptEnd.BROKEN, f"nothing heard for {waited_s:.2f} s")

    # Answer of the target.

    def on_head(self, head: ResponseHead) -> bool:
        """Take the head; one of another request is skipped."""
        answer = decode_answer(head.status, head.headers)
        take_signals(
            self._context, self._target, answer, self._admitted.caller.request_id
        )
        own_id = self._admitted.caller.request_id
        if not answer.request_id and head.status >= 300 and self._connection.is_reused:
            # It may be a late one of the request before.
            self._break_off("failure without an id on a kept connection")
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
            # It leaves soon.
            self._context.log.info(
                "target_closes", target=self._target.target_id, status=head.status
            )
        content_type = head.headers.get("Content-Type").lower()
        self._is_stream = head.status == 200 and "text/event-stream" in content_type
        return True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._is_over:
            return
        if is_encoded(self._head):
            self._break_off("encoded answer")
            return
        if not self._is_stream:
            self._target.heard_at = boot_time()
            self._body += data
            if len(self._body) > MAX_ANSWER_BYTES:
                self._break_off("answer too large")
            return
        if not decode_answer(200, self._head.headers).stamp:
            self._break_off("stream without a stamp")
            return
        self._reading.done(self._sent_at)
        for event in self._splitter.feed(data):
            if event.is_progress:
                # Bytes alone, or comments, do not show that the stream goes on.
                self._heard_at = self._target.heard_at = boot_time()
            self._owner.stream_began(200, passed_on(self._head))
            self._owner.event(event.data, event.number)
            if self._is_over:
                return
        if len(self._splitter.tail) > MAX_EVENT_BYTES:
            self._break_off("event too large")
        elif self._target.is_emptying or self._target.is_leaving:
            self._leave_target()

    def on_complete(self) -> None:
        """Judge a whole answer."""
        if self._is_over:
            return
        if self._move is not None and not self._head.is_delimited:
            # The end of the connection may be that of the run, or that of its stay.
            self._move.hold(self.on_complete)
            return
        answer = decode_answer(self._head.status, self._head.headers)
        target, status = self._target, self._head.status
        self._leave()
        tail = self._splitter.tail if self._is_stream else None
        problem = problem_of(self._head, answer, tail, self._is_in_doubt)
        if problem:
            self._connection.close()
            self._end(AttemptEnd.BROKEN, problem)
            return
        self._context.targets.keep(target, self._connection)
        if answer.is_not_run:
            self._refused(status)
            return
        if self._is_stream:
            self._end_stream()
            return
        if status in (408, 421, 429, 503):
            # To a caller these statuses promise that the request has not run.
            self._end(AttemptEnd.BROKEN, f"status {status} without a promise")
            return
        if status < 500:
            target.ejection.succeeded(self._number, self._sent_at)
        else:
            target.ejection.abandoned(self._number)
        target.note_outcome(status >= 500, boot_time() - self._sent_at)
        self._count(f"status-{status // 100}xx")
        self._owner.ended(
            AttemptResult(
                target,
                AttemptEnd.ANSWERED,
                status=status,
                headers=passed_on(self._head),
                body=bytes(self._body),
            )
        )

    def on_failure(self, failure: Failure, reason: str) -> None:
        """Judge a failed connection."""
        if self._is_over:
            return
        if self._move is not None:
            self._move.hold(lambda: self.on_failure(failure, reason))
            return
        self._leave()
        target, now = self._target, boot_time()
        target.ejection.failed(now, self._number)
        target.note_outcome(has_failed=True)
        if failure is Failure.NOT_SENT:
            # Nothing listens there any more, and what it held is lost.
            self._context.prompts.forget_engine(target.target_id)
        self._context.log.warning(
            "attempt_failed",
            id=self._admitted.caller.request_id,
            target=target.target_id,
            failure=failure.value,
            reason=reason,
            after_s=now - self._sent_at,
            failures=target.ejection.failures,
        )
        if failure is Failure.NOT_SENT:
            self._end(AttemptEnd.NOT_REACHED, reason)
        else:
            self._end(AttemptEnd.BROKEN, reason, is_lost=True)

    def _leave_target(self) -> None:
        """Let the run go on elsewhere, so that its engine is free sooner."""
        now = boot_time()
        is_due = self._is_long and self._move is None and now >= self._move_again_at
        if self._is_over or not is_due:
            return
        refuge = None
        if len(self._without_room) < MAX_REFUGES:
            refuge = self._owner.refuge(self._without_room)
        if refuge is None:
            self._move_again_at = now + MOVE_RETRY_S
            self._without_room.clear()
            return
        self._without_room.add(refuge.target_id)
        request_id = self._admitted.caller.request_id
        self._move = RunMove(
            self._context, request_id, self._target, refuge, self._move_ended
        )
        self._move.start()

    def _move_ended(self, moved: MovedRun | None, is_sure: bool) -> None:
        move, self._move = self._move, None
        if moved is not None:
            self._target.ejection.succeeded(self._number, self._sent_at)
            self._leave()
            self._connection.close()
            self._end(AttemptEnd.MOVED, "", moved=moved)
            return
        self._is_in_doubt = not is_sure
        if move.stream_end is not None:
            move.stream_end()

    def _refused(self, status: int) -> None:
        """Act on a target that did not run the request."""
        target = self._target
        target.ejection.abandoned(self._number)
        pause_s = FULL_S if status in (503, 429) else MISDIRECTED_S
        target.back_off(boot_time(), pause_s)
        self._context.log.warning(
            "target_refused",
            id=self._admitted.caller.request_id,
            target=target.target_id,
            status=status,
            load=target.load,
        )
        self._end(AttemptEnd.NOT_RUN, f"refused with {status}")

    def _end_stream(self) -> None:
        self._target.ejection.succeeded(self._number, self._sent_at)
        self._target.note_outcome(has_failed=False)
        self._owner.stream_began(200, passed_on(self._head))
        if self._splitter.tail:
            self._owner.event(self._splitter.tail, None)
        self._end(AttemptEnd.STREAM_COMPLETE, "")

    def _break_off(self, reason: str) -> None:
        self._leave()
        self._connection.close()
        self._end(AttemptEnd.BROKEN, reason)

    def _count(self, result: str) -> None:
        self._context.metrics.count(
            "berylnotch_attempts_total",
            Label("service", self._target.listed.service),
            Label("result", result),
        )

    def _leave(self) -> None:
        self._is_over = True
        self._target.in_flight -= 1
        self._target.long_in_flight -= self._is_long
        if self._target.is_emptying and not self._target.long_in_flight:
            self._context.report_soon()
        self._reading.close()

    def _end(
        self,
        end: AttemptEnd,
        reason: str,
        is_lost: bool = False,
        moved: MovedRun | None = None,
    ) -> None:
        self._count(end.value.replace(" ", "-"))
        status = self._head.status if self._head else 0
        result = AttemptResult(
            self._target, end, reason, status, is_lost=is_lost, moved=moved
        )
        self._owner.ended(result)
