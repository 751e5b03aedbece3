"""What the leading controller does beside its log."""

from __future__ import annotations

from attrs import evolve

from berylnotch.daemon.fleet.notes import NoteFilter
from berylnotch.daemon.fleet.order_right import OrderRight
from berylnotch.daemon.fleet.registry import RouterRegistry
from berylnotch.daemon.fleet.replica_host import ReplicaHost
from berylnotch.daemon.fleet.stores import StoreWatch
from berylnotch.daemon.fleet.watch import TargetWatch
from berylnotch.daemon.fleet.weights import WeightsRollout
from berylnotch.group.columns import is_store
from berylnotch.group.messages import RouterReport, TargetEntry, TargetsUpdate
from berylnotch.group.state import FleetState
from berylnotch.membership.board import TargetBoard
from berylnotch.membership.listing import ListedTarget
from berylnotch.membership.naming import WeightsNames
from berylnotch.platform.configuration import decode_configuration
from berylnotch.quota.bounds import FLEET_QUOTA, effective_limits
from berylnotch.quota.messages import GrantRequest
from berylnotch.quota.owner import QuotaOwner
from berylnotch.settings.fleet import FleetSettings
from berylnotch.transport.link import Link
from berylnotch.util.clock import boot_time
from berylnotch.util.gathering import Gathering
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds that routers have to report to a new leader before callers are led by
#: its roster.
ROSTER_S = 1.5

#: Seconds in which changes of the roster are gathered, for each router. When all start
#: again, each of them is a change that goes to all the others.
ROSTER_PER_ROUTER_S = 0.0005

#: Term of a group's first leader, before which there was none to give orders.
FIRST_LEADER_TERM = 2

#: Seconds between two sums of the routers' loads, for each router: with many of them
#: the messages of control stay within their share of a link.
LOADS_PER_ROUTER_S = 0.002

#: Seconds in which changes of targets are gathered into one message; a small part of
#: the time in which routers must know of them.
PUSH_S = 0.01

#: Seconds in which pages of the first list are gathered, for each router: the leader
#: sends about 1,000 messages with them a second at the most.
PAGES_PER_ROUTER_S = 0.001

#: Seconds in which notes of prompts are gathered, for each router: the leader sends
#: about 1,400 messages with them a second at the most.
PROMPTS_PER_ROUTER_S = 0.0007

#: Shortest time in which they are gathered, in seconds: some times that of a hop.
MIN_PROMPTS_S = 0.01

#: Shortest and longest time between two sums, in seconds.
MIN_LOADS_S, MAX_LOADS_S = 0.1, 0.5


class Leader:
    """Services of one term of leadership.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    loop : Loop
        Loop in which everything runs.
    host : ReplicaHost
        The log.
    state : FleetState
        Replicated state.
    names : WeightsNames
        When weights were named.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        settings: FleetSettings,
        loop: Loop,
        host: ReplicaHost,
        state: FleetState,
        names: WeightsNames,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._loop = loop
        self._host = host
        self._state = state
        self._names = names
        self._log = log
        self._board = TargetBoard()
        self._roster_pushes = Gathering(
            loop,
            lambda: self.registry.push_roster(),
            lambda: ROSTER_PER_ROUTER_S * self.registry.count,
        )
        self.registry = RouterRegistry(state, log, self._roster_pushes.soon)
        self._prompt_pushes = Gathering(
            loop,
            self._push_notes,
            lambda: max(MIN_PROMPTS_S, PROMPTS_PER_ROUTER_S * self.registry.count),
        )
        self._target_pushes = Gathering(loop, self._push_targets_now, lambda: PUSH_S)
        self._page_pushes = Gathering(
            loop,
            self._push_pages,
            lambda: max(PUSH_S, PAGES_PER_ROUTER_S * self.registry.count),
        )
        #: Targets of pages of the first list that were not sent yet.
        self._unsent: list[ListedTarget] = []
        self._notes = NoteFilter(self._cache_tokens)
        self._cache_sizes: dict[str, int] = {}
        self._quota = QuotaOwner(FLEET_QUOTA, host.term, boot_time())
        self._limits = {}
        self._limits_version = 0
        self._is_closed = False
        self._right = OrderRight(
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
            self._board,
            names,
            self._right,
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
        self._stores = StoreWatch(loop, self.push_targets, log)
        self._watch: TargetWatch | None = None
        if settings.target_list is not None:
            self._watch = TargetWatch(
                loop,
                settings.target_list,
                settings.target_list_period_s,
                settings.target_list_rate,
                self._take_page,
                self._take_list,
                log,
            )

    @property
    def notes_dropped(self) -> int:
        """Notes of prompts that were not passed on to the routers."""
        return self._notes.dropped

    @property
    def board(self) -> TargetBoard:
        """All targets."""
        return self._board

    def start(self) -> None:
        """Begin to lead."""
        if self._watch is not None:
            self._watch.start()
        self._loop.call_later(ROSTER_S, self._complete_roster)
        self._loop.call_later(MIN_LOADS_S, self._push_loads)

    def close(self) -> None:
        """Stop leading."""
        self._is_closed = True
        self._roster_pushes.close()
        self._prompt_pushes.close()
        self._target_pushes.close()
        self._page_pushes.close()
        self._right.close()
        self._rollout.close()
        self._stores.close()
        if self._watch is not None:
            self._watch.close()

    def applied(self) -> None:
        """Act on a changed state."""
        if self._state.version != self._limits_version:
            self._limits_version = self._state.version
            configuration = decode_configuration(self._state.content)
            self._limits = effective_limits(
                configuration.organisations or (), self._settings.bounds
            )
            self._cache_sizes = {
                s.name: s.engine.cache_tokens
                for s in configuration.services
                if s.engine
            }
            stores = {s.store_address for s in configuration.services}
            self._stores.watch(stores - {""})
        self.registry.push_configuration()
        self.push_targets()
        self._rollout.advance()

    def take_report(self, link: Link, report: RouterReport) -> None:
        """Take a router's report."""
        self.registry.take(link, report)
        if report.leaving and self._board.said_leaving(report.name, report.leaving):
            self._log.info(
                "targets_said_leaving",
                router=report.name,
                targets=",".join(sorted(self._board.leaving_by_word())),
            )
            self.push_targets()
        if report.prompts:
            self._prompt_pushes.soon()

    def _push_notes(self) -> None:
        notes = self.registry.take_notes()
        self.registry.push_notes(self._notes.take(boot_time(), notes))

    def _cache_tokens(self, holder: str) -> int | None:
        """Return the tokens that a holder's memory has room for; None for a store."""
        if is_store(holder):
            return None
        target = self._board.target(holder)
        return self._cache_sizes.get(target.service, 0) if target is not None else 0

    def grant(self, link: Link, request: GrantRequest) -> None:
        """Answer a router's request for tokens."""
        link.send(self._quota.grant(boot_time(), request, self._limits))

    def push_targets(self) -> None:
        """Send changed targets to the routers soon."""
        self._target_pushes.soon()

    def _push_targets_now(self) -> None:
        if self._board.listed_at is not None:
            self.registry.push_targets(self._update(self._board.entries()))

    def _push_pages(self) -> None:
        targets, self._unsent = self._unsent, []
        entries = tuple(TargetEntry(target, is_loading=False) for target in targets)
        self.registry.push_pages(evolve(self._update(entries), is_whole=False))

    def _update(self, entries: tuple[TargetEntry, ...]) -> TargetsUpdate:
        names = self._names.export(boot_time())
        return TargetsUpdate(entries, names, self._stores.down)

    def _take_page(self, targets: tuple[ListedTarget, ...]) -> None:
        """Pass on a page of the first list: after a power loss routers have none."""
        if self._board.listed_at is None and self._host.is_active():
            self._unsent += targets
            self._page_pushes.soon()

    def _take_list(self, targets: tuple[ListedTarget, ...]) -> None:
        if self._is_closed or not self._host.is_active():
            return
        is_first = self._board.listed_at is None
        before = {t.target_id: t for t in self._board.targets()}
        self._page_pushes.close()
        self._board.listed(boot_time(), targets)
        for target in self._board.targets():
            old = before.pop(target.target_id, None)
            if old is not None and old.born_ms != target.born_ms:
                self._notes.forget_engine(target.target_id)
            if old is None or old.is_leaving != target.is_leaving:
                self._log.info(
                    "target_listed",
                    target=target.target_id,
                    service=target.service,
                    at=target.address,
                    is_leaving=target.is_leaving,
                )
        for target_id in before:
            self._notes.forget_engine(target_id)
            self._log.info("target_gone", target=target_id)
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
        pause_s = LOADS_PER_ROUTER_S * self.registry.count
        pause_s = min(MAX_LOADS_S, max(MIN_LOADS_S, pause_s))
        self._loop.call_later(pause_s, self._push_loads)
        self.registry.push_loads()
        self._rollout.advance()
