"""Child process that prints its listen address on its first output line."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
from collections.abc import Sequence
from pathlib import Path

_ADDRESS_PREFIX = "listening "
#: Time within which a child has to print its listen address, in seconds.
START_TIMEOUT_S = 30.0
#: Time within which a child has to exit after a signal, in seconds.
STOP_TIMEOUT_S = 60.0


class ChildError(Exception):
    """A child process did not start or stop in time."""


class Child:
    """Python module that runs in a child process.

    Parameters
    ----------
    arguments : sequence of str
        Module name and its arguments.
    log : Path
        File that the standard error of the process is appended to.
    """

    def __init__(self, arguments: Sequence[str], log: Path) -> None:
        self._arguments = tuple(arguments)
        self._log_path = log
        self._process: subprocess.Popen[str] | None = None
        self._address = ""

    @property
    def address(self) -> str:
        """Listen address, ``IP:port``, that the process printed."""
        return self._address

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    @property
    def log(self) -> str:
        """Content of the log file."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    def start(self) -> None:
        """Start the process and wait until it prints its listen address.

        Raises
        ------
        ChildError
            If the process exits or `START_TIMEOUT_S` passes first.
        """
        with self._log_path.open("a", encoding="utf-8") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        timer = threading.Timer(START_TIMEOUT_S, self._process.kill)
        timer.start()
        first_line = self._process.stdout.readline()
        timer.cancel()
        if not first_line.startswith(_ADDRESS_PREFIX):
            self.kill()
            raise ChildError(f"{self._arguments[0]} did not start: {self.log[-2000:]}")
        self._address = first_line.removeprefix(_ADDRESS_PREFIX).strip()

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process."""
        os.kill(self.pid, signal_number)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP and wait until all its threads stand still.

        On a busy machine they run on for tens of milliseconds after the signal.
        """
        self.signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WNOWAIT)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process.stdout.close()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, wait for the exit, and return the exit code."""
        if self.is_running:
            self._process.terminate()
        return self.wait(timeout_s)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to exit and return its exit code.

        Raises
        ------
        ChildError
            If the process does not exit within ``timeout_s``; it is killed then.
        """
        try:
            exit_code = self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise ChildError(f"{self._arguments[0]} did not stop") from None
        self._process.stdout.close()
        return exit_code
