"""Coalescing of many requests for an action into one delayed run."""

import pytest

from berylnotch.util.gathering import Gathering

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
def gathering():
    """A coalesced action, its loop, and the list of its runs."""
    loop, runs = Loop(), []
    return Gathering(loop, lambda: runs.append("run"), lambda: DELAY_S), loop, runs


def test_calls_during_one_delay_run_the_action_once(gathering):
    coalesced, loop, runs = gathering
    for _ in range(3):
        coalesced.soon()
    assert [timer.delay_s for timer in loop.timers] == [DELAY_S]
    loop.timers[0].run()
    assert runs == ["run"]


def test_a_call_after_the_action_starts_another_delay(gathering):
    coalesced, loop, runs = gathering
    for number in (0, 1):
        coalesced.soon()
        loop.timers[number].run()
    assert runs == ["run", "run"]


def test_an_action_performed_by_the_caller_is_not_repeated(gathering):
    coalesced, loop, runs = gathering
    coalesced.soon()
    coalesced.done()
    loop.timers[0].run()
    assert runs == []
    coalesced.soon()
    loop.timers[1].run()
    assert runs == ["run"]


def test_nothing_runs_after_close(gathering):
    coalesced, loop, runs = gathering
    coalesced.soon()
    coalesced.close()
    coalesced.soon()
    for timer in loop.timers:
        timer.run()
    assert len(loop.timers) == 1 and runs == []
