"""Provides the state that all requests of a router share."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable

from attrs import Factory, define, field

from berylnotch.entry.answer_times import AnswerTimes
from berylnotch.entry.capacity_queue import CapacityQueue
from berylnotch.entry.crash_watch import CrashWatch
from berylnotch.entry.engine_speeds import EngineSpeeds
from berylnotch.entry.kept_connections import max_idle_connections
from berylnotch.entry.loss_probe import LossProber
from berylnotch.entry.quota_gate import QuotaGate
from berylnotch.entry.retry_budgets import RetryBudgets
from berylnotch.entry.rollout_gate import RolloutGate
from berylnotch.entry.settings import EntrySettings
from berylnotch.entry.stream_registry import StreamRegistry
from berylnotch.entry.stream_turns import StreamTurns
from berylnotch.entry.target_limits import TargetLimits
from berylnotch.entry.targets import Target, TargetTable
from berylnotch.membership.announced_weights import AnnouncedWeights
from berylnotch.membership.departure import StopSchedule
from berylnotch.net.response_memory import (
    DEFAULT_MEMORY_MB,
    ResponseMemory,
    response_limits,
)
from berylnotch.placement.cache_model import CacheModel
from berylnotch.placement.costs import (
    DEFAULT_COPY_TOKENS_PER_MS,
    DEFAULT_STORE_TOKENS_PER_MS,
    EngineCosts,
    PrefillEstimator,
)
from berylnotch.routing.model import Service
from berylnotch.routing.table import RouteTable
from berylnotch.settings.fleet import FleetSettings
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Metrics
from berylnotch.util.recent_maximum import RecentMaximum

#: Number of routers among which limits of the fleet are divided until a leader sends
#: the actual number. It is the number in a medium-sized fleet, because all routers may
#: restart at the same moment.
ASSUMED_ROUTER_COUNT = 24

#: Seconds from the start of a router until it usually has its configuration, even if
#: all controllers start at the same time and have to elect a leader first.
EXPECTED_STARTUP_S = 1.6

#: Number of this router's own prompt notes that are remembered. It exceeds the number
#: of notes that a router writes before the leader sends the first of them back.
MAX_OWN_NOTES = 64


@define(eq=False)
class EntryContext:
    """State of one router's request path.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the request path.
    fleet : FleetSettings
        Settings of the process.
    loop : Loop
        Event loop of the router.
    log : EventLog
        Log of the process.
    metrics : Metrics
        Counters and histograms.
    targets : TargetTable
        Targets and the connections to them.
    gate : QuotaGate
        Rate limits of the organisations.
    prompts : CacheModel
        Prompts that engines and stores probably hold.
    crash_watch : CrashWatch
        Losses of targets that this router reports, and causes of crashes to refuse.
    loss_prober : LossProber
        Finds out whether targets ended whose connections broke.
    target_limits : TargetLimits
        Limits that targets announced, and this router's tokens for these targets.
    capacity : CapacityQueue
        Requests that wait until an engine has room.
    stream_turns : StreamTurns
        Order in which streams with many events are continued.
    routes : RouteTable or None
        Configuration in force, None before the first configuration arrives.
    announced_weights : AnnouncedWeights
        Named versions of weights.
    down_stores : frozenset of str
        Addresses of the stores that cannot be reached.
    router_count : int
        Number of routers that accept requests; those that stop are not counted.
    is_roster_known : bool
        Whether a leader has sent the number of routers.
    loaded_targets : set of str
        Identities of the targets for which the newest updates set the load from other
        routers or the suspect state.
    rollouts : RolloutGate
        Rollouts of the services' software versions.
    streams : StreamRegistry
        Software versions at which streams began.
    send_to_leader : callable
        Sends a message to the leader, or drops it without a link.
    schedule_records : callable
        Schedules the records of streams for the leader.
    has_leader : callable
        Returns whether the router has a link to a leader.
    ask_quota : callable
        Schedules a request for tokens to the quota owner.
    ask_retries : callable
        Schedules a request for retries to the quota owner.
    retries : RetryBudgets
        Retries that this router may make.
    schedule_report : callable
        Schedules the next report to the leader earlier than its regular time.
    response_memory : ResponseMemory
        Responses of targets that this router holds.
    answer_times : AnswerTimes
        Durations of recent answers.
    speeds : EngineSpeeds
        Learned speeds of the targets.
    stop : StopSchedule or None
        Schedule of the router's planned stop, None while it serves.
    has_other_routers : callable
        Returns whether callers can use other routers.
    started_at : float
        Boot time at which the process started.
    own_note_keys : deque of tuple
        Identifying fields of this router's newest prompt notes. The leader sends the
        notes back to their author as well, and the router skips these copies.
    """

    settings: EntrySettings
    fleet: FleetSettings
    loop: Loop
    log: EventLog
    metrics: Metrics
    targets: TargetTable
    gate: QuotaGate
    prompts: CacheModel
    crash_watch: CrashWatch = field(
        default=Factory(
            lambda self: CrashWatch(
                self.settings.membership, lambda: self.has_leader()
            ),
            takes_self=True,
        )
    )
    loss_prober: LossProber = field(default=Factory(LossProber, takes_self=True))
    target_limits: TargetLimits = field(
        default=Factory(
            lambda self: TargetLimits(lambda: self.sending_router_count),
            takes_self=True,
        )
    )
    capacity: CapacityQueue = field(
        default=Factory(
            lambda self: CapacityQueue(
                self.loop,
                boot_time,
                lambda: self.sending_router_count,
                on_full=lambda service, load: self.log.info(
                    "engines_full", service=service, load=load
                ),
            ),
            takes_self=True,
        )
    )
    stream_turns: StreamTurns = field(
        default=Factory(lambda self: StreamTurns(self.loop), takes_self=True)
    )
    routes: RouteTable | None = None
    announced_weights: AnnouncedWeights = field(factory=AnnouncedWeights)
    down_stores: frozenset[str] = frozenset()
    router_count: int = 1
    is_roster_known: bool = False
    loaded_targets: set[str] = field(factory=set)
    rollouts: RolloutGate = field(factory=RolloutGate)
    streams: StreamRegistry = field(
        default=Factory(
            lambda self: StreamRegistry(
                lambda message: self.send_to_leader(message),
                lambda: self.schedule_records(),
                self.settings.version_wait_s,
            ),
            takes_self=True,
        )
    )
    send_to_leader: Callable[[object], None] = lambda message: None
    schedule_records: Callable[[], None] = lambda: None
    has_leader: Callable[[], bool] = lambda: True
    ask_quota: Callable[[], None] = lambda: None
    ask_retries: Callable[[], None] = lambda: None
    retries: RetryBudgets = field(
        default=Factory(
            lambda self: RetryBudgets(
                self.fleet.bounds,
                lambda: self.sending_router_count,
                lambda: self.ask_retries(),
                lambda: self.has_leader(),
            ),
            takes_self=True,
        )
    )
    schedule_report: Callable[[], None] = lambda: None
    response_memory: ResponseMemory = field(
        factory=lambda: ResponseMemory(response_limits(DEFAULT_MEMORY_MB))
    )
    answer_times: AnswerTimes = field(factory=AnswerTimes)
    speeds: EngineSpeeds = field(
        default=Factory(lambda self: EngineSpeeds(self.log), takes_self=True)
    )
    stop: StopSchedule | None = None
    has_other_routers: Callable[[], bool] = lambda: False
    started_at: float = field(factory=boot_time)
    own_note_keys: deque[tuple] = field(factory=lambda: deque(maxlen=MAX_OWN_NOTES))
    _router_counts: RecentMaximum = field(
        default=Factory(
            lambda self: RecentMaximum(self.fleet.bounds.stop_s), takes_self=True
        )
    )
    _estimators: dict[str, PrefillEstimator] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.targets.limit_idle(self._max_idle_connections)

    @property
    def answer_by(self) -> float:
        """Boot time by which answers must have ended, infinite while serving."""
        return self.stop.answer_by if self.stop is not None else math.inf

    def stopping_retry_s(self) -> float:
        """Return the retry delay of a request that this stopping router refuses."""
        if self.stop is None or self.has_other_routers():
            return 0.0
        return max(0.0, self.stop.exit_by - boot_time()) + EXPECTED_STARTUP_S

    @property
    def sharing_router_count(self) -> int:
        """Number of routers among which limits of the fleet are divided evenly."""
        if self.is_roster_known:
            return self.router_count
        return max(self.router_count, ASSUMED_ROUTER_COUNT)

    @property
    def recent_router_count(self) -> int:
        """Largest number of routers within the time that a stop takes.

        Routers that stop are not counted any more, but serve requests and hold tokens
        until they exit.
        """
        return max(1, self._router_counts.largest(boot_time(), self.router_count))

    @property
    def sending_router_count(self) -> int:
        """Largest number of routers that may send requests to targets."""
        return max(self.sharing_router_count, self.recent_router_count)

    def estimator(self, service: str) -> PrefillEstimator:
        """Return the prefill estimator of a service's engines."""
        return self._estimators.setdefault(service, PrefillEstimator())

    def costs(self, service: Service) -> EngineCosts:
        """Return the costs of a service's engines, both measured and configured."""
        estimator, engine = self.estimator(service.name), service.engine
        if engine is None:
            return EngineCosts()
        store_mbps = max((s.store_link_mbps for s in self.routes.stores), default=0.0)
        copy_tokens_per_ms = engine.tokens_per_ms(engine.link_mbps)
        store_tokens_per_ms = engine.tokens_per_ms(min(store_mbps, engine.link_mbps))
        return EngineCosts(
            estimator.token_ms,
            estimator.base_ms,
            copy_tokens_per_ms or DEFAULT_COPY_TOKENS_PER_MS,
            store_tokens_per_ms or DEFAULT_STORE_TOKENS_PER_MS,
        )

    def record_target_loss(
        self, target: Target, lost_at: float, identities: Iterable[bytes]
    ) -> None:
        """Record that a target ended while it ran a request with these identities."""
        if target.is_leaving:
            # The end of a target that leaves is planned, and its runs are cut with it.
            return
        self.crash_watch.record_loss(boot_time(), target.target_id, lost_at, identities)
        self.schedule_report()

    def cache_tokens(self, target: Target) -> int:
        """Return the cache capacity of an engine in tokens, 0 for a plain target."""
        service = self.routes.service(target.listed.service) if self.routes else None
        if service is None or service.engine is None:
            return 0
        return service.engine.cache_tokens

    def set_router_count(self, router_count: int) -> None:
        """Apply the number of routers among which limits are divided."""
        now, share = boot_time(), self.retries.share
        shared_by = self.sending_router_count
        self._router_counts.replace(now, self.router_count)
        self.router_count = max(1, router_count)
        self.is_roster_known = True
        if self.retries.share != share:
            self.log.info(
                "retry_share",
                share=self.retries.share,
                was=share,
                routers=self.sending_router_count,
                routers_were=shared_by,
                age_s=now - self.started_at,
            )
        self.retries.resize()

    def _max_idle_connections(self, target: Target) -> int:
        """Return the number of connections that this router keeps to a target."""
        service = self.routes.service(target.listed.service) if self.routes else None
        limit = service.max_connections if service is not None else 0
        return max_idle_connections(self.settings, limit, self.sharing_router_count)
