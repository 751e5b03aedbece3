"""Settings of the automatic membership changes of a controller group."""

from __future__ import annotations

from attrs import frozen


@frozen
class GroupSettings:
    """Intervals and limits of membership changes; all times are in seconds.

    Parameters
    ----------
    join_retry_s : float, default=0.3
        Interval between two requests to join of a controller outside the group.
    lost_contact_s : float, default=3.0
        Time without contact to a leader after which a member asks to join again, in
        case it was removed. It is about two election timeouts.
    candidate_s : float, default=1.5
        Age at which a request to join expires.
    remove_after_s : float, default=10.0
        Time without an answer after which a voter is removed, so that quorums are
        counted among the voters that are present. It is longer than a usual restart.
    replace_after_s : float, default=3.0
        The same limit if the group has a spare voter, because a new member has caught
        up to replace the unresponsive voter. It is also the limit for learners.
    min_voters : int, default=3
        Number of voters at or below which no unresponsive voter is removed.
    """

    join_retry_s: float = 0.3
    lost_contact_s: float = 3.0
    candidate_s: float = 1.5
    remove_after_s: float = 10.0
    replace_after_s: float = 3.0
    min_voters: int = 3
