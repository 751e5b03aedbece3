"""Router of a fleet: serves callers by what the leader tells it."""

from __future__ import annotations

import os
from collections.abc import Callable

from berylnotch.daemon.fleet.follower import LeaderLink
from berylnotch.daemon.fleet.metrics import MetricsServer
from berylnotch.daemon.fleet.reports import REPORT_S, LeaderReports
from berylnotch.daemon.fleet.updates import (
    share_limits,
    take_crashes,
    take_loads,
    take_prompts,
    take_targets,
)
from berylnotch.entry.admitted import Admitted
from berylnotch.entry.context import EntryContext
from berylnotch.entry.early import EarlyRequests
from berylnotch.entry.exchange import Exchange
from berylnotch.entry.quota_gate import QuotaGate
from berylnotch.entry.settings import EntrySettings
from berylnotch.entry.targets import TargetTable
from berylnotch.group.columns import NumberedTargets
from berylnotch.group.messages import (
    ConfigurationUpdate,
    CrashesUpdate,
    LoadColumns,
    NoteRecords,
    RosterUpdate,
    RouterEntry,
    TargetsUpdate,
)
from berylnotch.membership.answers import answer_addresses
from berylnotch.membership.crashes import CrashGuard
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.net.reading import HttpLimits
from berylnotch.net.server import HttpServer, ServerConnection
from berylnotch.placement.mirror import PromptMemory
from berylnotch.platform.configuration import decode_configuration
from berylnotch.platform.operators import (
    ADDRESS_PATH,
    READY_PATH,
    address_body,
)
from berylnotch.platform.requests import decode_request, refusal_headers
from berylnotch.quota.bounds import FLEET_QUOTA
from berylnotch.quota.local import LocalQuota
from berylnotch.quota.messages import GrantReply
from berylnotch.routing.table import RouteTable
from berylnotch.settings.fleet import FleetSettings
from berylnotch.transport.link import LinkSettings
from berylnotch.util.clock import boot_time
from berylnotch.util.gathering import Gathering
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Label, Metrics

#: Seconds between two looks at what waits for tokens.
QUOTA_S = 0.05

#: Seconds for which callers may keep an address answer. Some keep it three times
#: as long, and a stopping router takes requests until then.
ADDRESS_TTL_S = 1.2

#: How many times its lifetime callers keep an address answer at the most.
TTL_FACTOR = 3

#: Seconds without a new caller after which a leaving router may stop; a request that
#: was on its way has come by then.
QUIET_S = 0.25

#: Seconds in which the answers to the last requests leave the process.
LAST_ANSWERS_S = 0.1

#: Seconds before the end of the time to stop in which the process exits.
STOP_MARGIN_S = 0.7

#: Seconds from the start of a router until it usually has its configuration, also
#: when all controllers start with it and elect a leader first.
START_S = 1.6

#: Shortest time in seconds after which a caller shall come back to a router that
#: has no configuration yet.
MIN_RETRY_S = 0.3

#: Seconds between two closings of connections that were idle for too long.
IDLE_SWEEP_S = 1.0


class FleetRouter:
    """The process on an entry VM.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    seeds : callable
        Returns the addresses of controllers to ask first.
    loop : Loop
        Loop in which everything runs.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        settings: FleetSettings,
        seeds: Callable[[], tuple[str, ...]],
        loop: Loop,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._loop = loop
        self._log = log
        self.metrics = Metrics()
        entry_settings = EntrySettings()
        gate = QuotaGate(LocalQuota(FLEET_QUOTA), entry_settings.quota_wait_s)
        self._quota_looks = Gathering(loop, self._look_at_quota, lambda: 0.0)
        self._context = EntryContext(
            settings=entry_settings,
            fleet=settings,
            loop=loop,
            log=log,
            metrics=self.metrics,
            targets=TargetTable(loop, entry_settings),
            gate=gate,
            prompts=PromptMemory(),
            crashes=CrashGuard(entry_settings.membership),
            ask_quota=self._quota_looks.soon,
        )
        self._started_at = boot_time()
        self._early = EarlyRequests(
            loop, self._started_at + START_S, self._answer_caller
        )
        self._incarnation = os.urandom(8).hex()
        self._roster: dict[str, RouterEntry] = {}
        self._numbered = NumberedTargets()
        self._is_leaving = False
        self._exchanges: set[Exchange] = set()
        self._quota_sent_at = 0.0
        self._targets_at = 0.0
        self._link = LeaderLink(
            loop,
            seeds,
            lambda: self._reports.send(),
            self._take,
            log,
            LinkSettings(),
        )
        self._reports = LeaderReports(
            self._context,
            self._incarnation,
            lambda: not self.is_ready,
            self._link.send,
        )
        self._context.report_soon = self._reports.soon
        self._callers = HttpServer(
            loop, settings.listen, self._serve, self._limits, self._refused
        )
        self._side_servers = [
            HttpServer(loop, address, self._serve_side)
            for address in {settings.ready, settings.directory} - {None}
        ]
        self._metrics_server = MetricsServer(
            loop, settings.metrics, self.metrics, self._measure
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self._context.routes is not None and not self._is_leaving

    def start(self) -> None:
        """Serve."""
        self._callers.start()
        for server in self._side_servers:
            server.start()
        self._metrics_server.start()
        self._link.start()
        self._reports.start()
        self._loop.call_every(QUOTA_S, self._look_at_quota)
        self._loop.call_every(IDLE_SWEEP_S, self._context.targets.close_old)
        self._log.info("started", callers=self._settings.listen)

    def drain(self, done: Callable[[], None]) -> None:
        """Leave: take requests until no caller uses this address, then stop."""
        self._is_leaving = True
        self._early.hand_on()
        self._reports.send()
        self._log.info("draining", requests=len(self._exchanges))
        lifetime_s = ADDRESS_TTL_S * TTL_FACTOR + REPORT_S
        latest_s = max(0.0, self._settings.bounds.stop_s - STOP_MARGIN_S)
        now = boot_time()
        accept_until, latest = now + min(lifetime_s, latest_s), now + latest_s
        self._callers.is_draining = True

        def look() -> None:
            now = boot_time()
            is_done = now >= accept_until and not self._exchanges
            is_quiet = now - self._callers.accepted_at >= QUIET_S
            if is_done and is_quiet and self._callers.busy_count == 0 or now >= latest:
                self._log.info("drained", requests=len(self._exchanges))
                for exchange in tuple(self._exchanges):
                    exchange.stop()
                self._loop.call_later(LAST_ANSWERS_S, done)
                return
            self._loop.call_later(0.05, look)

        look()

    def close(self) -> None:
        """Stop serving."""
        self._link.close()
        self._callers.close()

    # Callers.

    def _limits(self) -> HttpLimits:
        routes = self._context.routes
        return routes.configuration.limits if routes is not None else HttpLimits()

    def _refused(self, status: int, reason: str) -> None:
        self._log.warning("unreadable_request", status=status, reason=reason)
        self.metrics.count(
            "berylnotch_unreadable_requests_total", Label("status", str(status))
        )

    @property
    def _knows_targets(self) -> bool:
        return self._context.routes is not None and self._targets_at > 0

    def _serve(self, connection: ServerConnection, request: HttpRequest) -> None:
        if not self._knows_targets and not self._is_leaving:
            deadline_s = decode_request(request).deadline_s
            if self._early.keep(connection, request, deadline_s):
                return
        self._answer_caller(connection, request)

    def _answer_caller(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        routes = self._context.routes
        caller = decode_request(request)
        if routes is None:
            retry_s = max(MIN_RETRY_S, self._started_at + START_S - boot_time())
            self._turn_away(
                connection, caller.request_id, 503, "no configuration", retry_s
            )
            return
        route = routes.route(caller.host, request.path)
        if route is None:
            self._turn_away(connection, caller.request_id, 404, "no route")
            return
        organisation = None
        if routes.needs_keys and not route.is_open:
            organisation = routes.organisation(caller.key)
            if organisation is None:
                self._turn_away(connection, caller.request_id, 401, "unknown key")
                return
        if caller.chain.problem:
            self._log.warning(
                "prompt_parts_unusable",
                id=caller.request_id,
                reason=caller.chain.problem,
            )
        admitted = Admitted(request, caller, route, organisation)
        exchange = Exchange(
            self._context, connection, admitted, self._exchanges.discard
        )
        self._exchanges.add(exchange)
        exchange.start()

    def _turn_away(
        self,
        connection: ServerConnection,
        request_id: str,
        status: int,
        reason: str,
        retry_s: float | None = None,
    ) -> None:
        routes = self._context.routes
        self._log.warning(
            "turned_away",
            id=request_id,
            status=status,
            reason=reason,
            configuration=routes.version if routes else 0,
        )
        connection.respond(status, refusal_headers(request_id, retry_s))

    def _serve_side(self, connection: ServerConnection, request: HttpRequest) -> None:
        if request.path == READY_PATH:
            connection.respond(200 if self.is_ready else 503, Headers())
        elif request.path == ADDRESS_PATH:
            self._answer_address(connection, request)
        else:
            connection.respond(404, Headers())

    def _answer_address(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        own = str(self._settings.listen)
        others = [address for address in self._roster if address != own]
        addresses = answer_addresses(own, self.is_ready, others)
        if not addresses:
            connection.respond(503, Headers())
            return
        ttl_s = min(ADDRESS_TTL_S, self._settings.bounds.address_ttl_s)
        body = address_body(addresses, ttl_s)
        headers = Headers((("Content-Type", "application/json"),))
        connection.respond(200, headers, body)

    # The leader.

    def _take(self, message: object) -> None:
        if isinstance(message, ConfigurationUpdate):
            self._take_configuration(message)
        elif isinstance(message, TargetsUpdate):
            self._targets_at = boot_time()
            self._numbered.take(message)
            take_targets(self._context, message)
            self._hand_on_early()
        elif isinstance(message, RosterUpdate):
            if message.is_whole:
                self._roster = {}
            for gone in message.gone:
                self._roster.pop(gone, None)
            self._roster.update((entry.address, entry) for entry in message.routers)
            self._context.resize_budgets(len(self._roster))
            share_limits(self._context)
        elif isinstance(message, LoadColumns):
            update = self._numbered.loads(message)
            if update is not None:
                take_loads(self._context, update, self._reports.sent_loads)
        elif isinstance(message, GrantReply):
            self._context.gate.receive(boot_time(), self._quota_sent_at, message)
        elif isinstance(message, CrashesUpdate):
            take_crashes(self._context, message.crashes)
        elif isinstance(message, NoteRecords):
            take_prompts(self._context, self._numbered.notes(message))

    def _hand_on_early(self) -> None:
        if len(self._early) and self._knows_targets:
            self._log.info("early_requests", count=len(self._early))
            self._early.hand_on()

    def _take_configuration(self, update: ConfigurationUpdate) -> None:
        known = self._context.routes
        if known is not None and update.version <= known.version:
            return
        self._context.routes = RouteTable(decode_configuration(update.content))
        self._log.info(
            "configuration",
            version=update.version,
            was=known.version if known else 0,
            routes=len(self._context.routes.configuration.routes),
        )
        share_limits(self._context)
        self._reports.send()
        self._hand_on_early()

    # Limits of the organisations.

    def _look_at_quota(self) -> None:
        gate, now = self._context.gate, boot_time()
        gate.serve(now)
        if now < gate.quota.next_ask_at:
            return
        request = gate.request(
            now,
            self._settings.name,
            self._incarnation,
            str(self._settings.listen),
            self._settings.failure_domain,
        )
        if not request.asks:
            gate.quota.withdraw()
            return
        self._quota_sent_at = now
        self._link.send(request)

    def _measure(self) -> None:
        context, metrics = self._context, self.metrics
        version = context.routes.version if context.routes else 0
        metrics.gauge("berylnotch_configuration_version", float(version))
        metrics.gauge("berylnotch_ready", float(self.is_ready))
        metrics.gauge("berylnotch_has_leader", float(self._link.has_leader))
        metrics.gauge("berylnotch_leader_heard_seconds", self._link.heard_s)
        metrics.gauge("berylnotch_requests_under_way", float(len(self._exchanges)))
        metrics.gauge("berylnotch_log_lines_dropped", float(self._log.dropped))
        targets_s = boot_time() - (self._targets_at or self._started_at)
        metrics.gauge("berylnotch_targets_heard_seconds", targets_s)
        for service, left in context.budgets_left().items():
            metrics.gauge("berylnotch_retry_budget", left, Label("service", service))
        for name, version in context.names.versions().items():
            metrics.gauge(
                "berylnotch_weights_version", float(version), Label("model", name)
            )
