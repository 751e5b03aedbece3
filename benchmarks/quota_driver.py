"""Drives the quota owner and routers through arrivals, in steps of time.

A small fake of what surrounds the limits: requests that wait in a router for
tokens and are refused when the owner says so or their wait is over, and
streams that are charged as they go on.
"""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory, define, field, frozen

from berylnotch.quota import LocalQuota, QuotaOwner
from berylnotch.quota.messages import GrantRequest

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from berylnotch.quota import QuotaSettings
    from berylnotch.quota.bucket import Limit
    from berylnotch.quota.messages import GrantReply

#: Length of a step, and time that a message is under way, in seconds.
STEP_S = 0.01

#: Steps between two charges of a stream.
STREAM_STEPS = 10


@frozen
class Arrival:
    """A request: prompt tokens at once, output tokens over ``duration_s``."""

    at: float
    router: int
    organisation: str
    prompt: int
    output: int = 0
    duration_s: float = 1.0


@define
class Outcome:
    """What became of one organisation's requests; times in seconds."""

    waits: list[float] = Factory(list)
    refused: int = 0
    pauses: list[float] = Factory(list)
    charged: int = 0


@define
class _Stream:
    organisation: str
    left: int
    step_tokens: int
    paused_since: float | None = None


@define
class Router:
    """A router's quota with the work that waits for it."""

    name: str
    quota: LocalQuota
    waiting: dict[str, deque[Arrival]] = field(factory=dict)
    streams: list[_Stream] = field(factory=list)
    sent_at: float = 0.0


class Driver:
    """Runs one owner and several routers.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes and waits.
    limits : Mapping[str, Limit]
        Organisations.
    n_routers : int
        Number of routers.
    loss : float, default=0.0
        Part of the replies that are lost.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        limits: Mapping[str, Limit],
        n_routers: int,
        loss: float = 0.0,
    ) -> None:
        self._settings = settings
        self._limits = limits
        self._loss = loss
        self._rng = random.Random(0)
        self._owner: QuotaOwner | None = QuotaOwner(settings, 1, -10_000.0)
        self._routers = [
            Router(f"vm-{n}", LocalQuota(settings)) for n in range(n_routers)
        ]
        self._replies: list[tuple[Router, GrantReply]] = []
        self._step = 0
        self.outcomes = {name: Outcome() for name in limits}
        self.requests = 0
        self.asks = 0

    def run(
        self,
        arrivals: Sequence[Arrival],
        until: float,
        owner_lost: float | None = None,
        owner_back: float | None = None,
    ) -> None:
        """Run to ``until``; a new owner may follow after a gap."""
        pending = deque(sorted(arrivals, key=lambda a: a.at))
        while (now := self._step * STEP_S) < until:
            self._change_owner(now, owner_lost, owner_back)
            self._deliver()
            while pending and pending[0].at <= now:
                self._arrive(now, pending.popleft())
            for router in self._routers:
                self._serve(now, router)
                self._ask(now, router)
            self._step += 1

    def _change_owner(self, now: float, lost: float | None, back: float | None) -> None:
        if lost is None or back is None:
            return
        if lost <= now < back:
            self._owner = None
        elif now >= back and self._owner is None:
            self._owner = QuotaOwner(self._settings, 2, now)

    def _deliver(self) -> None:
        replies, self._replies = self._replies, []
        for router, reply in replies:
            router.quota.receive(router.sent_at, reply)

    def _arrive(self, now: float, arrival: Arrival) -> None:
        router = self._routers[arrival.router]
        router.quota.balance(now, arrival.organisation)
        outcome = self.outcomes[arrival.organisation]
        if router.quota.retry_after_ms(arrival.organisation) > 0:
            outcome.refused += 1
            return
        router.waiting.setdefault(arrival.organisation, deque()).append(arrival)

    def _serve(self, now: float, router: Router) -> None:
        paused: dict[str, int] = {}
        if self._step % STREAM_STEPS == 0:
            self._go_on(now, router, paused)
        for organisation, line in router.waiting.items():
            self._admit(now, router, organisation, line, paused)

    def _go_on(self, now: float, router: Router, paused: dict[str, int]) -> None:
        for stream in router.streams:
            tokens = min(stream.left, stream.step_tokens)
            outcome = self.outcomes[stream.organisation]
            if not router.quota.charge(now, stream.organisation, tokens):
                paused[stream.organisation] = tokens
                router.waiting.setdefault(stream.organisation, deque())
                if stream.paused_since is None:
                    stream.paused_since = now
                continue
            outcome.charged += tokens
            stream.left -= tokens
            if stream.paused_since is not None:
                outcome.pauses.append(now - stream.paused_since)
                stream.paused_since = None
        router.streams = [s for s in router.streams if s.left > 0]

    def _admit(
        self,
        now: float,
        router: Router,
        organisation: str,
        line: deque[Arrival],
        paused: dict[str, int],
    ) -> None:
        outcome = self.outcomes[organisation]
        while line and router.quota.charge(now, organisation, line[0].prompt):
            arrival = line.popleft()
            outcome.waits.append(now - arrival.at)
            outcome.charged += arrival.prompt
            self._start_stream(router, arrival)
        while line and now - line[0].at > self._settings.wait_s:
            if router.quota.retry_after_ms(organisation) == 0:
                break
            outcome.refused += 1
            line.popleft()
        stalled = paused.get(organisation, 0)
        wanted = sum(arrival.prompt for arrival in line) + stalled
        first = stalled or (line[0].prompt if line else 0)
        router.quota.want(organisation, wanted, first)

    def _start_stream(self, router: Router, arrival: Arrival) -> None:
        if not arrival.output:
            return
        steps = max(1, round(arrival.duration_s / STEP_S / STREAM_STEPS))
        tokens = max(1, arrival.output // steps)
        router.streams.append(_Stream(arrival.organisation, arrival.output, tokens))

    def _ask(self, now: float, router: Router) -> None:
        if now < router.quota.next_ask_at:
            return
        router.sent_at = now
        asks = router.quota.asks(now)
        self.requests += 1
        self.asks += len(asks)
        if self._owner is None:
            return
        request = GrantRequest(
            vm=router.name,
            incarnation="1",
            http_address="",
            failure_domain="",
            leaving=False,
            sequence=router.quota.sequence,
            asks=asks,
        )
        reply = self._owner.grant(now, request, self._limits)
        if self._rng.random() >= self._loss:
            self._replies.append((router, reply))
