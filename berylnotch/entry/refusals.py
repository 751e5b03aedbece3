"""Why a router refuses or fails a request itself."""

from __future__ import annotations

from enum import Enum


class Reason(Enum):
    """Reason as it stands in metrics and logs."""

    #: The organisation has used up its rate and burst.
    LIMIT = "limit"
    #: The owner of the limits lent nothing in time.
    NO_GRANT = "no-grant"
    #: No target of the service may get a request now.
    NO_TARGET = "no-target"
    #: The first event would come too late.
    TOO_LATE = "too-late"
    #: Each target that was tried refused to run it.
    ALL_REFUSED = "all-refused"
    #: The retry budget of the service is spent.
    BUDGET = "budget"
    #: The deadline came first.
    DEADLINE = "deadline"
    #: The request was running when several targets were lost.
    CRASHES = "crashes"
    #: The target's answer was lost or is no valid one.
    TARGET_LOST = "target-lost"
    #: The router ends before the request could.
    STOPPING = "stopping"
    #: The service left the configuration meanwhile.
    NO_SERVICE = "no-service"
