"""Services of the leading controller other than the replicated log."""

from __future__ import annotations

from attrs import evolve

from berylnotch.daemon.fleet.crash_judge import CrashJudge
from berylnotch.daemon.fleet.leader_quotas import LeaderQuotas
from berylnotch.daemon.fleet.list_changes import report_list_changes
from berylnotch.daemon.fleet.notes import NoteFilter
from berylnotch.daemon.fleet.order_lease import OrderLease
from berylnotch.daemon.fleet.organisation_limits import OrganisationLimits
from berylnotch.daemon.fleet.registry import RouterRegistry
from berylnotch.daemon.fleet.replica_host import ReplicaHost
from berylnotch.daemon.fleet.rollout_times import RolloutTimes
from berylnotch.daemon.fleet.service_rollouts import ServiceRollouts
from berylnotch.daemon.fleet.stores import StoreMonitor
from berylnotch.daemon.fleet.stream_versions import StreamVersions
from berylnotch.daemon.fleet.watch import TargetListReader
from berylnotch.daemon.fleet.weights import WeightsRollout
from berylnotch.entry.settings import EntrySettings
from berylnotch.group.columns import is_store
from berylnotch.group.messages import RouterReport, TargetEntry, TargetsUpdate
from berylnotch.group.state import FleetState
from berylnotch.membership.announced_weights import AnnouncedWeights
from berylnotch.membership.inventory import TargetInventory
from berylnotch.membership.listing import ListedTarget
from berylnotch.membership.rollout_judge import assess
from berylnotch.platform.configuration import decode_held_configuration
from berylnotch.settings.fleet import FleetSettings
from berylnotch.transport.link import Link
from berylnotch.util.clock import boot_time
from berylnotch.util.coalesced_action import CoalescedAction
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds for which a new leader collects reports of routers before it sends its
#: roster; the roster determines the routers that callers are directed to.
ROSTER_DELAY_S = 1.5

#: Seconds, multiplied by the number of routers, for which changes of the roster are
#: collected into one message. Without batches, a restart of all routers would send one
#: message for each router to all the others.
ROSTER_BATCH_PER_ROUTER_S = 0.0005

#: Term of a group's first leader; no earlier leader can have sent orders.
FIRST_LEADER_TERM = 2

#: Seconds between two updates with the sums of the routers' loads, multiplied by the
#: number of routers, so that control messages stay within their share of a link's
#: bandwidth in large fleets.
LOADS_INTERVAL_PER_ROUTER_S = 0.002

#: Seconds for which changes of targets are collected into one message; a small part of
#: the time limit within which routers must receive them.
TARGETS_BATCH_S = 0.01

#: Seconds, multiplied by the number of routers, for which pages of a new leader's first
#: target list are collected into one message: limits the leader to about 1,000 such
#: messages per second.
PAGES_BATCH_PER_ROUTER_S = 0.001

#: Seconds, multiplied by the number of routers, for which prompt notes are collected
#: into one message: limits the leader to about 1,400 such messages per second.
PROMPTS_PER_ROUTER_S = 0.0007

#: Seconds, multiplied by the number of routers, for which changes of suspects are
#: collected into one message. All routers report losses to a new leader at once.
CRASHES_BATCH_PER_ROUTER_S = 0.001

#: Shortest time in seconds for which prompt notes are collected: several times the
#: latency of a network hop.
MIN_PROMPTS_S = 0.01

#: Shortest and longest interval between two updates of the load sums, in seconds.
MIN_LOADS_INTERVAL_S, MAX_LOADS_INTERVAL_S = 0.1, 0.5


class Leader:
    """Services that a controller runs during one term of leadership.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    loop : Loop
        Event loop that runs all callbacks.
    host : ReplicaHost
        Replica that commits commands and tells whether it has the lease.
    state : FleetState
        Replicated state.
    announced_weights : AnnouncedWeights
        Announced versions of weights, with the times of their announcement.
    rollout_times : RolloutTimes
        Ages of the rollouts of software versions.
    log : EventLog
        Log of the process.
    is_first_in_term : bool, default=True
        Whether this controller did not lead before in its present term.
    """

    def __init__(
        self,
        settings: FleetSettings,
        loop: Loop,
        host: ReplicaHost,
        state: FleetState,
        announced_weights: AnnouncedWeights,
        rollout_times: RolloutTimes,
        log: EventLog,
        is_first_in_term: bool = True,
    ) -> None:
        self._settings = settings
        self._loop = loop
        self._host = host
        self._state = state
        self._announced_weights = announced_weights
        self._log = log
        self._inventory = TargetInventory()
        self._roster_pushes = CoalescedAction(
            loop,
            lambda: self.registry.push_roster(),
            lambda: ROSTER_BATCH_PER_ROUTER_S * self.registry.count,
        )
        self._crash_pushes = CoalescedAction(
            loop,
            lambda: self.registry.push_crashes(self._crash_judge.update),
            lambda: CRASHES_BATCH_PER_ROUTER_S * self.registry.count,
        )
        self.registry = RouterRegistry(state, log, self._roster_pushes.schedule)
        self._crash_judge = CrashJudge(
            EntrySettings().membership,
            loop,
            state,
            host.propose,
            self._crash_pushes.schedule,
            log,
        )
        self._prompt_pushes = CoalescedAction(
            loop,
            self._push_notes,
            lambda: max(MIN_PROMPTS_S, PROMPTS_PER_ROUTER_S * self.registry.count),
        )
        self._target_pushes = CoalescedAction(
            loop, self._push_targets_now, lambda: TARGETS_BATCH_S
        )
        self._page_pushes = CoalescedAction(
            loop,
            self._push_pages,
            lambda: max(
                TARGETS_BATCH_S, PAGES_BATCH_PER_ROUTER_S * self.registry.count
            ),
        )
        # Without a configuration no router has served a request. Operators may put one
        # before the services of the group's first leader start.
        is_first_term = host.term <= FIRST_LEADER_TERM and is_first_in_term
        is_first = is_first_term or state.version == 0
        self.stream_versions = StreamVersions(
            loop,
            state,
            host.propose,
            host.is_active,
            self.registry.is_recording,
            is_first,
            self._on_usable_targets_changed,
            log,
        )
        self.service_rollouts = ServiceRollouts(
            settings.bounds,
            loop,
            state,
            rollout_times,
            host.propose,
            host.is_active,
            lambda: self.registry.reports,
            self._push_targets_now,
            assess,
            log,
        )
        self._applied_revision: int | None = None
        #: Targets from pages of the first list that are not sent yet.
        self._unsent_page_targets: list[ListedTarget] = []
        self._note_filter = NoteFilter(self._cache_capacity)
        self._service_cache_tokens: dict[str, int] = {}
        self.quotas = LeaderQuotas(
            settings.bounds,
            host.term,
            is_first,
            lambda: self.registry.recent_count,
        )
        self.limits = OrganisationLimits(
            settings.bounds,
            loop,
            state,
            host.propose,
            host.is_active,
            settings.name,
            is_first,
            log,
        )
        self._limits_version = 0
        self._cache_generation = state.cache_sharing.generation
        self._is_closed = False
        self._order_lease = OrderLease(
            settings,
            loop,
            state,
            host.propose,
            host.term,
            lambda: self._rollout.advance(),
            log,
        )
        self._rollout = WeightsRollout(
            loop,
            self._inventory,
            announced_weights,
            self._order_lease,
            host.is_active,
            self.registry.requests,
            self.registry.long_requests,
            self.registry.unreachable,
            settings.name,
            host.term,
            settings.bounds.weights_s,
            self.push_targets,
            log,
        )
        self._store_monitor = StoreMonitor(loop, self.push_targets, log)
        self._target_list_reader: TargetListReader | None = None
        if settings.target_list is not None:
            self._target_list_reader = TargetListReader(
                loop,
                settings.target_list,
                settings.target_list_period_s,
                settings.target_list_rate,
                self._on_page,
                self._on_list,
                log,
            )

    @property
    def notes_dropped(self) -> int:
        """Number of prompt notes that were not forwarded to the routers."""
        return self._note_filter.dropped

    @property
    def inventory(self) -> TargetInventory:
        """Targets of the newest list, with the weights that they are loading."""
        return self._inventory

    @property
    def skipped_entries(self) -> int:
        """Number of entries of the target list that describe no usable target."""
        reader = self._target_list_reader
        return reader.skipped_count if reader is not None else 0

    def start(self) -> None:
        """Start the services of the leader."""
        if self._target_list_reader is not None:
            self._target_list_reader.start()
        self._loop.call_later(ROSTER_DELAY_S, self._complete_roster)
        self._loop.call_later(MIN_LOADS_INTERVAL_S, self._push_loads)

    def close(self) -> None:
        """Stop the services of the leader."""
        self._is_closed = True
        self._roster_pushes.close()
        self._crash_judge.close()
        self._crash_pushes.close()
        self.stream_versions.close()
        self.service_rollouts.close()
        self.limits.close()
        self._prompt_pushes.close()
        self._target_pushes.close()
        self._page_pushes.close()
        self._order_lease.close()
        self._rollout.close()
        self._store_monitor.close()
        if self._target_list_reader is not None:
            self._target_list_reader.close()

    def on_applied(self) -> None:
        """Derive limits and updates from the newly applied state."""
        self.stream_versions.on_applied()
        # Stream records are applied many times a second, and concern nothing below.
        if self._applied_revision == self._state.revision:
            return
        self._applied_revision = self._state.revision
        if self._state.version != self._limits_version:
            self._limits_version = self._state.version
            configuration = decode_held_configuration(self._state.content)
            self.limits.set_organisations(configuration.organisations or ())
            self._service_cache_tokens = {
                s.name: s.engine.cache_tokens
                for s in configuration.services
                if s.engine
            }
            self.stream_versions.set_longest_timeout(configuration.longest_timeout_s)
            self.service_rollouts.set_configuration(configuration)
            stores = {s.store_address for s in configuration.services}
            self._store_monitor.watch(stores - {""})
            self._log_cache_generation()
        self._crash_judge.on_applied()
        self.registry.push_crashes(self._crash_judge.update)
        self.registry.push_configuration()
        self.service_rollouts.on_applied()
        self.push_targets()
        self._rollout.advance()

    def _log_cache_generation(self) -> None:
        sharing = self._state.cache_sharing
        if sharing.generation == self._cache_generation:
            return
        self._log.info(
            "cache_generation",
            generation=sharing.generation,
            was=self._cache_generation,
            reason=sharing.reason,
        )
        self._cache_generation = sharing.generation

    def on_report(self, link: Link, report: RouterReport) -> None:
        """Process a router's report."""
        self.registry.on_report(link, report)
        self._crash_judge.on_report(report)
        self.quotas.pool_idle_retries(report)
        self.service_rollouts.on_report(report)
        if report.leaving and self._inventory.add_leaving_notices(
            report.name, report.leaving
        ):
            self._log.info(
                "targets_said_leaving",
                router=report.name,
                targets=",".join(sorted(self._inventory.announced_leaving())),
            )
            self.push_targets()
        self._record_limits(report)
        if report.token_request is not None:
            self.quotas.answer_token_request(
                link, report.token_request, self._inventory.limits()
            )
        if report.prompts:
            self._prompt_pushes.schedule()

    def _record_limits(self, report: RouterReport) -> None:
        changes = self._inventory.add_limit_notices(boot_time(), report.limits)
        for notice in changes:
            self._log.info(
                "target_limit",
                router=report.name,
                target=notice.target_id,
                born_ms=notice.born_ms,
                limit_per_s=notice.per_s,
                age_s=notice.age_ms / 1000,
            )
        if changes:
            self.push_targets()

    def _push_notes(self) -> None:
        notes = self.registry.take_notes()
        self.registry.push_notes(self._note_filter.select_notes(boot_time(), notes))

    def _cache_capacity(self, holder: str) -> int | None:
        """Return the cache capacity of an engine in tokens; None for a store."""
        if is_store(holder):
            return None
        target = self._inventory.target(holder)
        return (
            self._service_cache_tokens.get(target.service, 0)
            if target is not None
            else 0
        )

    def push_targets(self) -> None:
        """Send changed targets to the routers with the next batch."""
        self._target_pushes.schedule()

    def _push_targets_now(self) -> None:
        if self._inventory.listed_at is None:
            update = self._targets_update(())
            self.registry.push_policies(evolve(update, is_whole=False))
            return
        # A router serves the requests that wait for targets with the first update.
        if not self.registry.has_targets and self.stream_versions.is_listing:
            self._target_pushes.schedule()
        else:
            update = self._targets_update(self._inventory.entries())
            self.service_rollouts.count_engines(update.targets)
            self.registry.push_targets(update)

    def _push_pages(self) -> None:
        is_usable = self.stream_versions.is_usable
        targets, self._unsent_page_targets = self._unsent_page_targets, []
        self._unsent_page_targets = [t for t in targets if not is_usable(t)]
        entries = tuple(TargetEntry(t, is_loading=False) for t in targets)
        self.registry.push_pages(evolve(self._targets_update(entries), is_whole=False))

    def _targets_update(self, entries: tuple[TargetEntry, ...]) -> TargetsUpdate:
        usable = (e for e in entries if self.stream_versions.is_usable(e.target))
        return TargetsUpdate(
            tuple(self.service_rollouts.restrict(usable)),
            self._announced_weights.with_ages(boot_time()),
            self._store_monitor.down,
            mixed_services=self.stream_versions.mixed_services,
            rollouts=self.service_rollouts.policies,
        )

    def _on_usable_targets_changed(self) -> None:
        if self._inventory.listed_at is not None:
            self.push_targets()
        else:
            self._page_pushes.schedule()

    def _on_page(self, targets: tuple[ListedTarget, ...]) -> None:
        """Forward a page of the first target list that this leader reads.

        After a power loss, routers know no targets until a page arrives.
        """
        if not self._host.is_active():
            return
        self.stream_versions.on_page(targets)
        if self._inventory.listed_at is None:
            self._unsent_page_targets += targets
            self._page_pushes.schedule()

    def _on_list(self, targets: tuple[ListedTarget, ...]) -> None:
        if self._is_closed or not self._host.is_active():
            return
        is_first = self._inventory.listed_at is None
        previous = self._inventory.targets()
        self._page_pushes.close()
        self._inventory.replace_targets(boot_time(), targets)
        self.stream_versions.on_list(targets)
        report_list_changes(
            previous,
            self._inventory.targets(),
            self._note_filter.forget_engine,
            self._log,
        )
        if is_first and self._host.term > FIRST_LEADER_TERM:
            self._rollout.survey()
        self.push_targets()
        self._rollout.advance()

    def _complete_roster(self) -> None:
        if not self._is_closed:
            self.registry.complete_roster()

    def _push_loads(self) -> None:
        if self._is_closed:
            return
        interval_s = LOADS_INTERVAL_PER_ROUTER_S * self.registry.count
        interval_s = min(MAX_LOADS_INTERVAL_S, max(MIN_LOADS_INTERVAL_S, interval_s))
        self._loop.call_later(interval_s, self._push_loads)
        self.registry.push_loads()
        self._rollout.advance()
