"""Provides the state of the targets at one router, and the router's connections."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable

from attrs import define, field

from berylnotch.entry.request_limit import RequestLimit
from berylnotch.entry.settings import EntrySettings
from berylnotch.entry.target_speed import TargetSpeed
from berylnotch.group.messages import LeavingWord, TargetEntry
from berylnotch.membership.ejection import Ejection
from berylnotch.membership.listing import ListedTarget
from berylnotch.membership.stream_versions import UNKNOWN_VERSION
from berylnotch.net.client import ClientConnection
from berylnotch.placement.ring import Ring
from berylnotch.util.address import parse_address
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

#: Weight of the newest outcome in an exponential moving average, so that about the
#: last ten outcomes count.
EWMA_WEIGHT = 0.12

#: Seconds after the end of a target for which its listed software version may be out of
#: date: the target list lags, and another version may start under the same identity.
OUTDATED_LISTING_S = 3.0

#: Shortest time in seconds for which a target that was left for its silence counts as
#: silent: a router that does not stop leaves a target after about as long. A stopping
#: router waits for less.
MIN_PRESUMED_SILENCE_S = 1.0


@define(eq=False)
class Target:
    """State of a target as this router knows it.

    Parameters
    ----------
    listed : ListedTarget
        Entry of the target in the target list.
    ejection : Ejection
        Outlier ejection after failures that this router observed.
    is_loading : bool
        Whether the target is loading weights.
    is_emptying : bool
        Whether the target drains in order to load weights, so that it should get no
        further requests with long prompts.
    is_leaving : bool
        Whether the target gets no new requests, because the target list or an answer of
        the target states that it leaves.
    has_announced_leaving : bool
        Whether the target announced in an answer to this router that it leaves.
    limit : RequestLimit or None
        Limit on the requests of all routers together, None if there is none.
    limit_known_at : float
        Boot time at which this router last learned the limit.
    in_flight : int
        Number of this router's requests in flight at the target.
    long_in_flight : int
        Number of this router's requests in flight that have a long prompt.
    others_in_flight : int
        Number of the other routers' requests in flight, by the newest load update and
        later notes.
    idle : deque of ClientConnection
        Kept connections, in the order of decreasing idle time.
    refused_until : float
        Boot time until which the target is not used because it refused a request or
        requested a back-off.
    loading_until : float
        Boot time at which the target has probably loaded its weights.
    failure_rate : float
        Moving average of the fraction of requests that failed at the target.
    latency_s : float
        Moving average of the target's answer times in seconds, for plain targets only.
    heard_at : float
        Boot time at which the target last sent part of an answer.
    busy_since : float
        Boot time at which the oldest uninterrupted sequence of this router's requests
        in flight began.
    left_silent_at : float
        Boot time at which this router last gave up a request because the target did
        not answer, 0 if it never did.
    weights_at : float
        Boot time at which the target was first listed with its current weights, 0 if
        its weights have not changed since it was first listed.
    is_suspect : bool
        Whether several routers have ejected it after failures.
    outdated_until : float
        Boot time until which the listed software version may be that of an earlier
        process with the same identity, because the target ended.
    unread : int
        Number of prompt tokens of this router's requests that the target has probably
        not processed yet.
    others_unread : int
        Number of unprocessed prompt tokens of the other routers' requests, by the
        newest load update and later notes.
    speed : TargetSpeed
        Learned speed relative to the other targets of the service.
    """

    listed: ListedTarget
    ejection: Ejection
    is_loading: bool = False
    is_emptying: bool = False
    is_leaving: bool = False
    has_announced_leaving: bool = False
    limit: RequestLimit | None = None
    limit_known_at: float = 0.0
    in_flight: int = 0
    long_in_flight: int = 0
    others_in_flight: int = 0
    unread: int = 0
    others_unread: int = 0
    speed: TargetSpeed = field(factory=TargetSpeed)
    idle: deque[ClientConnection] = field(factory=deque)
    refused_until: float = 0.0
    loading_until: float = 0.0
    failure_rate: float = 0.0
    latency_s: float = 0.0
    heard_at: float = 0.0
    busy_since: float = 0.0
    left_silent_at: float = 0.0
    weights_at: float = 0.0
    is_suspect: bool = False
    outdated_until: float = 0.0

    @property
    def target_id(self) -> str:
        """Identity of the target."""
        return self.listed.target_id

    @property
    def limit_per_s(self) -> float:
        """Requests per second that the target accepts from all routers together."""
        return self.limit.per_s if self.limit is not None else math.inf

    @property
    def load(self) -> int:
        """Estimated number of all routers' requests in flight at the target."""
        return self.in_flight + self.others_in_flight

    @property
    def total_unread(self) -> int:
        """Estimated number of all routers' prompt tokens that are not processed yet."""
        return self.unread + self.others_unread

    def version(self, model: str) -> int | None:
        """Return the version of a model's weights, None without such a model."""
        for listed_model in self.listed.models:
            if listed_model.name == model:
                return listed_model.version
        return None

    def software_version(self, now: float) -> str:
        """Return the version of the target's software, empty if it is unknown."""
        if now < self.outdated_until:
            return UNKNOWN_VERSION
        return self.listed.software_version

    def on_ended(self, now: float) -> None:
        """Record that the target's address refuses connections.

        A reset or cut breaks connections to targets that go on, so a broken connection
        alone is no sign of an end.
        """
        self.outdated_until = now + OUTDATED_LISTING_S

    def has_software(self, version: str, now: float) -> bool:
        """Return whether the target is known to run a version of its software."""
        return version != UNKNOWN_VERSION and version == self.software_version(now)

    def note_outcome(self, has_failed: bool, latency_s: float | None = None) -> None:
        """Add the outcome of a request to the moving averages."""
        self.failure_rate += (has_failed - self.failure_rate) * EWMA_WEIGHT
        if latency_s is not None:
            weight = EWMA_WEIGHT if self.latency_s else 1.0
            self.latency_s += (latency_s - self.latency_s) * weight

    @property
    def was_left_silent(self) -> bool:
        """Whether it sent nothing since this router gave up a request to it."""
        return self.left_silent_at > self.heard_at

    def is_presumed_silent(self, now: float) -> bool:
        """Whether it was left for its silence, and as much time has not passed again.

        A stopping router sends such a target nothing, so no answer ends the silence.
        """
        silence_s = self.left_silent_at - max(self.heard_at, self.busy_since)
        presumed_s = max(MIN_PRESUMED_SILENCE_S, silence_s)
        return self.was_left_silent and now < self.left_silent_at + presumed_s

    def silent_s(self, now: float) -> float:
        """Return for how many seconds the target has kept this router waiting."""
        is_waiting = self.in_flight or self.is_presumed_silent(now)
        return now - max(self.heard_at, self.busy_since) if is_waiting else 0.0

    def back_off(self, now: float, pause_s: float) -> None:
        """Pause the use of the target, without shortening an earlier pause."""
        self.refused_until = max(self.refused_until, now + pause_s)

    def is_avoided(self, now: float) -> bool:
        """Return whether the target is suspect and this router may not probe it."""
        is_prober = self.ejection.is_ejected and not self.ejection.is_blocked(now)
        return self.is_suspect and not is_prober

    def usable_at(self, now: float) -> float:
        """Return the earliest known boot time at which the target may get a request."""
        earliest_times = [now, self.refused_until]
        if self.is_loading:
            earliest_times.append(self.loading_until)
        if self.ejection.is_blocked(now):
            earliest_times.append(self.ejection.probe_allowed_at)
        if self.limit is not None:
            earliest_times.append(self.limit.available_at(now))
        return max(earliest_times)

    def is_usable(self, now: float) -> bool:
        """Return whether the target may get a new request."""
        return self._accepts_requests(now) and not self.ejection.is_blocked(now)

    def is_usable_if_slow(self, now: float, max_silence_s: float) -> bool:
        """Return whether the target may get a request that no other target can serve.

        Its answers are late, but it goes on sending answers.
        """
        is_silent = self.was_left_silent or self.silent_s(now) > max_silence_s
        is_slow = self.ejection.is_for_late_answers and not is_silent
        return is_slow and self._accepts_requests(now)

    def _accepts_requests(self, now: float) -> bool:
        if self.is_leaving or self.is_loading or now < self.refused_until:
            return False
        return self.limit is None or self.limit.has_room(now)


class TargetTable:
    """Holds the targets of all services, and the connections to these targets.

    Parameters
    ----------
    loop : Loop
        Event loop that serves the connections.
    settings : EntrySettings
        Time limits of the request path.
    """

    def __init__(self, loop: Loop, settings: EntrySettings) -> None:
        self._loop = loop
        self._settings = settings
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._rings: dict[str, Ring[Target]] = {}
        self._samples: dict[str, Collection[Target]] = {}
        self._max_idle: Callable[[Target], int] = lambda target: (
            settings.max_idle_connections
        )

    def limit_idle(self, max_idle: Callable[[Target], int]) -> None:
        """Set the function that returns how many connections to a target are kept."""
        self._max_idle = max_idle

    def of(self, service: str) -> list[Target]:
        """Return all targets of a service, including unusable ones."""
        return self._by_service.get(service, [])

    def ring(self, service: str) -> Ring[Target]:
        """Return the hash ring of a service's targets, identical at all routers."""
        ring = self._rings.get(service)
        if ring is None:
            ring = Ring([(t.target_id, t) for t in self.of(service)])
            self._rings[service] = ring
        return ring

    def weights_samples(self, service: str) -> Collection[Target]:
        """Return one target of a service for each set of weights in use."""
        return self._samples.get(service, ())

    def all(self) -> Iterable[Target]:
        """Return all targets."""
        return self._targets.values()

    def get(self, target_id: str) -> Target | None:
        """Return the target with an identity, None if no such target is listed."""
        return self._targets.get(target_id)

    def update(
        self, entries: Iterable[TargetEntry], gone: Iterable[str] | None = None
    ) -> list[str]:
        """Apply a full or partial target list.

        A target that has restarted replaces its earlier incarnation.

        Parameters
        ----------
        entries : iterable of TargetEntry
            New or changed targets.
        gone : iterable of str, optional
            Identities of targets that are no longer listed. By default, these are all
            targets that are not among the entries.

        Returns
        -------
        list of str
            Identities of the targets that were removed or have restarted.
        """
        lost_ids, listed_ids = [], set()
        previous = dict(self._targets)
        for entry in entries:
            listed_ids.add(entry.target.target_id)
            if self._apply_entry(entry):
                lost_ids.append(entry.target.target_id)
        if gone is None:
            gone = [
                target_id for target_id in self._targets if target_id not in listed_ids
            ]
        for target_id in gone:
            target = self._targets.pop(target_id, None)
            if target is not None:
                self._close_idle(target)
                lost_ids.append(target_id)
        if self._targets != previous:
            self._rings = {}
        self._by_service = {}
        for target in self._targets.values():
            self._by_service.setdefault(target.listed.service, []).append(target)
        self._samples = {
            service: {t.listed.models: t for t in targets}.values()
            for service, targets in self._by_service.items()
        }
        return lost_ids

    def connect(self, target: Target, is_retryable: bool) -> ClientConnection:
        """Return a kept or new connection for a request.

        A request that must not be repeated gets a kept connection only if this
        connection was used a moment ago. If the target has closed the connection in the
        meantime, the request is lost with an unknown outcome.
        """
        now = boot_time()
        max_idle_s = self._settings.max_idle_s
        if not is_retryable:
            max_idle_s = self._settings.max_idle_unrepeatable_s
        while target.idle:
            connection = target.idle.pop()
            allowed_s = max_idle_s
            if connection.keep_alive_s is not None:
                margin_s = self._settings.keep_alive_margin_s
                allowed_s = min(max_idle_s, connection.keep_alive_s - margin_s)
            is_recent = now - connection.idle_since < allowed_s
            if connection.is_reusable and is_recent and connection.is_quiet():
                return connection
            connection.close()
        return ClientConnection(
            self._loop,
            parse_address(target.listed.address),
            self._settings.dead_target_s,
            self._settings.connect_s,
        )

    def keep(self, target: Target, connection: ClientConnection) -> None:
        """Keep a reusable connection for a later request, unless its target leaves."""
        if target.is_leaving or target.target_id not in self._targets:
            connection.close()
        elif connection.is_reusable:
            # The response that was paused has ended.
            connection.resume()
            target.idle.append(connection)
            while len(target.idle) > self._max_idle(target):
                target.idle.popleft().close()

    def leaves(self, target: Target) -> None:
        """Record that a target announced its departure; it gets no more requests."""
        target.is_leaving = target.has_announced_leaving = True
        self._close_idle(target)

    def announced_departures(self) -> tuple[LeavingWord, ...]:
        """Return the targets that announced to this router that they leave."""
        return tuple(
            LeavingWord(target.target_id, target.listed.born_ms)
            for target in self._targets.values()
            if target.has_announced_leaving
        )

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        min_idle_since = boot_time() - self._settings.max_idle_s
        for target in self._targets.values():
            while target.idle and target.idle[0].idle_since < min_idle_since:
                target.idle.popleft().close()

    def _apply_entry(self, entry: TargetEntry) -> bool:
        """Add or update a target; return whether it replaces an earlier incarnation."""
        listed = entry.target
        previous = self._targets.get(listed.target_id)
        is_replaced = previous is not None and not _is_same_incarnation(
            previous.listed, listed
        )
        target = previous
        if target is None or is_replaced:
            target = Target(listed, Ejection(self._settings.membership))
        if is_replaced:
            self._close_idle(previous)
        if target.listed.models != listed.models:
            target.weights_at = boot_time()
        target.listed = listed
        if entry.is_loading and not target.is_loading:
            target.loading_until = boot_time() + self._settings.weights_load_s
        target.is_loading = entry.is_loading
        target.is_emptying = entry.is_emptying
        target.is_leaving = target.has_announced_leaving or listed.is_leaving
        if target.is_leaving:
            self._close_idle(target)
        self._targets[listed.target_id] = target
        return is_replaced

    def _close_idle(self, target: Target) -> None:
        while target.idle:
            target.idle.pop().close()


def _is_same_incarnation(previous: ListedTarget, current: ListedTarget) -> bool:
    return previous.address == current.address and previous.born_ms == current.born_ms
