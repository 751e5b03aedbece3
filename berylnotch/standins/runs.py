"""Runs of generation requests in a stand-in engine: slots, queue and pace."""

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
    whole_answer,
)
from berylnotch.standins.httpd import Connection, Loop, Timer, format_head

#: A stream waits while its caller has this much still to take, in bytes.
_CALLER_LIMIT_BYTES = 256 * 1024


@frozen
class RunSettings:
    """Pace of an engine.

    Attributes
    ----------
    interval_ms : float
        Time between tokens.
    first_ms : float
        Time to the first token of a wholly cached prompt.
    piece_ms : float
        Time that each uncached piece adds.
    slots : int
        Requests that run at once.
    """

    interval_ms: float = 36.0
    first_ms: float = 50.0
    piece_ms: float = 20.0
    slots: int = 16


@frozen
class Job:
    """One request that runs or waits."""

    generation: Generation
    connection: Connection
    headers: dict[str, str]
    faults: Faults
    priority: int
    after_event: int
    admit: Callable[[], int]


class Runs:
    """Runs at most ``slots`` jobs; the others wait by priority, lowest first."""

    def __init__(self, settings: RunSettings, loop: Loop) -> None:
        self._settings = settings
        self._loop = loop
        self._waiting: list[tuple[int, int, Job]] = []
        self._order = itertools.count()
        self._running: set[Run] = set()

    @property
    def waiting(self) -> int:
        """Jobs in the queue."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Jobs that run."""
        return len(self._running)

    def queue_wait_s(self, tokens: int) -> float:
        """Return the wait of a new job, if all have ``tokens`` tokens."""
        settings = self._settings
        run_s = (settings.first_ms + settings.interval_ms * tokens) / 1000
        return len(self._waiting) * run_s / settings.slots

    def submit(self, job: Job) -> None:
        """Run a job, or queue it until a slot is free."""
        job.connection.on_close = lambda: self._drop(job)
        heapq.heappush(self._waiting, (job.priority, next(self._order), job))
        self._fill()

    def release(self, run: Run) -> None:
        """Free the slot of a run that ended."""
        self._running.discard(run)
        self._fill()

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self._settings.slots:
            job = heapq.heappop(self._waiting)[2]
            run = Run(self._settings, self._loop, job, self.release)
            self._running.add(run)
            run.start()

    def _drop(self, job: Job) -> None:
        self._waiting = [entry for entry in self._waiting if entry[2] is not job]
        heapq.heapify(self._waiting)


class Run:
    """One job in a slot, from its first token to the end of its answer."""

    def __init__(
        self,
        settings: RunSettings,
        loop: Loop,
        job: Job,
        release: Callable[[Run], None],
    ) -> None:
        self._interval_s = settings.interval_ms / 1000
        self._loop = loop
        self._job = job
        self._release = release
        self._writer = EventWriter(job.generation)
        self._number = job.after_event
        self._sent = 0
        self._due = 0.0
        self._timer: Timer | None = None
        first_ms = settings.first_ms + settings.piece_ms * job.admit()
        self._first_s = (first_ms + job.faults.late_ms) / 1000

    def start(self) -> None:
        """Schedule the first token."""
        self._job.connection.on_close = self._end
        if self._job.faults.hang:
            return
        self._due = time.monotonic() + self._first_s
        if not self._job.generation.stream:
            self._due += self._interval_s * self._job.generation.tokens
        self._timer = self._loop.call_at(self._due, self._begin)

    def _begin(self) -> None:
        faults = self._job.faults
        connection = self._job.connection
        if faults.close_before_answer:
            connection.close()
        elif faults.empty:
            self._end()
            connection.respond(200, b"", self._job.headers)
        elif not self._job.generation.stream:
            self._end()
            connection.respond(
                200, whole_answer(self._job.generation), self._job.headers
            )
        else:
            fields = {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "transfer-encoding": "chunked",
                **self._job.headers,
            }
            connection.send(format_head(200, fields))
            self._next()

    def _next(self) -> None:
        if self._job.connection.pending > _CALLER_LIMIT_BYTES:
            self._schedule()
            return
        if self._strike():
            return
        self._number += 1
        if self._number > self._job.generation.events:
            self._finish()
            return
        self._write(self._number)
        self._schedule()

    def _strike(self) -> bool:
        faults = self._job.faults
        if faults.die_after_events and self._sent >= faults.die_after_events:
            self._job.connection.abort()
            return True
        if faults.close_after_events and self._sent >= faults.close_after_events:
            self._close_chunks()
            return True
        return False

    def _write(self, number: int) -> None:
        faults = self._job.faults
        self._sent += 1
        if number == faults.skip_event:
            return
        data = self._writer.event(number)
        if number == faults.repeat_event:
            data += data
        self._job.connection.send(b"%x\r\n%b\r\n" % (len(data), data))

    def _schedule(self) -> None:
        self._due += self._interval_s
        self._timer = self._loop.call_at(self._due, self._next)

    def _finish(self) -> None:
        data = self._writer.end()
        self._job.connection.send(b"%x\r\n%b\r\n" % (len(data), data))
        self._close_chunks()

    def _close_chunks(self) -> None:
        connection = self._job.connection
        self._end()
        connection.send(b"0\r\n\r\n")
        connection.finish()

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._release(self)
