"""Requests for the platform's list of live and leaving VMs.

The list lags behind the actual state of the VMs.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from berylnotch.gateways.answers import decode_response
from berylnotch.gateways.http import UpstreamRequest

#: Path at which the platform serves the list.
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
        Name and IP address of the VM; the address may include a port.
    state : VmState
        Whether the VM is live, or leaving because the platform is about to remove it.
    """

    name: str
    address: str
    state: VmState


@frozen
class VmList:
    """The complete list; a VM that is missing was removed or is not listed yet."""

    vms: tuple[ListedVm, ...]


def build_vms(address: str, timeout_s: float) -> UpstreamRequest:
    """Build the request for the list from the platform at ``IP:PORT``."""
    return UpstreamRequest(f"http://{address}{VMS_PATH}", "GET", (), b"", timeout_s)


def read_vms(status: int, body: bytes) -> VmList:
    """Decode the list; raises `InvalidResponseError` or `BusyError`."""
    return decode_response(VmList, status, body)
