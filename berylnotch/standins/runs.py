"""Queue, slots and token timing of the generation requests in a stand-in engine."""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable

from attrs import frozen

from berylnotch.standins.faults import Faults
from berylnotch.standins.generation import (
    EventWriter,
    Generation,
    complete_response,
)
from berylnotch.standins.httpd import Connection, Loop, Timer, format_head

#: Amount of unsent data above which a stream pauses (backpressure), in bytes.
_MAX_UNSENT_BYTES = 256 * 1024


@frozen
class RunSettings:
    """Token timing and batch size of an engine.

    Attributes
    ----------
    token_interval_ms : float
        Time between tokens, in milliseconds.
    first_token_ms : float
        Time to first token of a fully cached prompt, in milliseconds.
    uncached_block_ms : float
        Time that each uncached block adds to the time to first token, in
        milliseconds.
    slots : int
        Maximum number of requests that run concurrently.
    """

    token_interval_ms: float = 36.0
    first_token_ms: float = 50.0
    uncached_block_ms: float = 20.0
    slots: int = 16


@frozen
class Job:
    """Request that is running or queued.

    ``after_event`` is the number of the event after which a resumed response continues,
    or 0. ``cache_prompt`` caches the prompt and returns the number of uncached blocks.
    """

    generation: Generation
    connection: Connection
    headers: dict[str, str]
    faults: Faults
    priority: int
    after_event: int
    cache_prompt: Callable[[], int]


class RunQueue:
    """Priority queue of jobs, of which at most ``slots`` run.

    Jobs with the lowest priority number start first.
    """

    def __init__(self, settings: RunSettings, loop: Loop) -> None:
        self._settings = settings
        self._loop = loop
        self._waiting: list[tuple[int, int, Job]] = []
        self._job_numbers = itertools.count()
        self._running: set[Run] = set()

    @property
    def waiting_count(self) -> int:
        """Number of queued jobs."""
        return len(self._waiting)

    @property
    def running_count(self) -> int:
        """Number of running jobs."""
        return len(self._running)

    def queue_wait_s(self, tokens: int) -> float:
        """Return the estimated queue time of a new job, in seconds.

        The estimate assumes fully cached prompts and ``tokens`` tokens in each
        response.
        """
        settings = self._settings
        run_s = (settings.first_token_ms + settings.token_interval_ms * tokens) / 1000
        return len(self._waiting) * run_s / settings.slots

    def submit(self, job: Job) -> None:
        """Start a job, or queue it until a slot is free."""
        job.connection.on_close = lambda: self._remove_waiting(job)
        heapq.heappush(self._waiting, (job.priority, next(self._job_numbers), job))
        self._start_waiting()

    def release(self, run: Run) -> None:
        """Free the slot of a finished run and start the next job."""
        self._running.discard(run)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self._settings.slots:
            job = heapq.heappop(self._waiting)[2]
            run = Run(self._settings, self._loop, job, self.release)
            self._running.add(run)
            run.start()

    def _remove_waiting(self, job: Job) -> None:
        self._waiting = [item for item in self._waiting if item[2] is not job]
        heapq.heapify(self._waiting)


class Run:
    """Job that occupies a slot until its response ends or its connection closes."""

    def __init__(
        self,
        settings: RunSettings,
        loop: Loop,
        job: Job,
        on_end: Callable[[Run], None],
    ) -> None:
        self._interval_s = settings.token_interval_ms / 1000
        self._loop = loop
        self._job = job
        self._on_end = on_end
        self._writer = EventWriter(job.generation)
        self._event_number = job.after_event
        self._sent_events = 0
        self._due_at = 0.0
        self._timer: Timer | None = None
        first_token_ms = (
            settings.first_token_ms + settings.uncached_block_ms * job.cache_prompt()
        )
        self._first_token_s = (first_token_ms + job.faults.late_ms) / 1000

    def start(self) -> None:
        """Schedule the start of the response."""
        self._job.connection.on_close = self._release_slot
        if self._job.faults.hang:
            return
        self._due_at = time.monotonic() + self._first_token_s
        if not self._job.generation.stream:
            self._due_at += self._interval_s * self._job.generation.tokens
        self._timer = self._loop.call_at(self._due_at, self._start_response)

    def _start_response(self) -> None:
        faults = self._job.faults
        connection = self._job.connection
        if faults.close_before_answer:
            connection.close()
        elif faults.empty:
            self._release_slot()
            connection.respond(200, b"", self._job.headers)
        elif not self._job.generation.stream:
            self._release_slot()
            connection.respond(
                200, complete_response(self._job.generation), self._job.headers
            )
        else:
            header_fields = {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "transfer-encoding": "chunked",
                **self._job.headers,
            }
            connection.send(format_head(200, header_fields))
            self._send_next_event()

    def _send_next_event(self) -> None:
        if self._job.connection.unsent_bytes > _MAX_UNSENT_BYTES:
            self._schedule_next_event()
            return
        if self._end_by_fault():
            return
        self._event_number += 1
        if self._event_number > self._job.generation.events:
            self._finish_stream()
            return
        self._send_event(self._event_number)
        self._schedule_next_event()

    def _end_by_fault(self) -> bool:
        faults = self._job.faults
        if faults.die_after_events and self._sent_events >= faults.die_after_events:
            self._job.connection.abort()
            return True
        if faults.close_after_events and self._sent_events >= faults.close_after_events:
            self._end_chunked_body()
            return True
        return False

    def _send_event(self, number: int) -> None:
        faults = self._job.faults
        self._sent_events += 1
        if number == faults.skip_event:
            return
        data = self._writer.event(number)
        if number == faults.repeat_event:
            data += data
        self._job.connection.send(b"%x\r\n%b\r\n" % (len(data), data))

    def _schedule_next_event(self) -> None:
        self._due_at += self._interval_s
        self._timer = self._loop.call_at(self._due_at, self._send_next_event)

    def _finish_stream(self) -> None:
        data = self._writer.end()
        self._job.connection.send(b"%x\r\n%b\r\n" % (len(data), data))
        self._end_chunked_body()

    def _end_chunked_body(self) -> None:
        connection = self._job.connection
        self._release_slot()
        connection.send(b"0\r\n\r\n")
        connection.finish_response()

    def _release_slot(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._on_end(self)
