"""Calls of a loop that a signal handler queues in the loop's own thread."""

import os
import signal
import threading
import time

import pytest

from berylnotch.util.loop import Loop


@pytest.fixture
def user_signal():
    """Return a function that installs a handler of SIGUSR1 for the test."""
    previous = signal.getsignal(signal.SIGUSR1)
    yield lambda handler: signal.signal(signal.SIGUSR1, handler)
    signal.signal(signal.SIGUSR1, previous)


def delay_of_call_from_signal(install):
    """Return the seconds from a signal in the middle of a wait to its queued call."""
    loop = Loop("test")
    times = {}

    def on_call():
        times["called"] = time.monotonic()
        loop.close()

    def send_signal():
        times["sent"] = time.monotonic()
        os.kill(os.getpid(), signal.SIGUSR1)

    install(lambda _number, _frame: loop.call_from_signal(on_call))
    timer = threading.Timer(0.05, send_signal)
    timer.start()
    loop.run()
    timer.join()
    return times["called"] - times["sent"]


def test_call_from_a_signal_handler_does_not_wait_for_the_selector(user_signal):
    # The selector resumes its wait of up to 0.2 s after the handler has run. The least
    # of several delays is compared, since a busy machine lengthens single ones.
    assert min(delay_of_call_from_signal(user_signal) for _ in range(5)) < 0.05


def test_call_from_a_signal_before_the_loop_runs_is_kept(user_signal):
    loop, calls = Loop("test"), []

    def on_call():
        calls.append(1)
        loop.close()

    user_signal(lambda _number, _frame: loop.call_from_signal(on_call))
    os.kill(os.getpid(), signal.SIGUSR1)
    loop.run()
    assert calls == [1]
