"""Bounded log of key=value lines that never blocks its process."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime

#: Bytes that may wait for a slow reader of the log; more lines are dropped.
MAX_WAITING_BYTES = 256 * 1024

#: Seconds for which lines are gathered before they are written.
FLUSH_S = 0.1

#: Lines of one event a second before only one in `SAMPLE` is written; failures
#: are always written.
MAX_LINES_PER_S = 100

#: Share of the lines above `MAX_LINES_PER_S` that is written: one in so many.
SAMPLE = 20


class EventLog:
    """Writes one line for each event to a descriptor.

    A line has the time, the level, the process, the event and its fields. Lines
    that find no room are counted, and the count is written once there is room.

    Parameters
    ----------
    process : str
        Kind and name of the process, such as ``router/entry-1``.
    descriptor : int, default=1
        Where to write; it is made non-blocking.
    wall_time : callable, default=time.time
        Returns Unix seconds.
    """

    def __init__(
        self,
        process: str,
        descriptor: int = 1,
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        self._process = process
        self._descriptor = descriptor
        self._wall_time = wall_time
        self._waiting = bytearray()
        self._dropped = 0
        self._sampled = 0
        self._second = 0
        self._counts: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines for which there was no room since the last note of it."""
        return self._dropped

    def info(self, event: str, **fields: object) -> None:
        """Write a line about what went as it should; busy events are sampled."""
        if self._is_sampled_out(event):
            self._sampled += 1
            return
        self._add("INFO", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Write a line about a failure or refusal."""
        self._add("WARNING", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Write a line about an error of the process itself."""
        self._add("ERROR", event, fields)

    def flush(self) -> None:
        """Write what the descriptor takes without blocking."""
        self._note_losses()
        try:
            while self._waiting:
                written = os.write(self._descriptor, self._waiting[:65536])
                del self._waiting[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; the process goes on without it.
            self._waiting.clear()

    def _is_sampled_out(self, event: str) -> bool:
        second = int(self._wall_time())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        return count > MAX_LINES_PER_S and count % SAMPLE != 0

    def _note_losses(self) -> None:
        if self._dropped and len(self._waiting) < MAX_WAITING_BYTES // 2:
            dropped, self._dropped = self._dropped, 0
            self._add("WARNING", "log_lines_dropped", {"lines": dropped})
        if self._sampled:
            sampled, self._sampled = self._sampled, 0
            self._add("INFO", "log_lines_sampled", {"left_out": sampled})

    def _add(self, level: str, event: str, fields: dict[str, object]) -> None:
        if len(self._waiting) >= MAX_WAITING_BYTES:
            self._dropped += 1
            return
        now = datetime.fromtimestamp(self._wall_time(), UTC)
        pairs = "".join(f" {name}={_value(value)}" for name, value in fields.items())
        line = (
            f"time={now:%Y-%m-%dT%H:%M:%S}.{now.microsecond // 1000:03d}Z "
            f"level={level} process={self._process} event={event}{pairs}\n"
        )
        self._waiting += line.encode("utf-8", errors="replace")


def _value(value: object) -> str:
    """Return a value as one word or a quoted text on one line."""
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if text and not any(char in text for char in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


def log_loop_errors(log: EventLog) -> Callable[[Exception], None]:
    """Return a handler of errors that calls of an event loop raise."""

    def on_error(error: Exception) -> None:
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        where = ""
        if trace is not None:
            code = trace.tb_frame.f_code
            where = f"{os.path.basename(code.co_filename)}:{trace.tb_lineno}"
        log.error("call_failed", error=repr(error), where=where)

    return on_error


def set_up(process: str) -> EventLog:
    """Return the log of a process on standard output."""
    sys.stdout.flush()
    return EventLog(process, sys.stdout.fileno())
