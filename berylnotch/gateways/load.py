"""Requests for the load reports of engines and plain services."""

from __future__ import annotations

from attrs import frozen

from berylnotch.gateways.answers import decode_response
from berylnotch.gateways.engine import EngineAddress, credential_headers
from berylnotch.gateways.http import UpstreamRequest
from berylnotch.membership.targets import LoadReport

#: Path at which a target serves its load report.
LOAD_PATH = "/standin/load"


@frozen
class TargetLoad:
    """Load report of a target.

    Attributes
    ----------
    incarnation : str
        Identity of the target's process; empty for a plain service.
    weights : str
        Weights version of the target; empty for a target without weights.
    loading, leaving : bool
        Whether the target is loading weights, and whether it is about to leave.
    waiting, running, slots : int
        Number of queued requests, of running requests, and of requests that the
        target can run concurrently.
    queue_wait_s : float
        Expected time in seconds until a new request would start.
    age_s : float
        Age of the report in seconds when the target sent it.
    fence : int
        Highest fencing token that the target has seen.
    """

    incarnation: str = ""
    weights: str = ""
    loading: bool = False
    leaving: bool = False
    waiting: int = 0
    running: int = 0
    slots: int = 0
    queue_wait_s: float = 0.0
    age_s: float = 0.0
    fence: int = 0


def build_load(target: EngineAddress, timeout_s: float) -> UpstreamRequest:
    """Build the request for a target's load report."""
    return UpstreamRequest(
        url=f"http://{target.address}{LOAD_PATH}",
        method="GET",
        headers=credential_headers(target.credential),
        body=b"",
        timeout_s=timeout_s,
    )


def read_load(status: int, body: bytes) -> TargetLoad:
    """Decode a load report; raises `InvalidResponseError` or `BusyError`."""
    return decode_response(TargetLoad, status, body)


def to_report(load: TargetLoad, requested_at: float) -> LoadReport:
    """Convert a load report to the form that placement uses.

    Parameters
    ----------
    load : TargetLoad
        Report of the target.
    requested_at : float
        Time in seconds at which the report was requested. The target measured its
        load at this time less the age of the report, or later.
    """
    return LoadReport(
        incarnation=load.incarnation,
        measured_at=requested_at - max(0.0, load.age_s),
        queue_wait_s=max(0.0, load.queue_wait_s),
        running=max(0, load.running),
        leaving=load.leaving,
    )
