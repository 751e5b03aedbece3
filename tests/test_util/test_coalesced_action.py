"""Coalescing of many requests for an action into one delayed run."""

import pytest

from berylnotch.util.coalesced_action import CoalescedAction

DELAY_S = 0.25


class Timer:
    """A timer that runs only when a test calls `run`."""

    def __init__(self, delay_s, call):
        self.delay_s = delay_s
        self._call = call

    def cancel(self):
        """Drop the call."""
        self._call = None

    def run(self):
        """Run the call unless it was cancelled."""
        if self._call is not None:
            self._call()


class Loop:
    """A loop that records the timers and runs none of them."""

    def __init__(self):
        self.timers = []

    def call_later(self, delay_s, call):
        """Record a delayed call."""
        self.timers.append(Timer(delay_s, call))
        return self.timers[-1]


@pytest.fixture
def coalesced_calls():
    """A coalesced action, its loop, and the list of its runs."""
    loop, runs = Loop(), []
    return (
        CoalescedAction(loop, lambda: runs.append("run"), lambda: DELAY_S),
        loop,
        runs,
    )


def test_calls_during_one_delay_run_the_action_once(coalesced_calls):
    coalesced, loop, runs = coalesced_calls
    for _ in range(3):
        coalesced.schedule()
    assert [timer.delay_s for timer in loop.timers] == [DELAY_S]
    loop.timers[0].run()
    assert runs == ["run"]


def test_a_call_after_the_action_starts_another_delay(coalesced_calls):
    coalesced, loop, runs = coalesced_calls
    for number in (0, 1):
        coalesced.schedule()
        loop.timers[number].run()
    assert runs == ["run", "run"]


def test_an_action_performed_by_the_caller_is_not_repeated(coalesced_calls):
    coalesced, loop, runs = coalesced_calls
    coalesced.schedule()
    coalesced.cancel()
    loop.timers[0].run()
    assert runs == []
    coalesced.schedule()
    loop.timers[1].run()
    assert runs == ["run"]


def test_nothing_runs_after_close(coalesced_calls):
    coalesced, loop, runs = coalesced_calls
    coalesced.schedule()
    coalesced.close()
    coalesced.schedule()
    for timer in loop.timers:
        timer.run()
    assert len(loop.timers) == 1 and runs == []
