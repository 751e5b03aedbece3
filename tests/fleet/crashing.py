"""The users' bounds on requests whose prompt part crashes engines."""

from __future__ import annotations

from collections.abc import Sequence

#: Number of crashes after which the routers must know the part.
KNOWN_CRASHES = 5

#: Seconds from the last of these crashes after which requests with the part are
#: counted, and number of them that may still reach engines.
CONTACT_S, MAX_LATER_ARRIVALS = 3.0, 3

#: Fraction of the usual share of sound requests that must begin at their first attempt,
#: from twice ``CONTACT_S`` after the last of these crashes.
MIN_SOUND_FRACTION = 0.5


def arrivals_after_notice(
    crashes: Sequence[float], arrivals: Sequence[float]
) -> list[float]:
    """Return the arrivals that come too late to be excused, in order.

    Parameters
    ----------
    crashes : sequence of float
        Times of all crashes in order, in seconds.
    arrivals : sequence of float
        Times at which requests with the part arrived at engines, in seconds.
    """
    if len(crashes) < KNOWN_CRASHES:
        return []
    bound_from = crashes[KNOWN_CRASHES - 1] + CONTACT_S
    return sorted(time for time in arrivals if time > bound_from)
