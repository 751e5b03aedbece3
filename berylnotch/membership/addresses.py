"""Choice of the VMs whose addresses a caller gets."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from attrs import frozen

from berylnotch.control.commands import LifeState, Subject
from berylnotch.placement.rendezvous import name_hash, weight

if TYPE_CHECKING:
    from berylnotch.control.view import View
    from berylnotch.fleet.model import Fleet, Vm
    from berylnotch.membership.settings import MembershipSettings


@frozen
class AddressAnswer:
    """Addresses in order of preference; a caller keeps them for ``keep_s`` seconds."""

    addresses: tuple[str, ...]
    keep_s: int


def answer(
    view: View,
    organisation: str,
    failure_domain: str,
    settings: MembershipSettings,
    earlier_answers: int = 0,
) -> AddressAnswer:
    """Choose the VMs for a caller.

    All callers of an organisation get the same few VMs, so that its token grants and
    the routers' knowledge of its cached prefixes are not spread over many VMs. The
    VMs are in different failure domains as far as possible, and those in the caller's
    failure domain come first. VMs that are leaving, lost or drained are omitted
    unless no other VM exists.

    Parameters
    ----------
    view : View
        The router's copy of the control state.
    organisation : str
        The caller's organisation; may be empty.
    failure_domain : str
        Failure domain of the caller; empty if not known.
    settings : MembershipSettings
        Settings with the number of addresses in an answer.
    earlier_answers : int, default=0
        Number of earlier answers of this router. It rotates the addresses, so that the
        callers of a large organisation spread over all its VMs.
    """
    all_vms = list(view.fleet.vms.values())
    vms = [vm for vm in all_vms if _is_live(view, vm.name)] or all_vms
    key = name_hash(organisation)
    vms.sort(key=lambda vm: (weight(key, name_hash(vm.name)), vm.name))
    count = _count_vms(view.fleet, organisation, len(vms), settings)
    candidates = _interleave_failure_domains(vms)[:count]
    offset = earlier_answers % count if count > settings.answer_vms else 0
    chosen = (candidates[offset:] + candidates[:offset])[: settings.answer_vms]
    chosen.sort(key=lambda vm: vm.failure_domain != failure_domain)
    return AddressAnswer(
        tuple(vm.address for vm in chosen), int(view.fleet.address_keep_s)
    )


def has_other_live_vms(view: View, name: str) -> bool:
    """Return whether VMs other than the named one take callers."""
    return any(vm != name and _is_live(view, vm) for vm in view.fleet.vms)


def _count_vms(
    fleet: Fleet, organisation: str, vm_count: int, settings: MembershipSettings
) -> int:
    """Return the number of VMs that serve an organisation.

    The number is proportional to the organisation's share of the sum of all rates,
    with a lower bound.
    """
    configured = fleet.organisations.get(organisation)
    if configured is None:
        return settings.answer_vms
    total_rate = sum(other.rate for other in fleet.organisations.values())
    return max(settings.answer_vms, math.ceil(vm_count * configured.rate / total_rate))


def _interleave_failure_domains(vms: list[Vm]) -> list[Vm]:
    """Put the first VM of each failure domain before all second VMs, and so on."""
    counts: Counter[str] = Counter()
    sort_keys = []
    for vm in vms:
        sort_keys.append((counts[vm.failure_domain], len(sort_keys)))
        counts[vm.failure_domain] += 1
    return [vms[position] for _, position in sorted(sort_keys)]


def _is_live(view: View, name: str) -> bool:
    if view.is_draining(Subject.VM, name):
        return False
    state = view.life_state(Subject.VM, name)
    return state not in (LifeState.LEAVING, LifeState.LOST)
