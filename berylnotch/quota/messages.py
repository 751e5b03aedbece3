"""Messages between routers and the quota owner."""

from __future__ import annotations

from attrs import frozen


@frozen
class QuotaAsk:
    """Report and request of a router for one organisation, in tokens.

    ``held`` tokens may still be charged. ``spent`` counts the tokens charged since
    the router started. ``want`` is requested in addition to ``held``; with less than
    ``waiting`` tokens of ``want``, no waiting work can proceed. ``queued`` is the part
    of ``want`` that all waiting work needs; the rest is for expected use. ``queued``
    is 0 if the sender does not report it. ``recent`` are the tokens charged in each
    interval of `berylnotch.quota.charge_history.INTERVAL_S`, the newest first; they are
    set in the first request after the router has joined a new owner.
    """

    organisation: str
    want: int
    held: int
    spent: int
    waiting: int = 0
    queued: int = 0
    recent: tuple[int, ...] = ()


@frozen
class GrantRequest:
    """Periodic report of a router to the quota owner; also the router's heartbeat.

    ``view_version`` is the version of the router's view, 0 if it is not reported.
    ``joined_term`` is the term of the owner that granted all tokens that the router
    holds, 0 if there is none; the first request with it reports all recent charges.
    """

    vm: str
    incarnation: str
    http_address: str
    failure_domain: str
    leaving: bool
    sequence: int
    asks: tuple[QuotaAsk, ...] = ()
    view_version: int = 0
    joined_term: int = 0


@frozen
class Grant:
    """Tokens that a router may charge until the lifetime ends.

    ``tokens`` replaces the number that the request reported as held. The lifetime
    counts from the time at which the request was sent. ``retry_after_ms`` is positive
    only if the organisation has used up its rate and burst.
    """

    organisation: str
    tokens: int
    lifetime_ms: int
    priority: int
    retry_after_ms: int = 0


@frozen
class GrantReply:
    """Reply of the quota owner.

    ``owner_term`` changes with the owner. Grants of an older term stay valid until
    their lifetime ends. ``shared_version`` is the lowest version of the live routers'
    views, 0 if it is unknown.
    """

    owner_term: int
    sequence: int
    grants: tuple[Grant, ...] = ()
    shared_version: int = 0
