"""Which entry VMs a caller should use."""

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
    """Addresses in order of preference, and how long to keep them."""

    addresses: tuple[str, ...]
    keep_s: int


def answer(
    view: View,
    organisation: str,
    failure_domain: str,
    settings: MembershipSettings,
    turn: int = 0,
) -> AddressAnswer:
    """Choose the VMs for a caller.

    An organisation's callers are led to the same few VMs, so that its grants
    and cache knowledge are not scattered. These lie in different failure
    domains as far as possible, and those near the caller come first. VMs that
    leave, are lost or drained are left out unless no other is left.

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
    turn : int, default=0
        Counts the answers of this router, so that the callers of a large
        organisation spread over its VMs.
    """
    known = list(view.fleet.vms.values())
    vms = [vm for vm in known if _is_live(view, vm.name)] or known
    key = name_hash(organisation)
    vms.sort(key=lambda vm: (weight(key, name_hash(vm.name)), vm.name))
    count = _vm_count(view.fleet, organisation, len(vms), settings)
    own = _spread(vms)[:count]
    start = turn % count if count > settings.answer_vms else 0
    chosen = (own[start:] + own[:start])[: settings.answer_vms]
    chosen.sort(key=lambda vm: vm.failure_domain != failure_domain)
    return AddressAnswer(
        tuple(vm.address for vm in chosen), int(view.fleet.address_keep_s)
    )


def _vm_count(
    fleet: Fleet, organisation: str, vms: int, settings: MembershipSettings
) -> int:
    """Return how many VMs serve an organisation; more if its rate is large."""
    found = fleet.organisations.get(organisation)
    if found is None:
        return settings.answer_vms
    total = sum(other.rate for other in fleet.organisations.values())
    return max(settings.answer_vms, math.ceil(vms * found.rate / total))


def _spread(vms: list[Vm]) -> list[Vm]:
    """Put the first VM of each failure domain before the second ones."""
    seen: Counter[str] = Counter()
    rounds = []
    for vm in vms:
        rounds.append((seen[vm.failure_domain], len(rounds)))
        seen[vm.failure_domain] += 1
    return [vms[position] for _, position in sorted(rounds)]


def _is_live(view: View, name: str) -> bool:
    if view.is_draining(Subject.VM, name):
        return False
    state = view.life_state(Subject.VM, name)
    return state not in (LifeState.LEAVING, LifeState.LOST)
