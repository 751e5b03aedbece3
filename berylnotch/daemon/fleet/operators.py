"""HTTP interface of a controller for operators."""

from __future__ import annotations

from berylnotch.daemon.fleet.replica_host import ReplicaHost
from berylnotch.daemon.fleet.rollout_calls import RolloutCalls
from berylnotch.errors import GatewayError
from berylnotch.group.commands import NameWeights, PutConfiguration
from berylnotch.group.state import FleetState
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.net.reading import HttpLimits
from berylnotch.net.refusal_log import RefusalLog
from berylnotch.net.request_memory import RequestMemory
from berylnotch.net.server import HttpServer, ServerConnection
from berylnotch.platform.configuration import decode_new_configuration
from berylnotch.platform.operators import (
    OperatorCall,
    decode_call,
    decode_weights_name,
    error_body,
)
from berylnotch.routing.errors import InvalidConfigurationError
from berylnotch.settings.fleet import FleetSettings
from berylnotch.transport.packing import pack
from berylnotch.util.address import Address, parse_address
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Label, Metrics

#: Limits on operators' requests; a configuration of thousands of routes fits.
LIMITS = HttpLimits(body_bytes=4 * 1024 * 1024, idle_s=30.0)

#: Longest time in seconds for which a call waits at a controller that knows no leader,
#: and interval between two checks. An election takes up to 1.1 s. A caller that was
#: refused at once comes back after its pause, perhaps in the next election.
LEADER_WAIT_S, LEADER_CHECK_S = 0.6, 0.02

_JSON = ("Content-Type", "application/json")


class OperatorsInterface:
    """HTTP server for configurations and rollouts of weights and software versions.

    Only the leader answers, since only the leader is certain to have the newest state;
    the other controllers redirect operators to it. During an election, calls wait.

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
    log : EventLog
        Log of the process.
    metrics : Metrics
        Registry of metrics that counts the calls.
    memory : RequestMemory
        Memory for the callers of the process.
    """

    def __init__(
        self,
        settings: FleetSettings,
        loop: Loop,
        host: ReplicaHost,
        state: FleetState,
        log: EventLog,
        metrics: Metrics,
        memory: RequestMemory,
    ) -> None:
        self._settings = settings
        self._loop = loop
        self._host = host
        self._state = state
        self._log = log
        self._metrics = metrics
        self._rollout_calls = RolloutCalls(settings.bounds, host, state, self._answer)
        self._is_draining = False
        #: Calls that wait at a stopping controller until the next leader is known.
        self._waiting_calls: list[tuple[ServerConnection, HttpRequest]] = []
        self._server = HttpServer(
            loop,
            settings.listen,
            self._serve,
            lambda: LIMITS,
            RefusalLog(log.warning, metrics, "operator_refused").record,
            memory=memory,
            is_control=True,
        )

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def drain(self) -> None:
        """Accept no more orders; calls wait until they can be sent to the next leader.

        Orders that were proposed before are answered when their outcome is known.
        """
        self._is_draining = self._server.is_draining = True

    def release(self) -> None:
        """Redirect the waiting calls, or refuse them if no other leader is known."""
        waiting_calls, self._waiting_calls = self._waiting_calls, []
        for connection, request in waiting_calls:
            if not connection.is_closed:
                self._redirect_to_leader(connection, request)

    def stop_accepting(self) -> None:
        """Close the port; calls on open connections are still answered."""
        self._server.stop_accepting()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _serve(self, connection: ServerConnection, request: HttpRequest) -> None:
        call = decode_call(request)
        if call is OperatorCall.UNKNOWN or not self._rollout_calls.is_known(call):
            self._answer(connection, request, 404, "no such call")
        elif self._is_draining and not self._is_other_leader_known():
            self._waiting_calls.append((connection, request))
        elif self._is_draining or self._is_led_elsewhere():
            self._redirect_to_leader(connection, request)
        elif not self._host.is_active():
            self._wait_for_leader(connection, request, boot_time() + LEADER_WAIT_S)
        elif call is OperatorCall.PUT_CONFIGURATION:
            self._put_configuration(connection, request)
        elif call is OperatorCall.GET_CONFIGURATION:
            self._get_configuration(connection, request)
        elif call is OperatorCall.START_ROLLOUT:
            self._rollout_calls.start(connection, request)
        elif call is OperatorCall.GET_ROLLOUT:
            self._rollout_calls.show(connection, request)
        else:
            self._name_weights(connection, request)

    def _is_other_leader_known(self) -> bool:
        return self._host.leader_address not in ("", self._host.address)

    def _is_led_elsewhere(self) -> bool:
        return not self._host.is_active() and self._is_other_leader_known()

    def _wait_for_leader(
        self, connection: ServerConnection, request: HttpRequest, until: float
    ) -> None:
        """Serve a call once a leader is known, and refuse it at a boot time."""
        if connection.is_closed:
            return
        is_leader_known = self._host.is_active() or self._is_other_leader_known()
        if is_leader_known or self._is_draining:
            self._serve(connection, request)
        elif boot_time() >= until:
            self._redirect_to_leader(connection, request)
        else:
            self._loop.call_later(
                LEADER_CHECK_S,
                lambda: self._wait_for_leader(connection, request, until),
            )

    def _redirect_to_leader(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        leader = self._host.leader_address
        if not self._is_other_leader_known():
            self._answer(connection, request, 503, "no leader is known")
            return
        address = Address(parse_address(leader).host, self._settings.listen.port)
        location = f"http://{address}{request.target}"
        headers = Headers((("Location", location),))
        self._record_call(request, 307, f"leader is {address}")
        connection.respond(307, headers)

    def _put_configuration(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        try:
            configuration = decode_new_configuration(request.body)
        except InvalidConfigurationError as error:
            self._answer(connection, request, 400, str(error))
            return
        version = configuration.version
        if version <= self._state.version:
            held_version = self._state.version
            self._answer(
                connection, request, 200, f"{version} is not above {held_version}"
            )
            return
        organisations = configuration.organisations or ()
        command = PutConfiguration(
            version,
            request.body,
            sharing=tuple(o.name for o in organisations if not o.is_isolated),
            isolated=tuple(o.name for o in organisations if o.is_isolated),
            has_organisations=True,
        )
        self._commit(connection, request, pack(command), f"version {version}")

    def _name_weights(self, connection: ServerConnection, request: HttpRequest) -> None:
        try:
            named_weights = decode_weights_name(request)
        except GatewayError as error:
            self._answer(connection, request, 400, str(error))
            return
        if named_weights.version <= self._state.wanted_version(named_weights.name):
            self._answer(connection, request, 200, "known already")
            return
        command = pack(NameWeights(named_weights.name, named_weights.version))
        self._commit(
            connection,
            request,
            command,
            f"{named_weights.name} {named_weights.version}",
        )

    def _commit(
        self,
        connection: ServerConnection,
        request: HttpRequest,
        command: bytes,
        description: str,
    ) -> None:
        started_at = boot_time()

        def on_outcome(is_committed: bool) -> None:
            duration_s = boot_time() - started_at
            if is_committed:
                self._answer(
                    connection, request, 200, f"{description} after {duration_s:.3f} s"
                )
            else:
                self._answer(
                    connection, request, 503, f"{description}: outcome unknown"
                )

        self._host.propose(command, on_outcome)

    def _get_configuration(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        if not self._state.version:
            self._answer(connection, request, 503, "no configuration yet")
            return
        self._record_call(request, 200, f"version {self._state.version}")
        connection.respond(200, Headers((_JSON,)), self._state.content)

    def _answer(
        self,
        connection: ServerConnection,
        request: HttpRequest,
        status: int,
        reason: str,
        body: bytes = b"{}",
    ) -> None:
        self._record_call(request, status, reason)
        body = body if status == 200 else error_body(reason)
        connection.respond(status, Headers((_JSON,)), body)

    def _record_call(self, request: HttpRequest, status: int, reason: str) -> None:
        log_call = self._log.info if status < 400 else self._log.warning
        log_call(
            "operator_call",
            call=f"{request.method} {request.path}",
            status=status,
            reason=reason,
            term=self._host.term,
            held=self._state.version,
        )
        self._metrics.count(
            "berylnotch_operator_calls_total", Label("status", str(status))
        )
