"""Errors of the gateways."""

from __future__ import annotations

from berylnotch.errors import GatewayError


class ForbiddenRequestError(GatewayError):
    """A caller's request may not be passed on as it is; nothing was run."""


class BadAnswerError(GatewayError):
    """A system outside answered something that can't be read."""


class BusyError(GatewayError):
    """A system outside wants fewer requests for a while."""


class OldFenceError(GatewayError):
    """An engine refused an order, because it has seen a higher fencing number."""


class UnreachableError(GatewayError):
    """A system outside could not be reached or did not finish its answer.

    Parameters
    ----------
    message : str
        What was seen.
    sent : bool
        Whether any byte of the request may have arrived.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent
