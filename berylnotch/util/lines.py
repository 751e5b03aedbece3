"""Event log of key=value lines, with a bounded buffer and non-blocking writes."""

from __future__ import annotations

import errno
import os
import stat
import sys
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from datetime import UTC, datetime

#: Bytes that may be buffered for a slow reader of the log; further lines are dropped.
MAX_BUFFER_BYTES = 256 * 1024

#: Seconds for which lines are buffered before they are written.
FLUSH_INTERVAL_S = 0.1

#: Seconds for which a process that exits waits until its last lines are written. It is
#: half of the time between the close of a stopping router's connections and its kill.
CLOSE_TIMEOUT_S = 0.1

#: Maximum number of INFO lines with the same event name that are written per second
#: without sampling. Of further lines in that second, one in `SAMPLE_INTERVAL` is
#: written. Warnings and errors are never sampled.
MAX_LINES_PER_S = 100

#: Above `MAX_LINES_PER_S`, one line in this many is written.
SAMPLE_INTERVAL = 20


#: Errors of a write to a file whose disk is full for now.
_NO_ROOM = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))


class EventLog:
    """Writes one line for each event to a file descriptor.

    A line holds the time, the level, the process, the event and its fields. Lines stay
    in the buffer while the reader or the disk is slow or the disk is full. Lines that
    do not fit into it are dropped and counted, and the count is logged once it has room
    again.

    Writes to a file block while its disk is busy, also in non-blocking mode, so a
    thread does them.

    Parameters
    ----------
    process : str
        Kind and name of the process, such as ``router/entry-1``.
    descriptor : int, default=1
        File descriptor to write to; it is made non-blocking.
    wall_time : callable, default=time.time
        Returns the Unix time in seconds.
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
        self._buffer = bytearray()
        self._dropped_lines = 0
        self._sampled_out_lines = 0
        self._counted_second = 0
        self._counts_by_event: dict[str, int] = {}
        is_file = stat.S_ISREG(os.fstat(descriptor).st_mode)
        self._executor = ThreadPoolExecutor(1, "log") if is_file else None
        #: Write to the file that was begun, and whose result was not applied yet.
        self._pending_write: Future[int] | None = None
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of dropped lines since a count was last logged."""
        return self._dropped_lines

    def info(self, event: str, **fields: object) -> None:
        """Write a line about normal operation; frequent events are sampled."""
        if self._is_sampled_out(event):
            self._sampled_out_lines += 1
            return
        self._append_line("INFO", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Write a line about a failure or refusal; it is never sampled."""
        self._append_line("WARNING", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Write a line about an error of the process itself; it is never sampled."""
        self._append_line("ERROR", event, fields)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking.

        The buffer is written to a file by a thread. Until it has written, further calls
        do nothing.
        """
        if self._pending_write is not None:
            if not self._pending_write.done():
                return
            self._apply_write(self._pending_write.result)
            self._pending_write = None
        self._report_losses()
        if self._executor is None:
            while self._buffer and self._apply_write(self._write):
                pass
        elif self._buffer:
            data = bytes(self._buffer)
            self._pending_write = self._executor.submit(
                os.write, self._descriptor, data
            )

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Write the buffer, and wait for a file's disk no longer than a time."""
        # The first write may have begun before the newest lines.
        for _ in range(2):
            self.flush()
            if self._pending_write is not None:
                wait([self._pending_write], timeout_s / 2)

    def _write(self) -> int:
        return os.write(self._descriptor, self._buffer[:65536])

    def _apply_write(self, write: Callable[[], int]) -> bool:
        """Remove what a write wrote from the buffer; return whether more may follow."""
        try:
            written_bytes = write()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno not in _NO_ROOM:
                # The reader is gone, for instance a closed pipe; the process continues
                # without its log.
                self._buffer.clear()
            return False
        del self._buffer[:written_bytes]
        return True

    def _is_sampled_out(self, event: str) -> bool:
        second = int(self._wall_time())
        if second != self._counted_second:
            self._counted_second = second
            self._counts_by_event.clear()
        count = self._counts_by_event.get(event, 0) + 1
        self._counts_by_event[event] = count
        return count > MAX_LINES_PER_S and count % SAMPLE_INTERVAL != 0

    def _report_losses(self) -> None:
        if self._dropped_lines and len(self._buffer) < MAX_BUFFER_BYTES // 2:
            dropped, self._dropped_lines = self._dropped_lines, 0
            self._append_line("WARNING", "log_lines_dropped", {"lines": dropped})
        if self._sampled_out_lines:
            sampled_out, self._sampled_out_lines = self._sampled_out_lines, 0
            self._append_line("INFO", "log_lines_sampled", {"left_out": sampled_out})

    def _append_line(self, level: str, event: str, fields: dict[str, object]) -> None:
        if len(self._buffer) >= MAX_BUFFER_BYTES:
            self._dropped_lines += 1
            return
        now = datetime.fromtimestamp(self._wall_time(), UTC)
        field_text = "".join(
            f" {name}={_format_value(value)}" for name, value in fields.items()
        )
        line = (
            f"time={now:%Y-%m-%dT%H:%M:%S}.{now.microsecond // 1000:03d}Z "
            f"level={level} process={self._process} event={event}{field_text}\n"
        )
        self._buffer += line.encode("utf-8", errors="replace")


def _format_value(value: object) -> str:
    """Format a value as one word or as a quoted string without line breaks."""
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


def make_loop_error_handler(log: EventLog) -> Callable[[Exception], None]:
    """Return a handler that logs the errors raised by an event loop's calls."""

    def on_error(error: Exception) -> None:
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        location = ""
        if trace is not None:
            code = trace.tb_frame.f_code
            location = f"{os.path.basename(code.co_filename)}:{trace.tb_lineno}"
        log.error("call_failed", error=repr(error), where=location)

    return on_error


def open_event_log(process: str) -> EventLog:
    """Open the event log of a process on standard output."""
    sys.stdout.flush()
    return EventLog(process, sys.stdout.fileno())
