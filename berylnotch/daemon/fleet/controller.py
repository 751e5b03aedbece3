"""Controller process: a replica of the configuration, and the leader's services."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.consensus import messages as consensus
from berylnotch.daemon.fleet.leader import Leader
from berylnotch.daemon.fleet.metrics import MetricsServer
from berylnotch.daemon.fleet.operators import OperatorsInterface
from berylnotch.daemon.fleet.peers import PeerLinks
from berylnotch.daemon.fleet.replica_host import ReplicaHost
from berylnotch.daemon.fleet.rollout_gauges import RolloutGauges
from berylnotch.daemon.fleet.rollout_times import RolloutTimes
from berylnotch.daemon.fleet.waiting_routers import WaitingRouters
from berylnotch.group.messages import (
    CONTROLLER_MESSAGES,
    JoinRequest,
    Redirect,
    RetryRequest,
    RouterReport,
    StreamRecords,
    VersionQuery,
)
from berylnotch.group.state import FleetState
from berylnotch.membership.announced_weights import AnnouncedWeights
from berylnotch.net.refusal_log import RefusalLog
from berylnotch.net.request_limits import request_limits
from berylnotch.net.request_memory import RequestMemory
from berylnotch.net.sockets import Acceptor
from berylnotch.quota.messages import GrantRequest
from berylnotch.settings.fleet import FleetSettings
from berylnotch.transport.link import Link, LinkSettings, accept_link
from berylnotch.transport.packing import message_classes
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Metrics

#: Interval in seconds between checks whether this controller leads.
LEADERSHIP_CHECK_S = 0.05

#: Longest time in seconds for which a stopping leader waits for the group to commit
#: pending commands: several times the duration of a commit on a busy VM.
COMMIT_WAIT_S = 0.1

#: Seconds from the begin of a stop until routers and operators are sent away without
#: the address of the next leader. An election takes some hundredths of a second.
SUCCESSOR_WAIT_S = 0.18

#: Interval in seconds between two steps of a hand-over.
HAND_OVER_CHECK_S = 0.01

#: Seconds from the begin of a stop until the port for operators and until everything
#: is closed. Calls that waited in the accept queue are answered in between, and the
#: process exits shortly afterwards.
CLOSE_PORT_S, CLOSE_S = 0.2, 0.27

_CONSENSUS_MESSAGES = message_classes(consensus)


class FleetController:
    """Controller process; it stores its replica of the log on the VM's disk.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    seeds : callable
        Returns the addresses of the controllers that are contacted first.
    loop : Loop
        Event loop that runs all callbacks of the process.
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
        self._link_settings = LinkSettings()
        self._state = FleetState()
        self._announced_weights = AnnouncedWeights()
        self._rollout_times = RolloutTimes()
        self._leader: Leader | None = None
        #: Newest term in which this process has led, also if it lost the lease since.
        self._led_term = 0
        self._is_stopping = False
        self._links: set[Link] = set()
        self._waiting_routers = WaitingRouters()
        self._peers = PeerLinks(
            loop, CONTROLLER_MESSAGES, self._receive, log, self._link_settings
        )
        self._host = ReplicaHost(
            settings,
            seeds,
            loop,
            self._peers.send,
            self._state,
            log,
            self._on_applied,
            lambda: self._stop_leading("disk failed"),
        )
        self._acceptor = Acceptor(loop, settings.links_listen, self._accept)
        self.metrics = Metrics()
        self._rollout_gauges = RolloutGauges(self.metrics)
        limits = request_limits(settings.memory_mb, settings.max_fds)
        memory = RequestMemory(limits)
        self._operators = OperatorsInterface(
            settings, loop, self._host, self._state, log, self.metrics, memory
        )
        self._metrics_server = MetricsServer(
            loop,
            settings.metrics,
            self.metrics,
            self._update_gauges,
            memory,
            RefusalLog(log.warning, self.metrics, "metrics_refused").record,
        )

    def start(self) -> None:
        """Start the replica and all servers of the process."""
        self._acceptor.start()
        self._host.start()
        self._operators.start()
        self._metrics_server.start()
        self._loop.call_every(LEADERSHIP_CHECK_S, self._poll_leadership)
        self._log.info("started", internal=self._settings.internal)

    def close(self) -> None:
        """Transfer leadership, answer the operators, and stop all servers.

        Commands that wait for the group are committed first, if that takes
        `COMMIT_WAIT_S` at most. Routers stay until the next leader is known, so that
        they need not search for it.
        """
        self._is_stopping = True
        self._operators.drain()
        now = boot_time()
        commit_by, successor_by = now + COMMIT_WAIT_S, now + SUCCESSOR_WAIT_S

        is_redirected = False

        def hand_over() -> None:
            nonlocal is_redirected
            if self._host.is_closed:
                return
            self._loop.call_later(HAND_OVER_CHECK_S, hand_over)
            now = boot_time()
            if self._host.has_proposals and now < commit_by:
                return
            self._stop_leading("stopping")
            # Another leader that stops may have chosen this replica as its successor.
            self._host.hand_over()
            if not is_redirected and (self._has_successor() or now >= successor_by):
                is_redirected = True
                self._redirect_all()

        hand_over()
        self._loop.call_later(CLOSE_PORT_S, self._operators.stop_accepting)
        self._loop.call_later(CLOSE_S, self._close_all)

    def _has_successor(self) -> bool:
        return self._redirect().leader != ""

    def _redirect_all(self) -> None:
        """Send routers and operators that wait here to the next leader, if known."""
        self._operators.release()
        redirect = self._redirect()
        for link in tuple(self._links):
            link.send(redirect)

    def _close_all(self) -> None:
        self._operators.release()
        self._host.close()
        self._operators.close()
        self._acceptor.close()
        self._peers.close()
        for link in tuple(self._links):
            link.close("stopping")

    def _accept(self, sock: object) -> None:
        link = accept_link(
            self._loop,
            sock,
            CONTROLLER_MESSAGES,
            self._receive,
            self._on_link_closed,
            self._link_settings,
        )
        self._links.add(link)
        link.start()

    def _on_link_closed(self, link: Link, reason: str) -> None:
        self._links.discard(link)
        self._waiting_routers.remove(link)
        self._log.info("link_closed", peer=link.peer, reason=reason)
        if self._leader is not None:
            self._leader.registry.on_link_closed(link, reason)

    def _receive(self, link: Link, message: object) -> None:
        if isinstance(message, _CONSENSUS_MESSAGES):
            self._host.step(message)
        elif isinstance(message, JoinRequest):
            if not self._host.join(message):
                link.send(self._redirect())
        elif isinstance(message, Redirect):
            self._host.learn(message)
        elif isinstance(message, RouterReport):
            self._check_leadership()
            if self._is_leader_known():
                self._answer_report(link, message)
            else:
                self._waiting_routers.add(link, message, boot_time())
        elif isinstance(message, GrantRequest):
            if self._leader is not None and self._host.is_active():
                self._leader.limits.answer(link, message)
        elif isinstance(message, RetryRequest):
            if self._leader is not None and self._host.is_active():
                self._leader.quotas.answer_retry_request(link, message.request)
        elif isinstance(message, StreamRecords | VersionQuery):
            self._check_leadership()
            if self._leader is not None:
                self._leader.stream_versions.on_message(link, message)
            else:
                self._waiting_routers.keep(link, message)

    def _is_leader_known(self) -> bool:
        return self._leader is not None or self._redirect().leader != ""

    def _answer_report(self, link: Link, report: RouterReport) -> None:
        """Process a router's report as leader, or redirect the router to the leader."""
        kept = self._waiting_routers.take_kept(link)
        if self._leader is not None:
            for message in kept:
                self._leader.stream_versions.on_message(link, message)
            self._leader.on_report(link, report)
        else:
            link.send(self._redirect())

    def _redirect(self) -> Redirect:
        leader = self._host.leader_address
        if leader == self._host.address:
            leader = ""
        return Redirect(leader, self._host.known_addresses)

    def _on_applied(self) -> None:
        for weights in self._state.weights:
            self._announced_weights.record(weights.name, weights.version, boot_time())
        self._rollout_times.follow(boot_time(), self._state.rollouts.values())
        if self._leader is not None:
            self._leader.on_applied()

    def _poll_leadership(self) -> None:
        self._check_leadership()
        for link, report in self._waiting_routers.pop_due(
            boot_time(), self._is_leader_known()
        ):
            self._answer_report(link, report)

    def _check_leadership(self) -> None:
        is_active = self._host.is_active()
        if is_active and self._leader is None and not self._is_stopping:
            self._log.info("leading", term=self._host.term, version=self._state.version)
            self._leader = Leader(
                self._settings,
                self._loop,
                self._host,
                self._state,
                self._announced_weights,
                self._rollout_times,
                self._log,
                is_first_in_term=self._host.term != self._led_term,
            )
            self._led_term = self._host.term
            self._leader.start()
            self._leader.on_applied()
        elif not is_active and self._leader is not None:
            self._stop_leading("lease lost")

    def _stop_leading(self, reason: str) -> None:
        if self._leader is None:
            return
        self._log.warning(
            "leading_ended",
            reason=reason,
            term=self._host.term,
            lease_age_s=self._host.lease_age_s(),
        )
        self._leader.close()
        self._leader = None
        if self._is_stopping:
            return
        # Redirects without a leader make routers search for the next one at once.
        redirect = Redirect("", self._host.known_addresses)
        for link in tuple(self._links):
            link.send(redirect)

    def _update_gauges(self) -> None:
        metrics = self.metrics
        metrics.gauge("berylnotch_leader", float(self._leader is not None))
        metrics.gauge("berylnotch_disk_failed", float(self._host.has_disk_failed))
        metrics.gauge("berylnotch_term", float(self._host.term))
        metrics.gauge("berylnotch_group_members", float(self._host.voter_count))
        metrics.gauge("berylnotch_configuration_version", float(self._state.version))
        generation = self._state.cache_sharing.generation
        metrics.gauge("berylnotch_cache_generation", float(generation))
        metrics.gauge("berylnotch_log_lines_dropped", float(self._log.dropped))
        metrics.gauge("berylnotch_lease_age_seconds", self._host.lease_age_s())
        leader = self._leader
        self._rollout_gauges.update(leader.service_rollouts.statuses if leader else ())
        if self._leader is not None:
            self._leader.limits.update_gauges(metrics)
            metrics.gauge("berylnotch_routers", float(self._leader.registry.count))
            dropped = self._leader.notes_dropped
            metrics.gauge("berylnotch_prompt_notes_dropped", float(dropped))
            skipped = self._leader.skipped_entries
            metrics.gauge("berylnotch_target_entries_skipped", float(skipped))
            listed_at = self._leader.inventory.listed_at
            if listed_at is not None:
                age_s = boot_time() - listed_at
                metrics.gauge("berylnotch_target_list_age_seconds", age_s)
