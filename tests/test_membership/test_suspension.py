"""Time from which a stop counts after the process was suspended.

The test guards against a process that takes its whole time to stop from the end of a
suspension, and is killed under its callers' requests.
"""

from berylnotch.membership.suspension import DELIVERY_S, SuspensionWatch


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
