"""Which entry VMs a caller should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from berylnotch.control.commands import LifeState, Subject
from berylnotch.placement.rendezvous import name_hash, weight

if TYPE_CHECKING:
    from berylnotch.control.view import View
    from berylnotch.membership.settings import MembershipSettings


@frozen
class AddressAnswer:
    """Addresses in order of preference, and how long to keep them."""

    addresses: tuple[str, ...]
    keep_s: int


def answer(
    view: View,
    organisation: str,
    failure_domain: str,
    settings: MembershipSettings,
) -> AddressAnswer:
    """Choose the VMs for a caller.

    An organisation's callers are led to the same few VMs, so that its grants
    and cache knowledge are not scattered. VMs that leave, are lost or drained
    are left out unless none is left.

    Parameters
    ----------
    view : View
        The router's copy of the control state.
    organisation : str
        The caller's organisation; may be empty.
    failure_domain : str
        Where the caller is; empty if not known.
    settings : MembershipSettings
        Number of addresses and how long they are kept.
    """
    known = list(view.fleet.vms.values())
    live = [vm for vm in known if _is_live(view, vm.name)]
    vms = live or known
    key = name_hash(organisation)
    vms.sort(key=lambda vm: (-weight(key, name_hash(vm.name)), vm.name))
    chosen = vms[: settings.answer_vms]
    chosen.sort(key=lambda vm: vm.failure_domain != failure_domain)
    return AddressAnswer(
        tuple(vm.address for vm in chosen), int(view.fleet.address_keep_s)
    )


def _is_live(view: View, name: str) -> bool:
    if view.is_draining(Subject.VM, name):
        return False
    state = view.life_state(Subject.VM, name)
    return state not in (LifeState.LEAVING, LifeState.LOST)
