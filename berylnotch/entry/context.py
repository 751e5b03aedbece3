"""What the exchanges of a router share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from attrs import define, field

from berylnotch.admission.retry import RetrySettings
from berylnotch.admission.window import WindowBudget
from berylnotch.entry.quota_gate import QuotaGate
from berylnotch.entry.settings import EntrySettings
from berylnotch.entry.targets import Target, TargetTable
from berylnotch.group.messages import CrashMark
from berylnotch.membership.crashes import CrashGuard
from berylnotch.membership.marks import SharedLosses
from berylnotch.membership.naming import WeightsNames
from berylnotch.placement.costs import (
    DEFAULT_COPY_PER_MS,
    DEFAULT_STORE_PER_MS,
    CostMeter,
    EngineCosts,
)
from berylnotch.placement.mirror import PromptMemory
from berylnotch.routing.model import Service
from berylnotch.routing.table import RouteTable
from berylnotch.settings.fleet import FleetSettings
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Metrics

#: Routers among which the slack of retries is shared until their number is known: that
#: of a middle-sized fleet, as all may start again at the same moment.
ASSUMED_ROUTERS = 24

#: Own notes that are remembered: more than a router makes until they come back.
MAX_OWN_NOTES = 64


@define(eq=False)
class EntryContext:
    """State of one router's request path.

    Parameters
    ----------
    settings : EntrySettings
        Time limits.
    fleet : FleetSettings
        Settings of the process.
    loop : Loop
        Loop in which everything runs.
    log : EventLog
        Log of the process.
    metrics : Metrics
        Counters and histograms.
    targets : TargetTable
        Targets and connections.
    gate : QuotaGate
        Limits of the organisations.
    prompts : PromptMemory
        Prompts that engines and stores probably hold.
    crashes : CrashGuard
        Requests that crash targets.
    losses : SharedLosses
        Losses of targets that other routers saw.
    crash_marks : list of CrashMark
        Losses for the next report to the leader.
    routes : RouteTable or None
        Configuration in force, None before the first.
    names : WeightsNames
        Named versions of weights.
    down_stores : frozenset of str
        Stores that cannot be reached.
    router_count : int
        Routers that take requests.
    is_roster_known : bool
        Whether a leader has told how many there are.
    loaded_targets : set of str
        Targets that the newest sums of loads named.
    ask_quota : callable
        Asks the quota owner soon.
    report_soon : callable
        Reports to the leader sooner than usual.
    own_notes : deque of tuple
        Echoes of this router's newest notes; the leader sends them to it as well.
    """

    settings: EntrySettings
    fleet: FleetSettings
    loop: Loop
    log: EventLog
    metrics: Metrics
    targets: TargetTable
    gate: QuotaGate
    prompts: PromptMemory
    crashes: CrashGuard
    losses: SharedLosses = field(factory=SharedLosses)
    crash_marks: list[CrashMark] = field(factory=list)
    routes: RouteTable | None = None
    names: WeightsNames = field(factory=WeightsNames)
    down_stores: frozenset[str] = frozenset()
    router_count: int = 1
    is_roster_known: bool = False
    loaded_targets: set[str] = field(factory=set)
    ask_quota: Callable[[], None] = lambda: None
    report_soon: Callable[[], None] = lambda: None
    own_notes: deque[tuple] = field(factory=lambda: deque(maxlen=MAX_OWN_NOTES))
    _budgets: dict[str, WindowBudget] = field(factory=dict)
    _meters: dict[str, CostMeter] = field(factory=dict)

    def budget(self, service: str) -> WindowBudget:
        """Return the retry budget of a service, at this router."""
        budget = self._budgets.get(service)
        if budget is None:
            window_s = self.fleet.bounds.retry_window_s
            budget = WindowBudget(self._retry_settings(), window_s)
            self._budgets[service] = budget
        return budget

    def meter(self, service: str) -> CostMeter:
        """Return what was measured of a service's engines."""
        return self._meters.setdefault(service, CostMeter())

    def costs(self, service: Service) -> EngineCosts:
        """Return the times of a service's engines, as measured and as configured."""
        meter, engine = self.meter(service.name), service.engine
        if engine is None:
            return EngineCosts()
        store_mbps = max((s.store_link_mbps for s in self.routes.stores), default=0.0)
        copy = engine.tokens_per_ms(engine.link_mbps)
        store = engine.tokens_per_ms(min(store_mbps, engine.link_mbps))
        return EngineCosts(
            meter.token_ms,
            meter.base_ms,
            copy or DEFAULT_COPY_PER_MS,
            store or DEFAULT_STORE_PER_MS,
        )

    def lost_target(self, target_id: str, fingerprint: bytes) -> None:
        """Note that a target was lost while it ran a request."""
        now = boot_time()
        verdict = self.crashes.lost(now, target_id, (fingerprint,), self.losses)
        for reported in verdict.reported:
            self.crash_marks.append(CrashMark(reported, target_id))
        for blamed in verdict.blamed:
            self.log.warning(
                "request_blamed", fingerprint=blamed.hex(), target=target_id
            )

    def cache_tokens(self, target: Target) -> int:
        """Return the tokens that an engine's memory holds, 0 if it is no engine."""
        service = self.routes.service(target.listed.service) if self.routes else None
        if service is None or service.engine is None:
            return 0
        return service.engine.cache_tokens

    def budgets_left(self) -> dict[str, float]:
        """Return the retries that each service's budget allows now."""
        now = boot_time()
        return {service: b.balance(now) for service, b in self._budgets.items()}

    def resize_budgets(self, router_count: int) -> None:
        """Share the fleet's slack between this many routers."""
        self.router_count = max(1, router_count)
        self.is_roster_known = True
        for budget in self._budgets.values():
            budget.resize(self._retry_settings())

    def _retry_settings(self) -> RetrySettings:
        bounds, part = self.fleet.bounds, self.settings.retry_part
        routers = self.router_count
        if not self.is_roster_known:
            routers = max(routers, ASSUMED_ROUTERS)
        share = bounds.retry_slack / routers
        # Less than one retry would need many requests before the first.
        reserve = max(share * part, min(1.0, share))
        return RetrySettings(
            max_attempts=self.settings.max_sends,
            ratio=bounds.retry_ratio * part,
            reserve=reserve,
        )
