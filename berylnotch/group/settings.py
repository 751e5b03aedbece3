"""Settings of a group of controllers that forms by itself."""

from __future__ import annotations

from attrs import frozen


@frozen
class GroupSettings:
    """When the leader changes the group; times in seconds.

    Parameters
    ----------
    join_retry_s : float, default=0.3
        Pause between two requests of a controller outside the group.
    lost_contact_s : float, default=3.0
        Time without a leader after which a member asks whether it still is one;
        about two election timeouts.
    candidate_s : float, default=1.5
        Age at which a request to join is forgotten.
    remove_after_s : float, default=10.0
        Silence after which a voter leaves the group, so that later failures are
        counted against those that are there. Longer than the usual restart.
    replace_after_s : float, default=3.0
        The same if a new member has caught up and takes its place.
    min_voters : int, default=3
        Voters below which no silent one is removed.
    """

    join_retry_s: float = 0.3
    lost_contact_s: float = 3.0
    candidate_s: float = 1.5
    remove_after_s: float = 10.0
    replace_after_s: float = 3.0
    min_voters: int = 3
