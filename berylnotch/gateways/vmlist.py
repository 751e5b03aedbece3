"""Requests for the platform's list of live and leaving VMs.

The list lags behind the actual state of the VMs.
"""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen, validators

from berylnotch.gateways.answers import decode_entries
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

    name: str = field(validator=validators.min_len(1))
    address: str = field(validator=validators.min_len(1))
    state: VmState


@frozen
class VmList:
    """The complete list; a VM that is missing was removed or is not listed yet.

    ``skipped`` is the number of entries that describe no VM.
    """

    vms: tuple[ListedVm, ...]
    skipped: int = 0


def build_vms(address: str, timeout_s: float) -> UpstreamRequest:
    """Build the request for the list from the platform at ``IP:PORT``."""
    return UpstreamRequest(f"http://{address}{VMS_PATH}", "GET", (), b"", timeout_s)


def read_vms(status: int, body: bytes) -> VmList:
    """Decode the list; raises `InvalidResponseError` or `BusyError`."""
    return VmList(*decode_entries(ListedVm, status, body, "vms"))
