"""Discrete-time simulation of the quota owner and its routers.

It models the admission queue and the streams of each router. Requests wait for tokens
and are refused when the quota reports a retry delay, on arrival or after the longest
wait. Streams are charged while they generate tokens.
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

#: Length of a step and one-way delay of a message, in seconds.
STEP_S = 0.01

#: Steps between two charges of a running stream.
STREAM_CHARGE_STEPS = 10


@frozen
class Arrival:
    """Arrival of a request.

    Prompt tokens are charged at admission, output tokens over ``duration_s``.
    """

    at: float
    router: int
    organisation: str
    prompt: int
    output: int = 0
    duration_s: float = 1.0


@define
class Outcome:
    """Admission results of one organisation; times are in seconds."""

    waits: list[float] = Factory(list)
    refused: int = 0
    pauses: list[float] = Factory(list)
    charged: int = 0


@define
class _Stream:
    organisation: str
    remaining_tokens: int
    step_tokens: int
    paused_since: float | None = None


@define
class Router:
    """A router's quota, its queued requests and its streams."""

    name: str
    quota: LocalQuota
    waiting: dict[str, deque[Arrival]] = field(factory=dict)
    streams: list[_Stream] = field(factory=list)
    sent_at: float = 0.0


class Driver:
    """Simulates one quota owner and several routers.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes of grants and longest wait.
    limits : Mapping[str, Limit]
        Limit of each organisation.
    n_routers : int
        Number of routers.
    loss : float, default=0.0
        Fraction of the owner's replies that are lost, from 0 to 1.
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
        """Run up to ``until``, in simulated seconds.

        There is no owner from ``owner_lost`` to ``owner_back``; a new owner without the
        state of the old one starts then.
        """
        pending = deque(sorted(arrivals, key=lambda a: a.at))
        while (now := self._step * STEP_S) < until:
            self._change_owner(now, owner_lost, owner_back)
            self._deliver_replies()
            while pending and pending[0].at <= now:
                self._on_arrival(now, pending.popleft())
            for router in self._routers:
                self._serve(now, router)
                self._send_asks(now, router)
            self._step += 1

    def _change_owner(
        self, now: float, lost_at: float | None, back_at: float | None
    ) -> None:
        if lost_at is None or back_at is None:
            return
        if lost_at <= now < back_at:
            self._owner = None
        elif now >= back_at and self._owner is None:
            self._owner = QuotaOwner(self._settings, 2, now)

    def _deliver_replies(self) -> None:
        replies, self._replies = self._replies, []
        for router, reply in replies:
            router.quota.receive(router.sent_at, reply)

    def _on_arrival(self, now: float, arrival: Arrival) -> None:
        router = self._routers[arrival.router]
        router.quota.balance(now, arrival.organisation)
        outcome = self.outcomes[arrival.organisation]
        if router.quota.retry_after_ms(arrival.organisation) > 0:
            outcome.refused += 1
            return
        router.waiting.setdefault(arrival.organisation, deque()).append(arrival)

    def _serve(self, now: float, router: Router) -> None:
        paused: dict[str, int] = {}
        if self._step % STREAM_CHARGE_STEPS == 0:
            self._charge_streams(now, router, paused)
        for organisation, queue in router.waiting.items():
            self._admit(now, router, organisation, queue, paused)

    def _charge_streams(
        self, now: float, router: Router, paused: dict[str, int]
    ) -> None:
        for stream in router.streams:
            tokens = min(stream.remaining_tokens, stream.step_tokens)
            outcome = self.outcomes[stream.organisation]
            if not router.quota.charge(now, stream.organisation, tokens):
                paused[stream.organisation] = tokens
                router.waiting.setdefault(stream.organisation, deque())
                if stream.paused_since is None:
                    stream.paused_since = now
                continue
            outcome.charged += tokens
            stream.remaining_tokens -= tokens
            if stream.paused_since is not None:
                outcome.pauses.append(now - stream.paused_since)
                stream.paused_since = None
        router.streams = [s for s in router.streams if s.remaining_tokens > 0]

    def _admit(
        self,
        now: float,
        router: Router,
        organisation: str,
        queue: deque[Arrival],
        paused: dict[str, int],
    ) -> None:
        outcome = self.outcomes[organisation]
        while queue and router.quota.charge(now, organisation, queue[0].prompt):
            arrival = queue.popleft()
            outcome.waits.append(now - arrival.at)
            outcome.charged += arrival.prompt
            self._start_stream(router, arrival)
        while queue and now - queue[0].at > self._settings.wait_s:
            if router.quota.retry_after_ms(organisation) == 0:
                break
            outcome.refused += 1
            queue.popleft()
        paused_tokens = paused.get(organisation, 0)
        wanted_tokens = sum(arrival.prompt for arrival in queue) + paused_tokens
        first_tokens = paused_tokens or (queue[0].prompt if queue else 0)
        router.quota.want(organisation, wanted_tokens, first_tokens)

    def _start_stream(self, router: Router, arrival: Arrival) -> None:
        if not arrival.output:
            return
        steps = max(1, round(arrival.duration_s / STEP_S / STREAM_CHARGE_STEPS))
        tokens = max(1, arrival.output // steps)
        router.streams.append(_Stream(arrival.organisation, arrival.output, tokens))

    def _send_asks(self, now: float, router: Router) -> None:
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
