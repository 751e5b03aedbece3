"""Signals that stop a process of ``berylnotchd``."""

import itertools
import signal
import subprocess
import sys
from types import SimpleNamespace

from berylnotch.cmd import daemon

STOP_COUNT = 600
#: Seconds for which a process may take all its stops, far more than it needs.
STOPS_TIMEOUT_S = 30.0


class SignalledController:
    """Controller that gets a signal some microseconds after its start."""

    address = "127.0.0.1:1"
    _delays_us = itertools.cycle(range(1, 80))

    def __init__(self, _settings, _on_failure):
        pass

    def start(self):
        signal.setitimer(signal.ITIMER_REAL, next(self._delays_us) / 1e6)

    def close(self):
        pass


def stop_many_times():
    """Start and stop a controller, each time with the signal at another moment."""
    # A timer is the only source of signals that is exact enough.
    daemon.STOP_SIGNALS = (signal.SIGALRM,)
    daemon.Controller = SignalledController
    daemon.read_controller = lambda _path: SimpleNamespace(name="c1")
    for _ in range(STOP_COUNT):
        assert daemon.main(["controller", "--settings", "c1.ini"]) == 0


def test_signal_that_interrupts_the_wait_for_it_does_not_deadlock():
    code = f"from {__name__} import stop_many_times; stop_many_times()"
    done = subprocess.run(
        [sys.executable, "-c", code],
        timeout=STOPS_TIMEOUT_S,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr[-2000:]
    assert done.stderr.count("event=stop_asked signal=SIGALRM") == STOP_COUNT
