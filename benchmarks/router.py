"""Routers of a run and the control state that they see."""

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
    """Return the fleet that an operators' text would describe."""
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
    """What routers read of the control state."""

    fleet: Fleet
    versions: dict[str, str]
    states: dict[str, LifeStateChanged] = field(factory=dict)

    def is_draining(self, subject: Subject, name: str) -> bool:
        """Whether an operator drained the target or VM."""
        return False

    def life_report(self, subject: Subject, name: str) -> LifeStateChanged | None:
        """Newest report of the platform's list."""
        return self.states.get(name)

    def life_state(self, subject: Subject, name: str) -> LifeState:
        """State that the platform's list gives."""
        found = self.states.get(name)
        return found.state if found else LifeState.LIVE

    def weights(self, target: str) -> str:
        """Weights version of a target; empty while it loads."""
        return self.versions[target]


class Router:
    """One router process."""

    def __init__(self, vm: Vm, policy: Policy) -> None:
        self.vm = vm
        self.failure_domain = vm.failure_domain
        self.restarts = 0
        self._start(policy)

    def restart(self, policy: Policy) -> None:
        """Start with nothing learned."""
        self.restarts += 1
        self._start(policy)

    def _start(self, policy: Policy) -> None:
        self.health = TargetHealth(MembershipSettings())
        self._chooser, self._placer = policy.make()

    def choose(self, question: Question) -> Choice | None:
        """Place a request."""
        return self._chooser(question)

    def take_event(self, now: float, event: CacheEvent) -> None:
        """Take a cache event."""
        if self._placer is not None:
            self._placer.cache_event(now, event)
