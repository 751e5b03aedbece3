"""Load reports of engines and plain services."""

from __future__ import annotations

from attrs import frozen

from berylnotch.gateways.answers import read_answer
from berylnotch.gateways.engine import EngineAddress, credential_headers
from berylnotch.gateways.http import UpstreamRequest
from berylnotch.membership.targets import LoadReport

#: Path of the report at a target.
LOAD_PATH = "/standin/load"


@frozen
class TargetLoad:
    """A target's report on itself.

    Attributes
    ----------
    incarnation : str
        Identity of its process; empty for a plain service.
    weights : str
        Weights version; empty if it has none.
    loading, leaving : bool
        Whether it loads weights, or is about to leave.
    waiting, running, slots : int
        Requests queued, running, and that run at once.
    queue_wait_s : float
        Time until a new request would run.
    age_s : float
        Age of the report when it was sent.
    fence : int
        Highest fencing number that it has seen.
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
    """Build the request for a target's report."""
    return UpstreamRequest(
        url=f"http://{target.address}{LOAD_PATH}",
        method="GET",
        headers=credential_headers(target.credential),
        body=b"",
        timeout_s=timeout_s,
    )


def read_load(status: int, body: bytes) -> TargetLoad:
    """Read a report; raises `BadAnswerError` or `BusyError`."""
    return read_answer(TargetLoad, status, body)


def to_report(load: TargetLoad, asked_at: float) -> LoadReport:
    """Return the report as placement takes it.

    Parameters
    ----------
    load : TargetLoad
        The target's report.
    asked_at : float
        Time at which the request for it was sent, in seconds. The report is at
        least as new as that, less its own age.
    """
    return LoadReport(
        incarnation=load.incarnation,
        measured_at=asked_at - max(0.0, load.age_s),
        queue_wait_s=max(0.0, load.queue_wait_s),
        running=load.running,
        leaving=load.leaving,
    )
