"""Calls of a loop that a signal handler queues in the loop's own thread."""

import os
import selectors
import signal
import socket
import subprocess
import sys
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


#: Program that prints in which order its loop handles input and a timer that was due
#: meanwhile. The parent suspends it before both and continues it after both.
SUSPENDED_PROGRAM = """
import selectors, socket, sys
from berylnotch.util.loop import Loop

loop, sock = Loop("test"), socket.socket(fileno=int(sys.argv[1]))

def on_input(_events):
    print("input", flush=True)
    loop.watch(sock, 0, on_input)

def on_timer():
    print("timer", flush=True)
    loop.call_later(0.1, loop.close)

loop.watch(sock, selectors.EVENT_READ, on_input)
loop.call_soon(lambda: print("ready", flush=True))
loop.call_later(0.5, on_timer)
loop.run()
"""


def order_after_suspension():
    """Return what a suspended process handles first: its input or a late timer."""
    ours, theirs = socket.socketpair()
    with (
        ours,
        theirs,
        subprocess.Popen(
            [sys.executable, "-c", SUSPENDED_PROGRAM, str(theirs.fileno())],
            pass_fds=[theirs.fileno()],
            stdout=subprocess.PIPE,
            text=True,
        ) as process,
    ):
        try:
            assert process.stdout.readline() == "ready\n"
            # The process should wait for its sockets when it is suspended.
            time.sleep(0.05)
            process.send_signal(signal.SIGSTOP)
            ours.send(b"input")
            time.sleep(0.7)
            process.send_signal(signal.SIGCONT)
            return process.stdout.read().split()
        finally:
            process.kill()


def test_a_suspended_process_sees_its_input_before_its_late_timers():
    # The wait for sockets returns nothing if it was interrupted by a suspension, so
    # time limits were checked before the answers that had come meanwhile were read.
    assert [order_after_suspension() for _ in range(3)] == [["input", "timer"]] * 3


def test_a_long_call_does_not_let_late_timers_come_before_other_input():
    # A call that took long, or waited for a processor, was followed by the timers that
    # were due meanwhile, before the sockets were looked at again.
    loop, order = Loop("test"), []
    ours, theirs = socket.socketpair()
    late, late_peer = socket.socketpair()

    def on_first(_events):
        loop.watch(theirs, 0, on_first)
        late_peer.send(b"input")
        time.sleep(0.2)

    def on_late(_events):
        loop.watch(late, 0, on_late)
        order.append("input")

    def on_timer():
        order.append("timer")
        loop.close()

    with ours, theirs, late, late_peer:
        loop.watch(theirs, selectors.EVENT_READ, on_first)
        loop.watch(late, selectors.EVENT_READ, on_late)
        loop.call_later(0.1, on_timer)
        loop.call_soon(lambda: ours.send(b"input"))
        loop.run()
    assert order == ["input", "timer"]
