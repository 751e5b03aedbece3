"""Routers of a run and the control state that they see."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, frozen

from benchmarks.choosers import Choice, Question
from berylnotch.control.commands import LifeState, Subject
from berylnotch.membership.settings import MembershipSettings
from berylnotch.membership.targets import TargetHealth
from berylnotch.placement.hints import CacheEvent

if TYPE_CHECKING:
    from benchmarks.engine import Engine
    from benchmarks.policy import Policy
    from benchmarks.shapes import Shape
    from benchmarks.workload import Request


@frozen
class StandInVm:
    """An entry VM."""

    name: str
    address: str
    failure_domain: str


@frozen
class StandInTarget:
    """An engine in the operators' text."""

    name: str
    service: str
    failure_domain: str
    capacity: int


@define
class _Bucket:
    rate: float
    burst: float
    level: float
    at: float = 0.0
    used: float = 0.0


#: Time constant in seconds of the usage that gives the priority.
USAGE_TAU_S = 10.0


class StandInFleet:
    """What routers read of the control state, and the organisations' limits."""

    def __init__(self, shape: Shape, engines: dict[str, Engine]) -> None:
        domains = shape.failure_domains
        self.vms = [
            StandInVm(f"vm-{i}", f"10.0.0.{i}", domains[i % len(domains)])
            for i in range(1, shape.routers + 1)
        ]
        self.targets = [
            StandInTarget(e.name, "language", e.failure_domain, shape.engine.slots)
            for e in engines.values()
        ]
        self.draining: set[str] = set()
        self.states: dict[str, LifeState] = {}
        self.versions = {name: "v1" for name in engines}
        self._shares = {o.name: o.share for o in shape.organisations}
        self._buckets = {
            o.name: _Bucket(o.rate, o.burst, o.burst) for o in shape.organisations
        }

    @property
    def fleet(self) -> StandInFleet:
        """The fleet of the operators' text."""
        return self

    def is_draining(self, subject: Subject, name: str) -> bool:
        """Whether an operator drained the target or VM."""
        return name in self.draining

    def life_state(self, subject: Subject, name: str) -> LifeState:
        """State that the platform's list gives."""
        return self.states.get(name, LifeState.LIVE)

    def weights(self, target: str) -> str:
        """Weights version of a target; empty while it loads."""
        return self.versions[target]

    def charge(self, now: float, request: Request) -> bool:
        """Charge a request to its organisation, if its limit allows."""
        bucket = self._buckets[request.organisation]
        elapsed = now - bucket.at
        bucket.level = min(bucket.burst, bucket.level + elapsed * bucket.rate)
        bucket.used *= max(0.0, 1.0 - elapsed / USAGE_TAU_S)
        bucket.at = now
        tokens = request.pieces * 1024 + request.tail_tokens + request.output_tokens
        if tokens > bucket.level:
            return False
        bucket.level -= tokens
        bucket.used += tokens
        return True

    def usage_over_share(self, organisation: str) -> float:
        """Return the recent use over the share, against the fleet's mean of 1."""
        total = sum(b.used for b in self._buckets.values()) or 1.0
        shares = sum(self._shares.values())
        part = self._buckets[organisation].used / total
        return part / (self._shares[organisation] / shares)


class Router:
    """One router process."""

    def __init__(self, vm: StandInVm, fleet: StandInFleet, policy: Policy) -> None:
        self.failure_domain = vm.failure_domain
        self._fleet = fleet
        self.restart(policy)

    def restart(self, policy: Policy) -> None:
        """Start with nothing learned."""
        self.health = TargetHealth(MembershipSettings())
        self._chooser, self._hints = policy.make()

    def choose(self, question: Question) -> Choice | None:
        """Place a request."""
        return self._chooser(question)

    def take_event(self, now: float, event: CacheEvent) -> None:
        """Take a cache event."""
        if self._hints is not None:
            self._hints.apply(now, event)
