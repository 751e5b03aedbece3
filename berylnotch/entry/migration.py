"""Migration of a running request and its KV cache to another engine."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from berylnotch.entry.context import EntryContext
from berylnotch.entry.targets import Target
from berylnotch.errors import GatewayError
from berylnotch.net.fetch import fetch
from berylnotch.net.messages import HttpRequest, HttpResponse
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
        Called with the stopped run, or None if the run was not stopped, and with
        whether that outcome is certain.
    """

    def __init__(
        self,
        context: EntryContext,
        request_id: str,
        source: Target,
        destination: Target,
        on_end: Callable[[StoppedRun | None, bool], None],
    ) -> None:
        self._context = context
        self._request_id = request_id
        self._source = source
        self._destination = destination
        self._on_end = on_end
        self._has_ended = False
        self._handle = ""
        self._stop_attempts = 0
        self._stopped_run: StoppedRun | None = None
        #: Handles the end of a stream that ended during the migration.
        self._on_stream_end: Callable[[], None] | None = None

    @property
    def on_stream_end(self) -> Callable[[], None] | None:
        """Deferred handler of the stream's end, None if the stream has not ended."""
        return self._on_stream_end

    def start(self) -> None:
        """Copy the KV cache while the run continues."""
        self._send(self._move_request(stops_run=False), self._on_copy_answer)

    def defer_stream_end(self, on_stream_end: Callable[[], None]) -> None:
        """Defer the end of the stream until it is known whether the run stopped."""
        self._on_stream_end = on_stream_end
        if self._stopped_run is not None:
            self._end(self._stopped_run, is_certain=True)

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
            self._end(None, is_certain=True, status=answer.status if answer else 0)
        else:
            self._handle = answer.handle
            self._stop_run()

    def _stop_run(self) -> None:
        self._stop_attempts += 1
        self._send(self._move_request(stops_run=True), self._on_stop_answer)

    def _on_stop_answer(self, answer: MoveAnswer | None) -> None:
        if self._has_ended:
            self._free_copy(answer.handle if answer else "")
        elif answer is None:
            if self._stop_attempts < MAX_STOP_ATTEMPTS:
                self._stop_run()
            else:
                self._end(None, is_certain=False)
        elif not answer.handle:
            self._end(None, is_certain=True, status=answer.status)
        else:
            destination = self._destination if answer.is_copied else self._source
            self._stopped_run = StoppedRun(self._source, destination, answer.handle)
            if self._on_stream_end is not None:
                self._end(self._stopped_run, is_certain=True)
            else:
                self._context.loop.call_later(
                    LAST_EVENTS_WAIT_S,
                    lambda: self._end(self._stopped_run, is_certain=True),
                )

    def _end(
        self, stopped_run: StoppedRun | None, is_certain: bool, status: int = 200
    ) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        result = "unknown"
        if is_certain:
            result = "moved" if stopped_run is not None else "stayed"
        self._context.metrics.count("berylnotch_moves_total", Label("result", result))
        self._context.log.info(
            "run_moved" if stopped_run is not None else "run_not_moved",
            id=self._request_id,
            target=self._source.target_id,
            to=self._destination.target_id,
            result=result,
            status=status,
            calls=self._stop_attempts,
        )
        if stopped_run is None:
            self._free_copy(self._handle)
        self._on_end(stopped_run, is_certain)

    def _move_request(self, stops_run: bool) -> HttpRequest:
        host, to = self._source.listed.address, self._destination.listed.address
        return move_request(host, self._request_id, to, stops_run)

    def _send(
        self, request: HttpRequest, on_answer: Callable[[MoveAnswer | None], None]
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
                    reason=reason,
                )
            on_answer(answer)

        address = parse_address(self._source.listed.address)
        fetch(self._context.loop, address, request, REQUEST_TIMEOUT_S, on_response)

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
