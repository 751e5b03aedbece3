"""A child process that says on its first line where it listens."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
from collections.abc import Sequence
from pathlib import Path

_PREFIX = "listening "
#: Seconds for a child to say where it listens.
START_LIMIT_S = 30.0
#: Seconds for a child to end after a signal.
STOP_LIMIT_S = 60.0


class ChildError(Exception):
    """A child process did not start or stop."""


class Child:
    """A Python module that runs as a process of its own.

    Parameters
    ----------
    arguments : sequence of str
        Module name and its arguments.
    log : Path
        File that gets the process's log.
    """

    def __init__(self, arguments: Sequence[str], log: Path) -> None:
        self._arguments = tuple(arguments)
        self._log_path = log
        self._process: subprocess.Popen[str] | None = None
        self._address = ""

    @property
    def address(self) -> str:
        """``IP:port`` that the process printed."""
        return self._address

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def log(self) -> str:
        """What the process logged so far."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    def start(self) -> None:
        """Start the process and wait for its first line."""
        with self._log_path.open("a", encoding="utf-8") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        timer = threading.Timer(START_LIMIT_S, self._process.kill)
        timer.start()
        line = self._process.stdout.readline()
        timer.cancel()
        if not line.startswith(_PREFIX):
            self.kill()
            raise ChildError(f"{self._arguments[0]} did not start: {self.log[-2000:]}")
        self._address = line.removeprefix(_PREFIX).strip()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """End the process with SIGKILL and wait for it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process.stdout.close()

    def stop(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Ask the process to end, wait, and return its exit code."""
        if self.is_running:
            self._process.terminate()
        return self.wait(limit_s)

    def wait(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Wait for the process to end and return its exit code."""
        try:
            code = self._process.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise ChildError(f"{self._arguments[0]} did not stop") from None
        self._process.stdout.close()
        return code
