"""Tickets of waiting requests, and refusals of requests that are not queued."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen
from attrs.validators import ge, gt


@frozen
class Ticket:
    """A request that waits to be sent to a target.

    Parameters
    ----------
    identity : str
        Request ID, unique among the waiting requests.
    organisation : str
        Organisation whose key authenticated the request.
    share : float
        Weight of the organisation.
    cost : float
        Expected work in tokens.
    deadline : float
        Monotonic time after which the caller no longer needs the answer.
    enqueued : float
        Monotonic time of arrival.
    priority : int, default=4
        Priority from the organisation's grants, 0 (best) to 9.
    """

    identity: str
    organisation: str
    share: float = field(validator=gt(0))
    cost: float = field(validator=gt(0))
    deadline: float
    enqueued: float
    priority: int = field(default=4, validator=ge(0))


class Fit(Enum):
    """Result of the check for capacity and tokens to run a waiting request."""

    FITS = "fits"
    NO_CAPACITY = "no-capacity"
    NO_TOKENS = "no-tokens"


class RefusalReason(Enum):
    """Reason for which a request was not queued."""

    QUEUE_FULL = "queue-full"
    ORGANISATION_FULL = "organisation-full"
    WAIT_TOO_LONG = "wait-too-long"
    DEADLINE_PASSED = "deadline-passed"


@frozen
class Refusal:
    """Refusal of a request before any byte was sent to a target."""

    reason: RefusalReason
    retry_after_ms: int
