"""Messages between routers and the owner of the limits."""

from __future__ import annotations

from attrs import frozen


@frozen
class QuotaAsk:
    """One organisation's line of a `GrantRequest`, in tokens.

    ``held`` may still be charged, ``spent`` counts since the router started,
    ``want`` is asked for on top of ``held``, and with less than ``waiting`` of
    it no waiting work can go on. ``queued`` is the part of it that all waiting work
    needs; the rest is for use to come. A sender that does not tell has 0.
    """

    organisation: str
    want: int
    held: int
    spent: int
    waiting: int = 0
    queued: int = 0


@frozen
class GrantRequest:
    """Router's periodic report to the quota owner, also its heartbeat."""

    vm: str
    incarnation: str
    http_address: str
    failure_domain: str
    leaving: bool
    sequence: int
    asks: tuple[QuotaAsk, ...] = ()


@frozen
class Grant:
    """Tokens that a router may charge until the lifetime is over.

    ``tokens`` replaces what the request reported as held, and the lifetime
    counts from when the request was sent. ``retry_after_ms`` is positive only
    if the organisation has used up its rate and burst.
    """

    organisation: str
    tokens: int
    lifetime_ms: int
    priority: int
    retry_after_ms: int = 0


@frozen
class GrantReply:
    """Answer of the quota owner.

    ``owner_term`` changes with the owner; grants of an older term stay valid
    until their lifetime is over.
    """

    owner_term: int
    sequence: int
    grants: tuple[Grant, ...] = ()
