"""How a run leaves its engine with its memory."""

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

#: Seconds for one call: many times what a copy takes on a sound link.
CALL_S = 1.0

#: Calls to stop a run before it is given up; the answer to one may be lost.
STOP_CALLS = 2

#: Seconds from the word that a run has stopped in which its last events arrive.
LAST_EVENTS_S = 0.1


@frozen
class MovedRun:
    """A run that was stopped, and by what it goes on.

    Parameters
    ----------
    source : Target
        Engine that ran it and keeps its memory.
    refuge : Target
        Engine that has a copy, or the source where there is none.
    handle : str
        What the copy is known by.
    """

    source: Target
    refuge: Target
    handle: str

    @property
    def origin(self) -> str:
        """What tells an engine where the memory of the run is."""
        return run_origin(self.source.listed.address, self.handle)


class RunMove:
    """The way of one run to another engine.

    The memory is copied while the run goes on; a copy that fails costs nothing. Then
    the run stops, and what was added meanwhile is copied too.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    request_id : str
        The request.
    source : Target
        Engine that runs it.
    refuge : Target
        Engine at which it shall go on.
    on_end : callable
        Gets the stopped run, or None if it was not stopped, and whether that is sure.
    """

    def __init__(
        self,
        context: EntryContext,
        request_id: str,
        source: Target,
        refuge: Target,
        on_end: Callable[[MovedRun | None, bool], None],
    ) -> None:
        self._context = context
        self._request_id = request_id
        self._source = source
        self._refuge = refuge
        self._on_end = on_end
        self._is_over = False
        self._handle = ""
        self._stop_calls = 0
        self._moved: MovedRun | None = None
        #: Judges the end of the stream, which came while this was under way.
        self._stream_end: Callable[[], None] | None = None

    @property
    def stream_end(self) -> Callable[[], None] | None:
        """What judges the end of the run's stream, if it has ended meanwhile."""
        return self._stream_end

    def start(self) -> None:
        """Copy the memory while the run goes on."""
        self._call(self._move_request(stops_run=False), self._copied)

    def hold(self, stream_end: Callable[[], None]) -> None:
        """Keep the end of the run's stream until it is known whether it stopped."""
        self._stream_end = stream_end
        if self._moved is not None:
            self._end(self._moved, is_sure=True)

    def cancel(self) -> None:
        """Give it up, since the request has ended; a copy is freed."""
        if not self._is_over:
            self._is_over = True
            self._free(self._moved.handle if self._moved else self._handle)

    def _copied(self, answer: MoveAnswer | None) -> None:
        if self._is_over:
            self._free(answer.handle if answer else "")
        elif answer is None or not answer.is_copied:
            self._end(None, is_sure=True, status=answer.status if answer else 0)
        else:
            self._handle = answer.handle
            self._stop()

    def _stop(self) -> None:
        self._stop_calls += 1
        self._call(self._move_request(stops_run=True), self._stopped)

    def _stopped(self, answer: MoveAnswer | None) -> None:
        if self._is_over:
            self._free(answer.handle if answer else "")
        elif answer is None:
            if self._stop_calls < STOP_CALLS:
                self._stop()
            else:
                self._end(None, is_sure=False)
        elif not answer.handle:
            self._end(None, is_sure=True, status=answer.status)
        else:
            refuge = self._refuge if answer.is_copied else self._source
            self._moved = MovedRun(self._source, refuge, answer.handle)
            if self._stream_end is not None:
                self._end(self._moved, is_sure=True)
            else:
                self._context.loop.call_later(
                    LAST_EVENTS_S, lambda: self._end(self._moved, is_sure=True)
                )

    def _end(self, moved: MovedRun | None, is_sure: bool, status: int = 200) -> None:
        if self._is_over:
            return
        self._is_over = True
        result = "unknown"
        if is_sure:
            result = "moved" if moved is not None else "stayed"
        self._context.metrics.count("berylnotch_moves_total", Label("result", result))
        self._context.log.info(
            "run_moved" if moved is not None else "run_not_moved",
            id=self._request_id,
            target=self._source.target_id,
            to=self._refuge.target_id,
            result=result,
            status=status,
            calls=self._stop_calls,
        )
        if moved is None:
            self._free(self._handle)
        self._on_end(moved, is_sure)

    def _move_request(self, stops_run: bool) -> HttpRequest:
        host, to = self._source.listed.address, self._refuge.listed.address
        return move_request(host, self._request_id, to, stops_run)

    def _call(
        self, request: HttpRequest, done: Callable[[MoveAnswer | None], None]
    ) -> None:
        def answered(response: HttpResponse | None, why: str) -> None:
            answer = None
            if response is not None:
                try:
                    answer = decode_move(response)
                except GatewayError as error:
                    why = str(error)
            if answer is None:
                self._context.log.warning(
                    "move_unanswered",
                    id=self._request_id,
                    target=self._source.target_id,
                    reason=why,
                )
            done(answer)

        address = parse_address(self._source.listed.address)
        fetch(self._context.loop, address, request, CALL_S, answered)

    def _free(self, handle: str) -> None:
        """Free a copy that nobody needs; otherwise it is kept for some seconds."""
        if handle:
            host = self._source.listed.address
            request = free_copy_request(host, handle)
            fetch(
                self._context.loop,
                parse_address(host),
                request,
                CALL_S,
                lambda response, why: None,
            )
