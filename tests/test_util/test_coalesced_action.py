"""One action for many calls."""

import pytest

from berylnotch.util.coalesced_action import CoalescedAction

PAUSE_S = 0.25


class Timer:
    """A timer that only a test runs."""

    def __init__(self, delay_s, call):
        self.delay_s = delay_s
        self._call = call

    def cancel(self):
        """Forget the call."""
        self._call = None

    def run(self):
        """Make the call unless it was cancelled."""
        if self._call is not None:
            self._call()


class Loop:
    """A loop that keeps its timers."""

    def __init__(self):
        self.timers = []

    def call_later(self, delay_s, call):
        """Keep a call."""
        self.timers.append(Timer(delay_s, call))
        return self.timers[-1]


@pytest.fixture
def coalesced():
    """A coalesced action, its loop, and the list that its action extends."""
    loop, runs = Loop(), []
    return (
        CoalescedAction(loop, lambda: runs.append("run"), lambda: PAUSE_S),
        loop,
        runs,
    )


def test_calls_of_one_pause_run_the_action_once(coalesced):
    calls, loop, runs = coalesced
    for _ in range(3):
        calls.schedule()
    assert [timer.delay_s for timer in loop.timers] == [PAUSE_S]
    loop.timers[0].run()
    assert runs == ["run"]


def test_a_call_after_the_action_starts_another_pause(coalesced):
    calls, loop, runs = coalesced
    for number in (0, 1):
        calls.schedule()
        loop.timers[number].run()
    assert runs == ["run", "run"]


def test_an_action_that_was_done_otherwise_is_not_repeated(coalesced):
    calls, loop, runs = coalesced
    calls.schedule()
    calls.cancel()
    loop.timers[0].run()
    assert runs == []
    calls.schedule()
    loop.timers[1].run()
    assert runs == ["run"]


def test_nothing_runs_after_the_end(coalesced):
    calls, loop, runs = coalesced
    calls.schedule()
    calls.close()
    calls.schedule()
    for timer in loop.timers:
        timer.run()
    assert len(loop.timers) == 1 and runs == []
