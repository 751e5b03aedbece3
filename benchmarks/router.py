"""Simulated routers and the view of the control state that they read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from benchmarks.choosers import Choice, Question
from berylnotch.control.commands import LifeState, Subject
from berylnotch.control.events import LifeStateChanged
from berylnotch.fleet.model import Fleet, Organisation, Target, Vm
from berylnotch.membership.settings import MembershipSettings
from berylnotch.membership.targets import TargetHealth
from berylnotch.placement.hints import CacheEvent

if TYPE_CHECKING:
    from benchmarks.engine import Engine
    from benchmarks.policy import Policy
    from benchmarks.shapes import Shape


def make_fleet(shape: Shape, engines: dict[str, Engine]) -> Fleet:
    """Return the fleet configuration of a deployment."""
    domains = shape.failure_domains
    vms = {
        f"vm-{i}": Vm(f"vm-{i}", f"10.0.0.{i}:80", domains[i % len(domains)])
        for i in range(1, shape.routers + 1)
    }
    targets = {
        name: Target(
            name,
            "language",
            "",
            engine.failure_domain,
            capacity=shape.engine.slots,
        )
        for name, engine in engines.items()
    }
    organisations = {
        o.name: Organisation(o.name, int(o.rate), int(o.burst), o.share)
        for o in shape.organisations
    }
    return Fleet(vms=vms, targets=targets, organisations=organisations)


@define
class StandInView:
    """Stand-in for the routers' view of the control state."""

    fleet: Fleet
    versions: dict[str, str]
    states: dict[str, LifeStateChanged] = field(factory=dict)

    def is_draining(self, subject: Subject, name: str) -> bool:
        """Return False, because no simulated operator drains a target or VM."""
        return False

    def life_report(self, subject: Subject, name: str) -> LifeStateChanged | None:
        """Return the newest state change in the platform's list, if there is one."""
        return self.states.get(name)

    def life_state(self, subject: Subject, name: str) -> LifeState:
        """Return the state in the platform's list; live if it has no entry."""
        report = self.states.get(name)
        return report.state if report else LifeState.LIVE

    def weights(self, target: str) -> str:
        """Return the weights version of a target; empty while it loads new weights."""
        return self.versions[target]


class Router:
    """One simulated router and its current process."""

    def __init__(self, vm: Vm, policy: Policy) -> None:
        self.vm = vm
        self.failure_domain = vm.failure_domain
        self.restarts = 0
        self._start_process(policy)

    def restart(self, policy: Policy) -> None:
        """Start a new process, without target health and cache hints."""
        self.restarts += 1
        self._start_process(policy)

    def _start_process(self, policy: Policy) -> None:
        self.health = TargetHealth(MembershipSettings())
        self._chooser, self._placer = policy.make_chooser()

    def choose(self, question: Question) -> Choice | None:
        """Return the target for a request, or None if no target is usable."""
        return self._chooser(question)

    def take_event(self, now: float, event: CacheEvent) -> None:
        """Pass a cache event to the placer, if the policy has one."""
        if self._placer is not None:
            self._placer.cache_event(now, event)
