"""Router process.

It serves callers and metrics, follows the control state and sends heartbeats.
"""

from __future__ import annotations

import math
import secrets
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from loguru import logger
from werkzeug import Response

from berylnotch.control.protocol import Refused, SyncRequest, WhyRequest
from berylnotch.control.view import View
from berylnotch.daemon.router.confirmation import LossConfirmation
from berylnotch.daemon.router.follower import Follower
from berylnotch.daemon.router.heartbeat import Heartbeat
from berylnotch.daemon.router.proposer import Proposer
from berylnotch.daemon.syncing import SyncServer
from berylnotch.gateways.transfers import Upstreams
from berylnotch.keys.freshness import Freshness
from berylnotch.membership.crashes import CrashGuard
from berylnotch.membership.departure import plan_stop
from berylnotch.membership.targets import TargetHealth
from berylnotch.net.refusal_log import RefusalLog
from berylnotch.net.request_limits import RequestLimits, request_limits
from berylnotch.net.request_memory import RequestMemory
from berylnotch.placement.placer import Placer
from berylnotch.quota.local import LocalQuota
from berylnotch.server.app import App
from berylnotch.server.context import Context
from berylnotch.server.engine import RequestPath
from berylnotch.server.handover import HttpServer
from berylnotch.server.polling import Polling
from berylnotch.transport.identity import (
    CALLER_KEY_NAME,
    STREAM_KEY_NAME,
    VM_PREFIX,
    identity_key,
    is_vm,
)
from berylnotch.transport.peers import Listener, Peers
from berylnotch.util.address import parse_address
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylnotch.settings.router import RouterSettings
    from berylnotch.util.address import Address

_SYNC_TICK_S = 0.1
#: Interval in seconds between checks whether a stopping router has no requests.
_DRAIN_POLL_S = 0.1
#: Longest time in seconds for which a stopping router that accepts no more connections
#: waits for the rest of requests.
_READ_LIMIT_S = 5.0

#: Limits on the input at the metrics port, which serves few small requests.
_METRICS_LIMITS = RequestLimits(
    small_bytes=1_000_000, large_bytes=64 * 1024, connections=128
)


def _warn(port: str, **fields: object) -> None:
    text = " ".join(f"{name}={value!r}" for name, value in fields.items())
    logger.warning("event=unreadable_request port={} {}", port, text)


class Router:
    """Router process; one event loop handles the control state, streams and sockets.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the process.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._incarnation = secrets.token_hex(6)
        self._loop = Loop("router")
        self._view = View()
        self._freshness = Freshness(settings.freshness_lease_s)
        self._quota = LocalQuota(settings.quota)
        self._metrics = Metrics()
        self._executor = ThreadPoolExecutor(2, thread_name_prefix="http")
        self._server_futures: list[Future[None]] = []
        self._stopping = threading.Event()

    @property
    def http_address(self) -> Address:
        """Address at which the router serves callers."""
        return self._http.address

    @property
    def address(self) -> Address:
        """Address at which the router serves other routers and operators."""
        return self._listener.address

    def start(self) -> None:
        """Start to follow the control state and to serve callers."""
        settings = self._settings
        self._loop.start()
        identity = VM_PREFIX + settings.name
        source = parse_address(settings.listen).host
        self._peers = Peers(self._loop, identity, self._key_of, source)
        self._follower = self._make_follower()
        self._heartbeat = Heartbeat(
            self._loop,
            self._peers,
            settings,
            self._quota,
            lambda: self._follower.leader_address,
            lambda: self._request_path.on_grant(),
            self._incarnation,
            lambda: self._view.version,
        )
        self._context = self._make_context()
        stream_secret = identity_key(settings.secret, STREAM_KEY_NAME)
        self._request_path = RequestPath(self._context, stream_secret)
        key_secret = identity_key(settings.secret, CALLER_KEY_NAME)
        app = App(self._context, self._request_path, key_secret, stream_secret)
        self._polling = Polling(self._context)
        self._sync_server = SyncServer(
            self._view, self._freshness.age_ms, lambda: self._follower.leader_address
        )
        self._listener = Listener(
            self._loop, parse_address(settings.listen), self._key_of, self._handle
        )
        refusals = RefusalLog(_warn, self._metrics, "callers")
        memory = RequestMemory(request_limits(settings.memory_mb))
        self._http = self._start_server(
            HttpServer(
                parse_address(settings.http),
                app,
                settings.max_body_bytes,
                memory,
                on_refused=refusals.record,
            )
        )
        self._request_memory = memory
        self._metrics_http = self._start_server(
            HttpServer(
                parse_address(settings.metrics),
                self._serve_metrics,
                0,
                RequestMemory(_METRICS_LIMITS),
                is_control=True,
                on_refused=RefusalLog(_warn, self._metrics, "metrics").record,
            )
        )
        self._listener.start()
        self._loop.call_soon(self._request_path.start)
        self._loop.call_every(
            _SYNC_TICK_S, lambda: self._sync_server.tick(time.monotonic())
        )
        self._loop.call_soon(self._polling.start)
        self._follower.start()
        self._heartbeat.start(str(self._http.address))
        logger.info(
            "event=router_started name={} http={} listen={} metrics={}",
            settings.name,
            self._http.address,
            self._listener.address,
            self._metrics_http.address,
        )

    def drain(self) -> None:
        """Stop gracefully: leave the address list, then finish all running requests.

        Returns when no request is running, or shortly before the end of the address
        answers' lifetime and ``stop_limit_s`` of the settings together.
        """
        self._heartbeat.set_leaving()
        # Without a configuration the router has no routes and no caller uses its
        # address, so there is no grace period.
        grace_period_s = self._view.fleet.address_keep_s if self._view.revision else 0.0
        # Stops last minutes here, so an answer that outlasts an estimate of its
        # duration still has most of the stop.
        stop = plan_stop(
            time.monotonic(),
            grace_period_s + self._settings.stop_limit_s,
            grace_period_s,
            max_estimate_s=math.inf,
        )
        logger.info(
            "event=router_leaving keep_s={} stop_s={}",
            grace_period_s,
            stop.exit_by - stop.began_at,
        )
        self._loop.call_soon(lambda: self._request_path.plan_stop(stop))
        self._http.start_draining()
        # Callers that received this address earlier may still connect.
        self._stopping.wait(stop.accept_until - time.monotonic())
        # Requests that are being read are still accepted; new connections are refused.
        read_limit_s = min(_READ_LIMIT_S, stop.answer_by - time.monotonic())
        self._http.close(read_limit_s)
        while self._request_path.running and time.monotonic() < stop.close_by:
            self._stopping.wait(_DRAIN_POLL_S)
        logger.info(
            "event=router_drained running={} left_s={:.3f}",
            self._request_path.running,
            stop.exit_by - time.monotonic(),
        )

    def close(self) -> None:
        """Stop immediately; a graceful stop calls `drain` first."""
        self._metrics_http.close(0.0)
        for server_future in self._server_futures:
            server_future.result()
        self._executor.shutdown()
        self._follower.close()
        self._heartbeat.close()
        self._listener.close()
        self._peers.close()
        self._loop.call_soon(self._context.upstreams.close)
        self._loop.close()
        logger.info("event=router_stopped name={}", self._settings.name)

    def _make_follower(self) -> Follower:
        settings = self._settings
        controllers = [c.address for c in settings.controllers]
        # Routers start with different controllers, so that no single controller serves
        # all routers.
        offset = sum(settings.name.encode()) % max(len(controllers), 1)
        sources = controllers[offset:] + controllers[:offset]
        own_address = settings.listen
        sources += [r.address for r in settings.routers if r.address != own_address]
        return Follower(
            self._loop,
            self._peers,
            tuple(sources),
            self._view,
            self._freshness,
            settings.name,
            self._incarnation,
            lambda: self._heartbeat.is_answered,
            self._on_view_change,
        )

    def _make_context(self) -> Context:
        settings = self._settings
        proposer = Proposer(
            self._loop, self._peers, settings, lambda: self._follower.leader_address
        )
        return Context(
            loop=self._loop,
            settings=settings,
            view=self._view,
            freshness=self._freshness,
            quota=self._quota,
            health=TargetHealth(settings.membership),
            crash_guard=CrashGuard(settings.membership),
            placer=Placer(settings.placement),
            upstreams=Upstreams(self._loop),
            proposer=proposer,
            loss_confirmation=LossConfirmation(
                self._loop,
                self._view,
                lambda: self._heartbeat.shared_version,
                self._heartbeat.send_soon,
            ),
            metrics=self._metrics,
            incarnation=self._incarnation,
            send_heartbeat_soon=self._heartbeat.send_soon,
        )

    def _start_server(self, server: HttpServer) -> HttpServer:
        server.prepare()
        self._server_futures.append(self._executor.submit(server.serve))
        return server

    def _serve_metrics(self, environ: dict[str, Any], start_response: Any) -> Any:
        self._metrics.gauge("berylnotch_requests_running", self._request_path.running)
        self._metrics.gauge("berylnotch_revision", self._view.revision)
        memory, gauge = self._request_memory, self._metrics.gauge
        gauge("berylnotch_held_request_bytes", float(memory.small_bytes))
        gauge("berylnotch_granted_body_bytes", float(memory.granted_bytes))
        gauge("berylnotch_waiting_bodies", float(memory.waiting_count))
        gauge("berylnotch_caller_connections", float(memory.connection_count))
        gauge("berylnotch_evicted_callers", float(memory.evicted_count))
        text = self._metrics.render()
        response = Response(text, content_type="text/plain; version=0.0.4")
        return response(environ, start_response)

    def _on_view_change(self) -> None:
        self._request_path.on_view_change()
        self._heartbeat.on_view_change()
        self._sync_server.tick(time.monotonic())

    def _handle(
        self, identity: str, message: Any, reply: Callable[[object], None]
    ) -> None:
        if isinstance(message, SyncRequest) and is_vm(identity):
            self._sync_server.on_request(time.monotonic(), message, reply)
        elif isinstance(message, WhyRequest):
            reply(self._context.decisions.find(message.request_id))
        else:
            reply(Refused(f"{type(message).__name__} is not served by routers"))

    def _key_of(self, identity: str) -> bytes:
        return identity_key(self._settings.secret, identity)
