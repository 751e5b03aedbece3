"""Errors of requests to external systems."""

from __future__ import annotations

from berylnotch.errors import GatewayError


class ForbiddenRequestError(GatewayError):
    """A caller's request must not be forwarded; no target has executed it."""


class InvalidResponseError(GatewayError):
    """The response of an external system cannot be decoded."""


class BusyError(GatewayError):
    """An external system is overloaded and asks for fewer requests."""


class StaleFencingTokenError(GatewayError):
    """An engine refused an order because it has seen a higher fencing token."""


class UnreachableError(GatewayError):
    """An external system was unreachable or did not complete its response.

    Parameters
    ----------
    message : str
        Description of the failure.
    sent : bool
        Whether any byte of the request may have reached the system.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent
