"""Router process of a fleet: serves callers with the state that the leader sends."""

from __future__ import annotations

import os
from collections.abc import Callable

from berylnotch.daemon.fleet.follower import LeaderLink
from berylnotch.daemon.fleet.metrics import MetricsServer
from berylnotch.daemon.fleet.reports import REPORT_S, LeaderReports
from berylnotch.daemon.fleet.updates import (
    apply_crashes,
    apply_limits,
    apply_loads,
    apply_prompt_notes,
    apply_roster,
    apply_speeds,
    apply_targets,
)
from berylnotch.entry.context import EXPECTED_STARTUP_S, EntryContext
from berylnotch.entry.exchange import Exchange
from berylnotch.entry.quota_gate import QuotaGate
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.settings import EntrySettings
from berylnotch.entry.startup_buffer import StartupBuffer
from berylnotch.entry.targets import TargetTable
from berylnotch.group.columns import NumberedTargets
from berylnotch.group.messages import (
    ConfigurationUpdate,
    CrashesUpdate,
    LoadColumns,
    NoteRecords,
    RetryReply,
    RetryRequest,
    RosterUpdate,
    RouterEntry,
    TargetsUpdate,
    TokenReply,
    VersionReply,
)
from berylnotch.membership.answers import answer_addresses
from berylnotch.membership.departure import StopSchedule, plan_stop
from berylnotch.membership.suspension import SuspensionWatch
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.net.reading import HttpLimits
from berylnotch.net.refusal_log import RefusalLog
from berylnotch.net.request_limits import request_limits
from berylnotch.net.request_memory import RequestMemory
from berylnotch.net.response_memory import ResponseMemory, response_limits
from berylnotch.net.server import HttpServer, ServerConnection
from berylnotch.placement.cache_model import CacheModel
from berylnotch.platform.configuration import decode_held_configuration
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
from berylnotch.settings.fleet import FleetBounds, FleetSettings
from berylnotch.transport.link import LinkSettings
from berylnotch.util.clock import boot_time
from berylnotch.util.coalesced_action import CoalescedAction
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Label, Metrics

#: Interval in seconds between two checks of the requests that wait for tokens.
QUOTA_CHECK_INTERVAL_S = 0.05

#: Seconds for which callers may cache the list of router addresses. Some callers
#: cache it three times as long, so a draining router accepts requests for three
#: times this duration.
ADDRESS_TTL_S = 1.2

#: Longest time for which callers cache an address list, as a multiple of its TTL.
MAX_TTL_FACTOR = 3

#: Seconds without a new connection after which a draining router may stop. Requests
#: that were in transit arrive within this period.
QUIET_PERIOD_S = 0.25

#: Seconds that open connections for readiness and addresses get at the end of a stop.
#: Their requests are answered at once, so only responses in transit need time.
STATUS_FLUSH_S = 0.1

#: Interval in seconds between two checks whether a stopping router has drained.
DRAIN_CHECK_INTERVAL_S = 0.05

#: Shortest retry delay in seconds that a router without a configuration returns to
#: callers.
MIN_RETRY_AFTER_S = 0.3

#: Seconds from the first event of a stream until its record is sent to the leader. The
#: delay gathers streams that begin at about the same time into one message.
RECORD_DELAY_S = 0.02

#: Interval in seconds between two sweeps that close idle connections to targets.
IDLE_CLOSE_INTERVAL_S = 1.0


class FleetRouter:
    """Router process on an entry VM.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    seeds : callable
        Returns the addresses of the controllers to contact first.
    loop : Loop
        Event loop of the process.
    log : EventLog
        Log of the process.
    bounds : callable, optional
        Returns the newest limits of the fleet, from which a stop takes its time. By
        default these are the limits of ``settings``.
    """

    def __init__(
        self,
        settings: FleetSettings,
        seeds: Callable[[], tuple[str, ...]],
        loop: Loop,
        log: EventLog,
        bounds: Callable[[], FleetBounds] | None = None,
    ) -> None:
        self._settings = settings
        self._newest_bounds = bounds or (lambda: settings.bounds)
        self._loop = loop
        self._log = log
        self.metrics = Metrics()
        entry_settings = EntrySettings()
        gate = QuotaGate(
            LocalQuota(FLEET_QUOTA, settings.bounds.quota_window_s),
            entry_settings.quota_wait_s,
            entry_settings.resumption_wait_s,
        )
        self._quota_checks = CoalescedAction(loop, self._check_quota, lambda: 0.0)
        self._retry_checks = CoalescedAction(loop, self._check_retries, lambda: 0.0)
        self._context = EntryContext(
            settings=entry_settings,
            fleet=settings,
            loop=loop,
            log=log,
            metrics=self.metrics,
            targets=TargetTable(loop, entry_settings),
            gate=gate,
            prompts=CacheModel(),
            ask_quota=self._quota_checks.schedule,
            ask_retries=self._retry_checks.schedule,
            response_memory=ResponseMemory(response_limits(settings.memory_mb)),
        )
        self._started_at = boot_time()
        self._suspension_watch = SuspensionWatch(self._started_at)
        self._startup_buffer = StartupBuffer(
            loop, self._started_at + EXPECTED_STARTUP_S, self._admit_request
        )
        self._incarnation = os.urandom(8).hex()
        self._roster: dict[str, RouterEntry] = {}
        self._numbered_targets = NumberedTargets()
        self._is_leaving = False
        self._exchanges: set[Exchange] = set()
        self._quota_sent_at = 0.0
        self._targets_received_at = 0.0
        self._leader_link = LeaderLink(
            loop,
            seeds,
            lambda: self._reports.on_link_open(),
            self._on_leader_message,
            log,
            LinkSettings(),
            self._on_leader_found,
            lambda: self._suspension_watch.was_suspended(boot_time()),
        )
        self._reports = LeaderReports(
            self._context,
            self._incarnation,
            lambda: not self.is_ready,
            self._leader_link.send,
            self._numbered_targets,
        )
        self._context.schedule_report = self._reports.schedule
        self._context.has_other_routers = lambda: bool(self._other_routers)
        self._context.has_leader = lambda: self._leader_link.has_leader
        self._context.rollouts.leader_heard_at = lambda: (
            self._leader_link.leader_heard_at
        )
        self._context.send_to_leader = self._leader_link.send
        self._context.schedule_records = CoalescedAction(
            loop, self._context.streams.flush, lambda: RECORD_DELAY_S
        ).schedule
        limits = request_limits(settings.memory_mb, settings.max_fds)
        memory = RequestMemory(limits)
        refusals = RefusalLog(log.warning, self.metrics, "unreadable_request")
        self._caller_server = HttpServer(
            loop,
            settings.listen,
            self._serve,
            self._http_limits,
            refusals.record,
            self._on_unanswered_request,
            memory,
        )
        self._caller_server.is_memory_scarce = lambda: (
            self._context.response_memory.paused_count > 0
        )
        self._status_servers = [
            HttpServer(
                loop,
                address,
                self._serve_status,
                on_refused=refusals.record,
                memory=memory,
                is_control=True,
            )
            for address in {settings.ready, settings.directory} - {None}
        ]
        self._metrics_server = MetricsServer(
            loop,
            settings.metrics,
            self.metrics,
            self._update_gauges,
            memory,
            refusals.record,
        )

    @property
    def _other_routers(self) -> list[str]:
        """Addresses of the other routers that take callers."""
        own_address = str(self._settings.listen)
        return [address for address in self._roster if address != own_address]

    @property
    def _address_ttl_s(self) -> float:
        """Seconds for which address answers are valid."""
        return min(ADDRESS_TTL_S, self._settings.bounds.address_ttl_s)

    @property
    def is_ready(self) -> bool:
        """Whether this router has a configuration and is not leaving."""
        return self._context.routes is not None and not self._is_leaving

    def start(self) -> None:
        """Start the servers, the link to the leader and the timers."""
        self._caller_server.start()
        for server in self._status_servers:
            server.start()
        self._metrics_server.start()
        self._leader_link.start()
        self._reports.start()
        self._loop.call_every(
            QUOTA_CHECK_INTERVAL_S, lambda: self._suspension_watch.tick(boot_time())
        )
        self._loop.call_every(QUOTA_CHECK_INTERVAL_S, self._check_quota)
        self._loop.call_every(QUOTA_CHECK_INTERVAL_S, self._check_retries)
        self._loop.call_every(QUOTA_CHECK_INTERVAL_S, self._check_target_limits)
        self._loop.call_every(
            IDLE_CLOSE_INTERVAL_S, self._context.targets.close_expired
        )
        self._log.info("started", callers=self._settings.listen)

    def drain(self, done: Callable[[], None], signal_at: float) -> None:
        """Accept requests until no caller caches this address, then stop.

        Parameters
        ----------
        done : callable
            Called when all answers are delivered, or shortly before the stop deadline.
        signal_at : float
            Boot time in seconds of the signal, from which the deadline counts.
        """
        self._is_leaving = True
        stop_s = self._newest_bounds().stop_s
        stop = self._context.stop = plan_stop(
            self._suspension_watch.earliest_sent_at(signal_at),
            stop_s,
            self._address_ttl_s * MAX_TTL_FACTOR + REPORT_S,
        )
        end_by = stop.answer_by + self._context.settings.deadline_grace_s

        def check_drained() -> None:
            now = boot_time()
            if now < end_by and not self._has_drained(now, stop):
                delay_s = min(DRAIN_CHECK_INTERVAL_S, end_by - now)
                self._loop.call_later(delay_s, check_drained)
                return
            self._end_stop(stop, done)

        # An error in what follows must not keep the process from ending.
        self._loop.call_soon(check_drained)
        self._caller_server.is_draining = True
        self._startup_buffer.release_all()
        self._reports.send()
        self._log.info(
            "draining",
            requests=len(self._exchanges),
            stop_s=stop_s,
            suspended_s=boot_time() - stop.began_at,
        )
        for exchange in tuple(self._exchanges):
            exchange.on_stop_planned()

    def _end_stop(self, stop: StopSchedule, done: Callable[[], None]) -> None:
        """End the remaining requests, and deliver the last answers."""
        counts = self._caller_server.connection_counts()
        self._log.info(
            "drained",
            requests=len(self._exchanges),
            left_s=stop.exit_by - boot_time(),
            idle=counts["idle"],
            reading=counts["reading"],
            sending=counts["sending"],
        )
        for exchange in tuple(self._exchanges):
            exchange.stop()
        self._caller_server.finish(
            stop.close_by, lambda: self._finish_status(stop, done)
        )

    def _finish_status(self, stop: StopSchedule, done: Callable[[], None]) -> None:
        """Deliver the last answers about readiness and addresses."""
        close_by = min(stop.close_by, boot_time() + STATUS_FLUSH_S)
        unfinished = set(self._status_servers)

        def finish(server: HttpServer) -> None:
            def on_finished() -> None:
                unfinished.discard(server)
                if not unfinished:
                    done()

            server.finish(close_by, on_finished)

        for server in self._status_servers:
            finish(server)
        if not self._status_servers:
            done()

    def _has_drained(self, now: float, stop: StopSchedule) -> bool:
        """Whether no caller uses this router any more."""
        server = self._caller_server
        is_quiet = now - server.accepted_at >= QUIET_PERIOD_S
        has_requests = self._exchanges or server.active_connection_count
        return now >= stop.accept_until and is_quiet and not has_requests

    def close(self) -> None:
        """Close the link to the leader and the server for callers."""
        self._leader_link.close()
        self._caller_server.close()

    # Callers.

    def _http_limits(self) -> HttpLimits:
        routes = self._context.routes
        return routes.configuration.limits if routes is not None else HttpLimits()

    def _on_unanswered_request(self, request: HttpRequest) -> None:
        self._log.warning(
            "request_unanswered",
            id=decode_request(request).request_id,
            read_age_s=boot_time() - request.read_at,
        )
        self.metrics.count("berylnotch_unanswered_requests_total")

    @property
    def _has_targets(self) -> bool:
        return self._context.routes is not None and self._targets_received_at > 0

    def _serve(self, connection: ServerConnection, request: HttpRequest) -> None:
        if not self._has_targets and not self._is_leaving:
            deadline_s = decode_request(request).deadline_s
            if self._startup_buffer.add(connection, request, deadline_s):
                return
        self._admit_request(connection, request)

    def _admit_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        routes = self._context.routes
        caller = decode_request(request)
        if routes is None:
            retry_s = self._startup_retry_s()
            self._refuse(
                connection, caller.request_id, 503, "no configuration", retry_s
            )
            return
        route = routes.route(caller.host, request.path)
        if route is None:
            self._refuse(connection, caller.request_id, 404, "no route")
            return
        organisation = None
        if routes.needs_keys and not route.is_open:
            organisation = routes.organisation(caller.key)
            if organisation is None:
                self._refuse(connection, caller.request_id, 401, "unknown key")
                return
        if caller.chain.problem:
            self._log.warning(
                "prompt_parts_unusable",
                id=caller.request_id,
                reason=caller.chain.problem,
            )
        routed = RoutedRequest(request, caller, route, organisation)
        exchange = Exchange(self._context, connection, routed, self._exchanges.discard)
        self._exchanges.add(exchange)
        exchange.start()

    def _startup_retry_s(self) -> float:
        """Return the retry delay for callers while there is no configuration."""
        if self._context.stop is not None:
            return self._context.stopping_retry_s()
        starts_at = self._started_at + EXPECTED_STARTUP_S
        return max(MIN_RETRY_AFTER_S, starts_at - boot_time())

    def _refuse(
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

    def _serve_status(self, connection: ServerConnection, request: HttpRequest) -> None:
        if request.path == READY_PATH:
            connection.respond(200 if self.is_ready else 503, Headers())
        elif request.path == ADDRESS_PATH:
            self._serve_addresses(connection, request)
        else:
            connection.respond(404, Headers())

    def _serve_addresses(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        own_address = str(self._settings.listen)
        addresses = answer_addresses(own_address, self.is_ready, self._other_routers)
        if not addresses:
            connection.respond(503, Headers())
            return
        body = address_body(addresses, self._address_ttl_s)
        headers = Headers((("Content-Type", "application/json"),))
        connection.respond(200, headers, body)

    # Messages from the leader.

    def _on_leader_found(self) -> None:
        # The previous leader may have stopped before it answered the last requests for
        # tokens.
        self._context.gate.quota.restart()
        self._context.retries.restart()
        self._context.target_limits.restart()
        self._check_quota()
        self._check_retries()
        self._check_target_limits()

    def _on_leader_message(self, message: object) -> None:
        if isinstance(message, ConfigurationUpdate):
            self._apply_configuration(message)
        elif isinstance(message, TargetsUpdate):
            self._targets_received_at = boot_time()
            self._numbered_targets.store_numbers(message)
            if self._context.streams.set_mixed_services(
                boot_time(), message.mixed_services
            ):
                self._reports.send()
            apply_targets(self._context, message)
            self._release_buffered_requests()
        elif isinstance(message, RosterUpdate):
            if message.is_whole:
                self._roster = {}
            for address in message.gone:
                self._roster.pop(address, None)
            self._roster.update((entry.address, entry) for entry in message.routers)
            apply_roster(self._context, len(self._roster))
        elif isinstance(message, LoadColumns):
            update = self._numbered_targets.loads(message)
            if update is not None:
                apply_loads(self._context, update, self._reports.sent_loads)
                apply_speeds(self._context, self._numbered_targets.speeds(message))
                self._context.capacity.on_loads(self._context.targets.of)
        elif isinstance(message, GrantReply):
            self._context.gate.receive(boot_time(), self._quota_sent_at, message)
        elif isinstance(message, TokenReply):
            self._context.target_limits.receive(boot_time(), message.reply)
        elif isinstance(message, RetryReply):
            self._context.retries.receive(boot_time(), message.reply)
        elif isinstance(message, VersionReply):
            self._context.streams.receive(message)
        elif isinstance(message, CrashesUpdate):
            if apply_crashes(self._context, message):
                for exchange in tuple(self._exchanges):
                    exchange.on_refusals_changed()
        elif isinstance(message, NoteRecords):
            apply_prompt_notes(self._context, self._numbered_targets.notes(message))

    def _release_buffered_requests(self) -> None:
        if len(self._startup_buffer) and self._has_targets:
            self._log.info("early_requests", count=len(self._startup_buffer))
            self._startup_buffer.release_all()

    def _apply_configuration(self, update: ConfigurationUpdate) -> None:
        current = self._context.routes
        if current is not None and update.version <= current.version:
            return
        self._context.routes = RouteTable(
            decode_held_configuration(update.content), update.cache_generation
        )
        self._log.info(
            "configuration",
            version=update.version,
            was=current.version if current else 0,
            routes=len(self._context.routes.configuration.routes),
            cache_generation=update.cache_generation,
        )
        self._context.streams.set_longest_timeout(
            self._context.routes.configuration.longest_timeout_s
        )
        apply_limits(self._context)
        self._reports.send()
        self._release_buffered_requests()

    # Quota of the organisations.

    def _check_quota(self) -> None:
        gate, now = self._context.gate, boot_time()
        gate.serve(now)
        self._context.streams.serve(now)
        if now < gate.quota.next_ask_at:
            return
        request = gate.request(
            now,
            self._settings.name,
            self._incarnation,
            str(self._settings.listen),
            self._settings.failure_domain,
        )
        if not request.asks and not gate.quota.must_ask:
            gate.quota.withdraw()
            return
        self._quota_sent_at = now
        self._leader_link.send(request)

    def _check_retries(self) -> None:
        retries, now = self._context.retries, boot_time()
        retries.serve(now)
        request = retries.request(now, self._settings.name, self._incarnation)
        if request is not None:
            self._leader_link.send(RetryRequest(request))

    def _check_target_limits(self) -> None:
        limits, now = self._context.target_limits, boot_time()
        had_owner = limits.has_owner
        limits.serve(now)
        if had_owner and not limits.has_owner:
            self._log.warning(
                "target_limits_uncoordinated",
                targets=",".join(t.target_id for t in limits.limited_targets()),
                routers=self._context.sending_router_count,
            )
        if limits.is_ask_due(now):
            self._reports.schedule()

    def _update_gauges(self) -> None:
        context, metrics = self._context, self.metrics
        version = context.routes.version if context.routes else 0
        metrics.gauge("berylnotch_configuration_version", float(version))
        metrics.gauge("berylnotch_ready", float(self.is_ready))
        metrics.gauge("berylnotch_has_leader", float(self._leader_link.has_leader))
        metrics.gauge(
            "berylnotch_leader_heard_seconds", self._leader_link.leader_silence_s
        )
        metrics.gauge("berylnotch_requests_under_way", float(len(self._exchanges)))
        memory = self._context.response_memory
        metrics.gauge("berylnotch_held_response_bytes", float(memory.total_bytes))
        metrics.gauge("berylnotch_paused_responses", float(memory.paused_count))
        waiting_count = float(context.capacity.waiting_count)
        metrics.gauge("berylnotch_waiting_requests", waiting_count)
        for service, load in context.capacity.full_loads().items():
            metrics.gauge("berylnotch_full_load", load, Label("service", service))
        metrics.gauge("berylnotch_log_lines_dropped", float(self._log.dropped))
        targets_age_s = boot_time() - (self._targets_received_at or self._started_at)
        metrics.gauge("berylnotch_targets_heard_seconds", targets_age_s)
        refused_count = float(len(context.crash_watch.refused))
        metrics.gauge("berylnotch_refused_causes", refused_count)
        for service, budget in context.retries.balances(boot_time()).items():
            metrics.gauge("berylnotch_retry_budget", budget, Label("service", service))
        context.speeds.update_gauges(metrics)
        for name, version in context.announced_weights.versions().items():
            metrics.gauge(
                "berylnotch_weights_version", float(version), Label("model", name)
            )
