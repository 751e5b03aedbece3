"""Migration of a running request and its KV cache to another engine."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from berylnotch.entry.context import EntryContext
from berylnotch.entry.targets import Target
from berylnotch.errors import GatewayError
from berylnotch.net.fetch import fetch
from berylnotch.net.messages import HttpResponse
from berylnotch.platform.moves import (
    MoveAnswer,
    decode_move,
    free_copy_request,
    move_request,
    run_origin,
)
from berylnotch.util.address import parse_address
from berylnotch.util.metrics import Label

#: Timeout of one migration request in seconds, many times the duration of a copy over
#: a healthy link.
REQUEST_TIMEOUT_S = 1.0

#: Attempts to stop a run before the migration is abandoned, since the answer to one
#: attempt may be lost.
MAX_STOP_ATTEMPTS = 2

#: Time limit, in seconds, for the answers to all attempts to stop a run. A slow copy
#: may be complete while the next attempt is in progress.
STOP_TIMEOUT_S = MAX_STOP_ATTEMPTS * REQUEST_TIMEOUT_S

#: Time, in seconds, to wait for the last events of a run after the run is known to have
#: stopped.
LAST_EVENTS_WAIT_S = 0.1


@frozen
class StoppedRun:
    """A stopped run and the copy of its KV cache from which it resumes.

    Parameters
    ----------
    source : Target
        Engine that executed the run and keeps its KV cache.
    destination : Target
        Engine that has a complete copy, or the source if there is none.
    handle : str
        Identifier of the copy.
    """

    source: Target
    destination: Target
    handle: str

    @property
    def origin(self) -> str:
        """Location of the run's KV cache, in the form that engines expect."""
        return run_origin(self.source.listed.address, self.handle)


class RunMigration:
    """Migration of one run to another engine.

    The KV cache is copied while the run continues, so a failed copy does not disturb
    the run. Then the run stops, and the part of the cache that was added in the
    meantime is copied too.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    request_id : str
        Identifier of the request.
    source : Target
        Engine that executes the run.
    destination : Target
        Engine at which the run shall resume.
    on_end : callable
        Called with the stopped run, or None if no engine confirmed that it stopped.

    Notes
    -----
    An engine may carry out a request to stop the run at any time after it was sent. A
    later answer, such as that no such run exists, does not tell what became of it.
    """

    def __init__(
        self,
        context: EntryContext,
        request_id: str,
        source: Target,
        destination: Target,
        on_end: Callable[[StoppedRun | None], None],
    ) -> None:
        self._context = context
        self._request_id = request_id
        self._source = source
        self._destination = destination
        self._on_end = on_end
        self._has_ended = False
        self._handle = ""
        self._stop_attempts = 0
        #: Number of requests to stop the run whose answers may still arrive.
        self._pending_stops = 0
        self._has_unanswered_stop = False
        self._stopped_run: StoppedRun | None = None
        #: Handles the end of a stream that ended during the migration.
        self._on_stream_end: Callable[[], None] | None = None

    @property
    def on_stream_end(self) -> Callable[[], None] | None:
        """Deferred handler of the stream's end, None if the stream has not ended."""
        return self._on_stream_end

    @property
    def has_unanswered_stop(self) -> bool:
        """Whether a call to stop the run has no answer and may still be carried out."""
        return self._has_unanswered_stop or self._pending_stops > 0

    def start(self) -> None:
        """Copy the KV cache while the run continues."""
        self._send(False, REQUEST_TIMEOUT_S, self._on_copy_answer)

    def defer_stream_end(self, on_stream_end: Callable[[], None]) -> None:
        """Defer the end of the stream until it is known whether the run stopped."""
        self._on_stream_end = on_stream_end
        if self._stopped_run is not None:
            self._end(self._stopped_run)

    def cancel(self) -> None:
        """Abandon the migration because the request has ended, and free any copy."""
        if not self._has_ended:
            self._has_ended = True
            self._free_copy(
                self._stopped_run.handle if self._stopped_run else self._handle
            )

    def _on_copy_answer(self, answer: MoveAnswer | None) -> None:
        if self._has_ended:
            self._free_copy(answer.handle if answer else "")
        elif answer is None or not answer.is_copied:
            self._end(None, answer.status if answer else 0)
        else:
            self._handle = answer.handle
            self._stop_run()

    def _stop_run(self) -> None:
        timeout_s = STOP_TIMEOUT_S - self._stop_attempts * REQUEST_TIMEOUT_S
        self._stop_attempts += 1
        self._pending_stops += 1
        if self._stop_attempts < MAX_STOP_ATTEMPTS:
            self._context.loop.call_later(REQUEST_TIMEOUT_S, self._on_stop_overdue)
        self._send(True, timeout_s, self._on_stop_answer)

    def _on_stop_overdue(self) -> None:
        is_open = not self._has_ended and self._stopped_run is None
        if is_open and self._stop_attempts < MAX_STOP_ATTEMPTS:
            self._stop_run()

    def _on_stop_answer(self, answer: MoveAnswer | None) -> None:
        self._pending_stops -= 1
        if answer is None or not (answer.handle or answer.is_refusal):
            self._has_unanswered_stop = True
        if self._stopped_run is not None:
            # The copy may be the one that the stopped run resumes from.
            return
        if self._has_ended:
            self._free_copy(answer.handle if answer else "")
        elif answer is not None and answer.handle:
            self._on_run_stopped(answer)
        elif self._is_stop_in_progress(answer):
            # The answer to the other request may still arrive.
            return
        elif answer is not None and answer.is_refusal:
            self._end(None, answer.status)
        elif self._stop_attempts < MAX_STOP_ATTEMPTS:
            self._stop_run()
        else:
            self._end(None, answer.status if answer else 0)

    def _is_stop_in_progress(self, answer: MoveAnswer | None) -> bool:
        """Whether another request may still stop the run, by the answer to this one."""
        is_gone = answer is not None and answer.is_refusal and not answer.is_busy
        return self._pending_stops > 0 and not is_gone

    def _on_run_stopped(self, answer: MoveAnswer) -> None:
        destination = self._destination if answer.is_copied else self._source
        self._stopped_run = StoppedRun(self._source, destination, answer.handle)
        if self._on_stream_end is not None:
            self._end(self._stopped_run)
        else:
            self._context.loop.call_later(
                LAST_EVENTS_WAIT_S, lambda: self._end(self._stopped_run)
            )

    def _end(self, stopped_run: StoppedRun | None, status: int = 200) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        result = "unknown" if self.has_unanswered_stop else "stayed"
        if stopped_run is not None:
            result = "moved"
        self._context.metrics.count("berylnotch_moves_total", Label("result", result))
        self._context.log.info(
            "run_moved" if stopped_run is not None else "run_not_moved",
            id=self._request_id,
            target=self._source.target_id,
            to=self._destination.target_id,
            result=result,
            status=status,
            calls=self._stop_attempts,
            has_unanswered_stop=self.has_unanswered_stop,
        )
        if stopped_run is None:
            self._free_copy(self._handle)
        self._on_end(stopped_run)

    def _send(
        self,
        stops_run: bool,
        timeout_s: float,
        on_answer: Callable[[MoveAnswer | None], None],
    ) -> None:
        def on_response(response: HttpResponse | None, reason: str) -> None:
            answer = None
            if response is not None:
                try:
                    answer = decode_move(response)
                except GatewayError as error:
                    reason = str(error)
            if answer is None:
                self._context.log.warning(
                    "move_unanswered",
                    id=self._request_id,
                    target=self._source.target_id,
                    stops_run=stops_run,
                    reason=reason,
                )
            on_answer(answer)

        source, to = self._source.listed.address, self._destination.listed.address
        request = move_request(source, self._request_id, to, stops_run)
        address = parse_address(source)
        fetch(self._context.loop, address, request, timeout_s, on_response)

    def _free_copy(self, handle: str) -> None:
        """Free an unused copy, which engines otherwise keep for some seconds."""
        if handle:
            address = self._source.listed.address
            request = free_copy_request(address, handle)
            fetch(
                self._context.loop,
                parse_address(address),
                request,
                REQUEST_TIMEOUT_S,
                lambda response, reason: None,
            )
