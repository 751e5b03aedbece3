"""The platform's list of live and leaving VMs, which lags."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from berylnotch.gateways.answers import read_answer
from berylnotch.gateways.http import UpstreamRequest

#: Path of the list.
VMS_PATH = "/vms"


class VmState(Enum):
    """State of a VM on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class ListedVm:
    """A VM on the list.

    Attributes
    ----------
    name, address : str
        Name and IP number, perhaps with a port.
    state : VmState
        Whether the platform is about to take it away.
    """

    name: str
    address: str
    state: VmState


@frozen
class VmList:
    """The whole list; a VM that isn't on it is gone or not known yet."""

    vms: tuple[ListedVm, ...]


def build_vms(address: str, timeout_s: float) -> UpstreamRequest:
    """Build the request for the list from the platform at ``IP:PORT``."""
    return UpstreamRequest(f"http://{address}{VMS_PATH}", "GET", (), b"", timeout_s)


def read_vms(status: int, body: bytes) -> VmList:
    """Read the list; raises `BadAnswerError` or `BusyError`."""
    return read_answer(VmList, status, body)
