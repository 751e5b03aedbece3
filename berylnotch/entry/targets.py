"""A router's picture of the targets, and its connections to them."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable

from attrs import define, field

from berylnotch.entry.settings import EntrySettings
from berylnotch.group.messages import LeavingWord, TargetEntry
from berylnotch.membership.ejection import Ejection
from berylnotch.membership.listing import ListedTarget
from berylnotch.net.client import ClientConnection
from berylnotch.placement.ring import Ring
from berylnotch.util.address import parse_address
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

#: Weight of the newest outcome in a moving average: about the last ten count.
AVERAGE_STEP = 0.12


@define(eq=False)
class Target:
    """A target as this router sees it.

    Parameters
    ----------
    listed : ListedTarget
        What the list says.
    ejection : Ejection
        Failures seen by this router.
    is_loading : bool
        Whether it loads weights.
    is_emptying : bool
        Whether it loads weights next, and should get no more long requests.
    is_leaving : bool
        Whether it gets no new work, by the list or by its own word.
    has_said_leaving : bool
        Whether it told this router so in an answer.
    in_flight : int
        Requests of this router that it has.
    long_in_flight : int
        Those of them that take long.
    others_in_flight : int
        Requests of the other routers, as last summed up.
    idle : deque of ClientConnection
        Kept connections, the longest idle first.
    refused_until : float
        Boot time until which it is left out since it refused a request.
    loading_until : float
        Boot time at which it probably has its weights loaded.
    failure_rate : float
        Part of its recent requests that failed, as a moving average.
    latency_s : float
        Moving average of its answer times, plain targets only.
    heard_at : float
        Boot time at which it last sent a part of an answer.
    weights_at : float
        Boot time at which it was first seen with its present weights, 0 if it had
        them when it was first seen.
    is_suspect : bool
        Whether several routers left it out after failures.
    unread : int
        Prompt tokens of this router's requests that it probably has yet to read.
    others_unread : int
        The same of the other routers, as last summed up.
    """

    listed: ListedTarget
    ejection: Ejection
    is_loading: bool = False
    is_emptying: bool = False
    is_leaving: bool = False
    has_said_leaving: bool = False
    in_flight: int = 0
    long_in_flight: int = 0
    others_in_flight: int = 0
    unread: int = 0
    others_unread: int = 0
    idle: deque[ClientConnection] = field(factory=deque)
    refused_until: float = 0.0
    loading_until: float = 0.0
    failure_rate: float = 0.0
    latency_s: float = 0.0
    heard_at: float = 0.0
    weights_at: float = 0.0
    is_suspect: bool = False

    @property
    def target_id(self) -> str:
        """Identity of the target."""
        return self.listed.target_id

    @property
    def load(self) -> int:
        """Requests of all routers that it probably has."""
        return self.in_flight + self.others_in_flight

    @property
    def total_unread(self) -> int:
        """Prompt tokens of all routers that it probably has yet to read."""
        return self.unread + self.others_unread

    def version(self, model: str) -> int | None:
        """Return the version of a model's weights, None if it does not run it."""
        for known in self.listed.models:
            if known.name == model:
                return known.version
        return None

    def note_outcome(self, has_failed: bool, latency_s: float | None = None) -> None:
        """Count the end of a request in the moving averages."""
        self.failure_rate += (has_failed - self.failure_rate) * AVERAGE_STEP
        if latency_s is not None:
            step = AVERAGE_STEP if self.latency_s else 1.0
            self.latency_s += (latency_s - self.latency_s) * step

    def back_off(self, now: float, pause_s: float) -> None:
        """Leave it out for so long; an earlier word of a longer pause holds on."""
        self.refused_until = max(self.refused_until, now + pause_s)

    def is_avoided(self, now: float) -> bool:
        """Whether it failed elsewhere, and this router is not one that probes it."""
        is_prober = self.ejection.is_out and not self.ejection.blocks(now)
        return self.is_suspect and not is_prober

    def usable_at(self, now: float) -> float:
        """Return when it may get a request again, as far as that is known."""
        times = [now, self.refused_until]
        if self.is_loading:
            times.append(self.loading_until)
        if self.ejection.blocks(now):
            times.append(self.ejection.until)
        return max(times)

    def is_usable(self, now: float) -> bool:
        """Whether it may get a new request."""
        if self.is_leaving or self.is_loading or now < self.refused_until:
            return False
        return not self.ejection.blocks(now)


class TargetTable:
    """Targets by service, and the connections to them.

    Parameters
    ----------
    loop : Loop
        Loop that serves the connections.
    settings : EntrySettings
        Time limits.
    """

    def __init__(self, loop: Loop, settings: EntrySettings) -> None:
        self._loop = loop
        self._settings = settings
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._rings: dict[str, Ring[Target]] = {}
        self._samples: dict[str, Collection[Target]] = {}

    def of(self, service: str) -> list[Target]:
        """Return the targets of a service, usable or not."""
        return self._by_service.get(service, [])

    def ring(self, service: str) -> Ring[Target]:
        """Return a service's targets on a ring, alike at all routers."""
        ring = self._rings.get(service)
        if ring is None:
            ring = Ring([(t.target_id, t) for t in self.of(service)])
            self._rings[service] = ring
        return ring

    def weights_samples(self, service: str) -> Collection[Target]:
        """Return a target of a service for each set of weights that is in use."""
        return self._samples.get(service, ())

    def all(self) -> Iterable[Target]:
        """Return all targets."""
        return self._targets.values()

    def get(self, target_id: str) -> Target | None:
        """Return a target by identity."""
        return self._targets.get(target_id)

    def update(
        self, entries: Iterable[TargetEntry], gone: Iterable[str] | None = None
    ) -> list[str]:
        """Take targets; one that started again is another one.

        Parameters
        ----------
        entries : iterable of TargetEntry
            Targets that are new or changed.
        gone : iterable of str, optional
            Identities that are not listed any more; by default all that are not
            among the entries.

        Returns
        -------
        list of str
            Identities whose earlier target is gone.
        """
        lost, listed = [], set()
        known = dict(self._targets)
        for entry in entries:
            listed.add(entry.target.target_id)
            if self._take(entry):
                lost.append(entry.target.target_id)
        if gone is None:
            gone = [name for name in self._targets if name not in listed]
        for name in gone:
            target = self._targets.pop(name, None)
            if target is not None:
                self._drop_idle(target)
                lost.append(name)
        if self._targets != known:
            self._rings = {}
        self._by_service = {}
        for target in self._targets.values():
            self._by_service.setdefault(target.listed.service, []).append(target)
        self._samples = {
            service: {t.listed.models: t for t in targets}.values()
            for service, targets in self._by_service.items()
        }
        return lost

    def connect(self, target: Target, is_repeatable: bool) -> ClientConnection:
        """Return a connection for a request.

        A request that may not be repeated gets a kept connection only if that
        was used a moment ago: on one that the target has dropped meanwhile, the
        request would be lost with an unknown outcome.
        """
        now = boot_time()
        limit_s = self._settings.reuse_s
        if not is_repeatable:
            limit_s = self._settings.reuse_unrepeatable_s
        while target.idle:
            connection = target.idle.pop()
            allowed_s = limit_s
            if connection.keep_alive_s is not None:
                margin_s = self._settings.keep_alive_margin_s
                allowed_s = min(limit_s, connection.keep_alive_s - margin_s)
            if connection.is_reusable and now - connection.idle_since < allowed_s:
                return connection
            connection.close()
        return ClientConnection(
            self._loop,
            parse_address(target.listed.address),
            self._settings.dead_target_s,
            self._settings.connect_s,
        )

    def keep(self, target: Target, connection: ClientConnection) -> None:
        """Keep a connection for a later request, if it may serve one."""
        if target.is_leaving or target.target_id not in self._targets:
            connection.close()
        elif connection.is_reusable:
            target.idle.append(connection)
            while len(target.idle) > self._settings.max_idle:
                target.idle.popleft().close()

    def leaves(self, target: Target) -> None:
        """Note a target's own word that it leaves; it gets no further request."""
        target.is_leaving = target.has_said_leaving = True
        self._drop_idle(target)

    def leaving_words(self) -> tuple[LeavingWord, ...]:
        """Return the targets that told this router that they leave."""
        return tuple(
            LeavingWord(target.target_id, target.listed.born_ms)
            for target in self._targets.values()
            if target.has_said_leaving
        )

    def close_old(self) -> None:
        """Close the connections that were idle for too long."""
        oldest = boot_time() - self._settings.reuse_s
        for target in self._targets.values():
            while target.idle and target.idle[0].idle_since < oldest:
                target.idle.popleft().close()

    def _take(self, entry: TargetEntry) -> bool:
        """Take a target; return whether an earlier one of its identity is gone."""
        listed = entry.target
        known = self._targets.get(listed.target_id)
        is_other = known is not None and not _is_same(known.listed, listed)
        target = known
        if target is None or is_other:
            target = Target(listed, Ejection(self._settings.membership))
        if is_other:
            self._drop_idle(known)
        if target.listed.models != listed.models:
            target.weights_at = boot_time()
        target.listed = listed
        if entry.is_loading and not target.is_loading:
            target.loading_until = boot_time() + self._settings.load_s
        target.is_loading = entry.is_loading
        target.is_emptying = entry.is_emptying
        target.is_leaving = target.has_said_leaving or listed.is_leaving
        if target.is_leaving:
            self._drop_idle(target)
        self._targets[listed.target_id] = target
        return is_other

    def _drop_idle(self, target: Target) -> None:
        while target.idle:
            target.idle.pop().close()


def _is_same(one: ListedTarget, other: ListedTarget) -> bool:
    return one.address == other.address and one.born_ms == other.born_ms
