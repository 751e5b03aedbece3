"""State of service rollouts, as it is replicated and reported to operators."""

from __future__ import annotations

import math
from enum import Enum

from attrs import frozen

#: Number of buckets of a histogram, and steps of its boundaries for each doubling.
HISTOGRAM_BUCKETS, STEPS_PER_DOUBLING = 22, 2

#: Upper boundary of the first bucket for a time relative to the expected time, and for
#: the time of an event in ms. The last bucket begins at 1,024 times this value.
FIRST_EVENT_LOWEST, PACE_LOWEST_MS = 1 / 32, 1.0

#: Target identities of the rows of a route that sum several engines: those of all other
#: versions, and those of the candidate that a router does not report singly.
OTHER_VERSIONS, REMAINING_ENGINES = "", "*"


class RolloutPhase(Enum):
    """Phase of a service rollout; phases only move forward."""

    #: A share of the requests goes to the candidate version.
    OBSERVING = "observing"
    #: Every new request goes to the candidate version.
    SHIFTING = "shifting"
    #: The candidate version is the only one in use.
    COMPLETED = "completed"
    #: The candidate version gets no request any more.
    ROLLED_BACK = "rolled-back"

    @property
    def is_active(self) -> bool:
        """Whether the rollout has not ended."""
        return self in (RolloutPhase.OBSERVING, RolloutPhase.SHIFTING)


@frozen
class ServiceRollout:
    """Rollout of a service to another software version.

    Parameters
    ----------
    service : str
        Service that is rolled out.
    version : str
        Candidate software version.
    number : int
        Number of the rollout; it grows with each new rollout of the group.
    duration_s : float
        Time in seconds within which the rollout has to end.
    started_ms : int
        Unix time in ms at which the leader took the order.
    phase : RolloutPhase
        Current phase.
    reason : str
        Why the rollout is in its phase, for the log.
    refused : tuple of str
        Versions that earlier rollouts of the service rolled back. They get no requests
        while their engines are still listed.
    earlier_orders : tuple of (str, int)
        Versions of the service's rollouts that were ordered shortly before this one,
        and the Unix times in ms of their orders. Operators may still repeat them.
    """

    service: str
    version: str
    number: int
    duration_s: float
    started_ms: int
    phase: RolloutPhase = RolloutPhase.OBSERVING
    reason: str = ""
    refused: tuple[str, ...] = ()
    earlier_orders: tuple[tuple[str, int], ...] = ()


@frozen
class RolloutPolicy:
    """What routers do with the requests of a service that is rolled out.

    Parameters
    ----------
    service : str
        Service that is rolled out.
    version : str
        Candidate software version.
    number : int
        Number of the rollout.
    phase : RolloutPhase
        Phase to apply.
    share : float
        Share of the service's requests that go to the candidate while observing; 1
        while shifting. With 0 nothing is sent there, because a rollback is decided.
    engines : int
        Number of the candidate's engines that get requests while observing.
    started_ms : int
        Unix time in ms at which the leader took the order. Engines that started later
        were not replaced by the rollout.
    is_closing : bool
        While shifting, whether engines of other versions get no requests any more, also
        none that would go on there, because the rollout is about to be completed.
    is_stopped : bool
        Whether the rollback is decided; it may not be committed yet.
    is_step : bool
        Whether the leader that sends the policy has raised the share.
    """

    service: str
    version: str
    number: int
    phase: RolloutPhase
    share: float = 0.0
    engines: int = 0
    started_ms: int = 0
    is_closing: bool = False
    is_stopped: bool = False
    is_step: bool = False


@frozen
class RolloutRow:
    """Responses that one router got from engines of a service on one route.

    Parameters
    ----------
    route : str
        Name of the route.
    target_id : str
        Candidate engine, or `OTHER_VERSIONS` or `REMAINING_ENGINES`.
    answers : int
        Number of responses, failures included.
    failures : int
        Number of failed responses.
    first_event : tuple of int
        Histogram of the time to the first event over the expected time; for a plain
        service, of the time of the response over the route's target latency.
    pace : tuple of int
        Histogram of the time of each event of a stream after the first, in ms.
    """

    route: str
    target_id: str
    answers: int
    failures: int
    first_event: tuple[int, ...] = ()
    pace: tuple[int, ...] = ()


@frozen
class RolloutReport:
    """What one router did for a rollout, in sums since its process knows the rollout.

    Parameters
    ----------
    service : str
        Service that is rolled out.
    number : int
        Number of the rollout.
    phase : RolloutPhase
        Phase that the router applies.
    requests : int
        Number of attempts that the router sent to any engine of the service.
    exposed : int
        Number of these attempts that were sent to engines of the candidate.
    in_flight_elsewhere : int
        Number of requests in flight at engines of other versions at present, or of
        those that may go on there.
    rows : tuple of RolloutRow
        Responses by route and engine, at least the rows that changed since the last
        report on the same link.
    is_closing : bool
        Whether the router sends nothing to engines of other versions any more.
    is_stopped : bool
        Whether any leader told the router that the rollback is decided.
    step_share : float
        Share of the last step that any leader took, 0 before the first one.
    step_answers : int
        Number of the candidate's responses since that step.
    """

    service: str
    number: int
    phase: RolloutPhase
    requests: int = 0
    exposed: int = 0
    in_flight_elsewhere: int = 0
    rows: tuple[RolloutRow, ...] = ()
    is_closing: bool = False
    is_stopped: bool = False
    step_share: float = 0.0
    step_answers: int = 0


def histogram_bucket(value: float, lowest: float) -> int:
    """Return the bucket of a value in a histogram with a lowest upper boundary.

    Bucket 0 holds the values up to ``lowest``; each further boundary is the square root
    of 2 times the one before, and the last bucket holds all larger values.
    """
    if value <= lowest:
        return 0
    step = math.ceil(STEPS_PER_DOUBLING * math.log2(value / lowest))
    return min(HISTOGRAM_BUCKETS - 1, step)


def histogram_boundary(bucket: int, lowest: float) -> float:
    """Return the upper boundary of a bucket, infinite for the last one."""
    if bucket >= HISTOGRAM_BUCKETS - 1:
        return math.inf
    return lowest * 2 ** (bucket / STEPS_PER_DOUBLING)
