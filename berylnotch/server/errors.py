"""Refusals of callers' requests."""

from __future__ import annotations

from berylnotch.errors import RequestError
from berylnotch.streams.actions import RunStatus


class Refusal(RequestError):
    """A request that is answered with an error.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Machine-readable reason, such as ``rate_limited``.
    message : str
        Human-readable reason.
    run_status : RunStatus, default=RunStatus.NOT_RUN
        Whether a target ran the request.
    retry_after_s : float, default=0.0
        Seconds until a retry is useful; 0 if a retry would be refused as well.
    is_served_elsewhere : bool, default=False
        Whether another router serves a retry at once.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        run_status: RunStatus = RunStatus.NOT_RUN,
        retry_after_s: float = 0.0,
        is_served_elsewhere: bool = False,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.run_status = run_status
        self.retry_after_s = retry_after_s
        self.is_served_elsewhere = is_served_elsewhere
