"""Format, sampling and memory bound of the event log.

A slow or missing reader of the log, or a slow disk, must neither block the process nor
let the buffer grow without limit.
"""

import errno
import os
import threading
import time

import pytest

from berylnotch.util.lines import (
    MAX_BUFFER_BYTES,
    MAX_LINES_PER_S,
    SAMPLE_INTERVAL,
    EventLog,
)


def read_available(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while piece := os.read(descriptor, 1 << 20):
            data += piece
    except BlockingIOError:
        pass
    return data.decode()


def drain_log(log, reader):
    """Flush and read alternately until no more data arrives."""
    text = ""
    while True:
        log.flush()
        piece = read_available(reader)
        if not piece:
            return text
        text += piece


def write_all(log):
    """Flush until the thread that writes to a file has written all lines."""
    deadline = time.monotonic() + 10
    while log._buffer or log.dropped:
        assert time.monotonic() < deadline, "the log is not written"
        log.flush()
        time.sleep(0.001)


#: Seconds for which the first write to a slow disk blocks at most.
SLOW_WRITE_S = 6.0


class SlowDisk:
    """Writes to files that block until the disk is released."""

    def __init__(self, monkeypatch):
        self._write = os.write
        self._is_released = threading.Event()
        monkeypatch.setattr(os, "write", self._write_late)

    def release(self):
        self._is_released.set()

    def _write_late(self, descriptor, data):
        self._is_released.wait(timeout=SLOW_WRITE_S)
        self.release()
        return self._write(descriptor, data)


@pytest.fixture
def slow_disk(monkeypatch):
    disk = SlowDisk(monkeypatch)
    yield disk
    disk.release()


def open_log_file(path):
    return EventLog("router/r-1", os.open(path, os.O_WRONLY | os.O_CREAT))


def make_log(now=1000.0):
    reader, writer = os.pipe()
    return EventLog("router/r-1", writer, lambda: now), reader


def test_a_line_has_time_level_process_event_and_fields():
    log, reader = make_log()
    log.warning("refused", id="a-1", reason='no "room" here', took_s=0.25)
    log.flush()
    assert read_available(reader) == (
        "time=1970-01-01T00:16:40.000Z level=WARNING process=router/r-1 "
        'event=refused id=a-1 reason="no \\"room\\" here" took_s=0.250\n'
    )


def test_line_breaks_in_values_stay_on_the_line():
    log, reader = make_log()
    log.error("odd", text="a\nevent=forged\r")
    log.flush()
    assert read_available(reader).count("\n") == 1


def test_a_blocked_reader_drops_lines_and_bounds_time_and_memory():
    log, reader = make_log()
    started = time.monotonic()
    for number in range(20_000):
        log.warning("failed", id=number, reason="x" * 100)
        if number % 100 == 0:
            log.flush()
    assert time.monotonic() - started < 5
    assert len(log._buffer) <= MAX_BUFFER_BYTES + 1000
    dropped_lines = log.dropped
    assert dropped_lines > 10_000
    assert f"event=log_lines_dropped lines={dropped_lines}" in drain_log(log, reader)


def test_frequent_info_lines_are_sampled_and_warnings_are_not():
    log, reader = make_log()
    for number in range(1000):
        log.info("served", id=number)
        log.warning("failed", id=number)
    text = drain_log(log, reader)
    served = MAX_LINES_PER_S + (1000 - MAX_LINES_PER_S) // SAMPLE_INTERVAL
    assert text.count("event=served") == served
    assert text.count("event=failed") == 1000
    assert f"left_out={1000 - served}" in text


def test_a_closed_reader_raises_no_error():
    log, reader = make_log()
    os.close(reader)
    log.info("stopped")
    log.flush()
    log.info("again")
    log.flush()


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EDQUOT, errno.EFBIG])
def test_lines_are_kept_while_the_disk_of_the_log_is_full(monkeypatch, tmp_path, code):
    """Otherwise no line would tell that the disk was full."""
    path = tmp_path / "log"
    log = EventLog("controller/c-1", os.open(path, os.O_WRONLY | os.O_CREAT))
    write, room_bytes = os.write, 30

    def write_to_full_disk(descriptor, data):
        nonlocal room_bytes
        if not room_bytes:
            raise OSError(code, os.strerror(code))
        written_bytes = write(descriptor, data[:room_bytes])
        room_bytes -= written_bytes
        return written_bytes

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", write_to_full_disk)
        for number in range(10_000):
            log.error("disk_failed", attempt=number, reason="x" * 50)
            log.flush()
    assert len(log._buffer) <= MAX_BUFFER_BYTES + 1000
    dropped_lines = log.dropped
    write_all(log)
    lines = path.read_text().splitlines()
    assert all(line.startswith("time=") for line in lines)
    assert len(lines) == 10_000 - dropped_lines + 1
    assert f"lines={dropped_lines}" in lines[-1]


def test_a_slow_disk_does_not_block_the_process(slow_disk, tmp_path):
    """Otherwise a router answers no caller while its log's disk is busy.

    Writes to a file block in non-blocking mode too. Lines that come meanwhile follow.
    """
    log = open_log_file(tmp_path / "log")
    started = time.monotonic()
    for number in range(20_000):
        log.warning("failed", id=number, reason="x" * 100)
        if number % 100 == 0:
            log.flush()
    assert time.monotonic() - started < 5
    assert len(log._buffer) <= MAX_BUFFER_BYTES + 1000
    dropped_lines = log.dropped
    slow_disk.release()
    write_all(log)
    lines = (tmp_path / "log").read_text().splitlines()
    assert len(lines) == 20_000 - dropped_lines + 1
    ids = [int(line.partition(" id=")[2].split()[0]) for line in lines[:-1]]
    assert ids == sorted(set(ids))
    assert f"lines={dropped_lines}" in lines[-1]


def test_a_slow_disk_delays_the_exit_no_longer_than_the_time_out(slow_disk, tmp_path):
    """Otherwise a router whose callers all have their answers exits after its kill."""
    log = open_log_file(tmp_path / "log")
    log.info("stopped")
    started = time.monotonic()
    log.close(timeout_s=0.2)
    assert time.monotonic() - started < 2


def test_the_last_lines_are_written_before_the_exit(tmp_path):
    log = open_log_file(tmp_path / "log")
    log.info("drained")
    log.flush()
    log.info("stopped")
    log.close(timeout_s=20.0)
    events = [line.split()[3] for line in (tmp_path / "log").read_text().splitlines()]
    assert events == ["event=drained", "event=stopped"]
