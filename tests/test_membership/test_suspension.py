"""What a process concludes from a time in which it did not run.

The first test guards against a process that takes its whole time to stop from the end
of a suspension, and is killed under its callers' requests; the other one against a
process that takes its own silence for the silence of others.
"""

from berylnotch.membership.suspension import (
    AFTERMATH_S,
    DELIVERY_S,
    SuspensionWatch,
)


def test_a_signal_during_a_suspension_counts_from_its_begin():
    watch = SuspensionWatch(10.0)
    watch.tick(10.05)
    assert watch.earliest_sent_at(10.1) == 10.1
    # Timers run before the signal's handler, or after it.
    assert watch.earliest_sent_at(12.0) == 10.1
    assert watch.earliest_sent_at(12.0 + DELIVERY_S / 2) == 10.1
    watch.tick(12.05)
    later = 12.05 + DELIVERY_S
    assert watch.earliest_sent_at(later) == later


def test_a_signal_during_a_short_pause_counts_from_its_begin():
    """Otherwise a request sent later than the excuse allows is taken by an estimate."""
    watch = SuspensionWatch(10.0)
    watch.tick(10.05)
    assert watch.earliest_sent_at(10.3) == 10.05
    watch.tick(10.31)
    assert watch.earliest_sent_at(10.3 + DELIVERY_S / 2) == 10.05
    assert not watch.was_suspended(10.35)


def test_lost_contact_is_put_down_to_a_suspension_just_before():
    watch = SuspensionWatch(10.0)
    watch.tick(10.05)
    assert not watch.was_suspended(10.1)
    # Input is handled before the timer that notes the time.
    assert watch.was_suspended(12.0)
    watch.tick(12.05)
    ended_at = 12.0 + AFTERMATH_S
    for number in range(1, 20):
        watch.tick(12.05 + number * AFTERMATH_S / 20)
    assert not watch.was_suspended(ended_at)
