"""Reasons for which a router itself refuses or fails a request."""

from __future__ import annotations

from enum import Enum


class Reason(Enum):
    """Reason for a refusal or failure; the values appear in metrics and logs."""

    #: The organisation has used up its rate limit and burst.
    LIMIT = "limit"
    #: The quota owner granted no tokens in time.
    NO_GRANT = "no-grant"
    #: No target of the service can take a request now.
    NO_TARGET = "no-target"
    #: Every target that could take the request limits its requests.
    TARGET_LIMIT = "target-limit"
    #: The first event is expected too late for the caller.
    TOO_LATE = "too-late"
    #: Every target that was tried refused to run the request.
    ALL_REFUSED = "all-refused"
    #: The retry budget of the service is spent.
    BUDGET = "budget"
    #: The deadline passed before the request was served.
    DEADLINE = "deadline"
    #: The request was running on several targets when they were lost.
    CRASHES = "crashes"
    #: The target's answer was lost or is invalid.
    TARGET_LOST = "target-lost"
    #: The software version that began the caller's stream is unknown.
    UNKNOWN_VERSION = "unknown-version"
    #: The router process stops before the request ends.
    STOPPING = "stopping"
