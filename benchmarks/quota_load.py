"""The quota owner under the use of a whole fleet, in steps of time."""

from __future__ import annotations

import math
import random
import time
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen
from hdrh.histogram import HdrHistogram

from berylnotch.quota import LocalQuota, QuotaOwner
from berylnotch.quota.messages import GrantRequest
from berylnotch.transport.codec import decode, encode

if TYPE_CHECKING:
    from berylnotch.quota import QuotaSettings

#: Length of a step in seconds.
STEP_S = 0.01

#: Steps between two charges of running streams.
STREAM_STEPS = 10

#: Longest time that is told apart, in microseconds.
HIGHEST_US = 1_000_000


@frozen
class Limits:
    """Limits of one organisation."""

    rate: float
    burst: float
    share: float = 1.0


@frozen
class FleetSize:
    """Size of the load; tokens are those of one request."""

    routers: int
    organisations: int
    requests_per_s: float
    prompt: int = 2000
    output: int = 320
    routers_each: int = 2
    use: float = 0.6
    burst_s: float = 4.0


@define
class Pair:
    """An organisation at one of its routers; ``due`` tokens wait."""

    router: int
    organisation: str
    requests_per_s: float
    due: int = 0


@define
class Measured:
    """What the owner did, in processor time; ``grant_us`` is for one request."""

    seconds: float = 0.0
    requests: int = 0
    lines: int = 0
    grant_s: float = 0.0
    codec_s: float = 0.0
    bytes_up: int = 0
    bytes_down: int = 0
    late_charges: int = 0
    charges: int = 0
    grant_us: HdrHistogram = Factory(lambda: HdrHistogram(1, HIGHEST_US, 3))


class FleetLoad:
    """Routers that charge to many organisations, and the owner.

    Organisations differ in size by a power law, and each is led to few routers.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes and waits.
    size : FleetSize
        Size of the load.
    seed : int
        Seed of the arrivals.
    """

    def __init__(self, settings: QuotaSettings, size: FleetSize, seed: int) -> None:
        self._size = size
        self._rng = random.Random(seed)
        self._owner = QuotaOwner(settings, 1, -10_000.0)
        self._quotas = [LocalQuota(settings) for _ in range(size.routers)]
        self._limits: dict[str, Limits] = {}
        self._pairs: list[Pair] = []
        self._step = 0
        self.measured = Measured()
        self._populate()

    def run(self, seconds: float) -> Measured:
        """Run on for ``seconds`` of the model's time."""
        self.measured = Measured(seconds=seconds)
        for _ in range(round(seconds / STEP_S)):
            now = self._step * STEP_S
            self._charge_all(now)
            for number, quota in enumerate(self._quotas):
                if now >= quota.next_ask_at:
                    self._exchange(now, number, quota)
            self._step += 1
        return self.measured

    def _populate(self) -> None:
        size = self._size
        weights = [1 / (n + 10) for n in range(size.organisations)]
        total = sum(weights)
        per_request = size.prompt + size.output
        for number, weight in enumerate(weights):
            requests_per_s = size.requests_per_s * weight / total
            rate = max(1000.0, requests_per_s * per_request / size.use)
            burst = max(rate * size.burst_s, 10.0 * size.prompt)
            name = f"organisation-{number:04d}"
            self._limits[name] = Limits(rate, burst)
            needed = requests_per_s / (size.requests_per_s / size.routers) * 1.5
            spread = min(size.routers, max(size.routers_each, math.ceil(needed)))
            for router in self._rng.sample(range(size.routers), spread):
                self._pairs.append(Pair(router, name, requests_per_s / spread))

    def _charge_all(self, now: float) -> None:
        streams = self._step % STREAM_STEPS == 0
        span_s = STEP_S * STREAM_STEPS
        for pair in self._pairs:
            before = pair.due
            if self._rng.random() < pair.requests_per_s * STEP_S:
                pair.due += self._size.prompt
            if streams:
                running = pair.requests_per_s * self._size.output * span_s
                pair.due += int(running + self._rng.random())
            if pair.due:
                self._charge(now, pair, before)

    def _charge(self, now: float, pair: Pair, before: int) -> None:
        quota = self._quotas[pair.router]
        self.measured.charges += 1
        if quota.charge(now, pair.organisation, pair.due):
            pair.due = 0
            if before:
                quota.want(pair.organisation, 0)
            return
        self.measured.late_charges += 1
        if pair.due != before:
            quota.want(pair.organisation, pair.due)

    def _exchange(self, now: float, number: int, quota: LocalQuota) -> None:
        measured = self.measured
        request = GrantRequest(
            vm=f"vm-{number:03d}",
            incarnation="0123456789abcdef",
            http_address="10.0.0.1:8080",
            failure_domain="kolkata-a",
            leaving=False,
            asks=quota.asks(now),
            sequence=quota.sequence,
        )
        data = encode(request)
        begun = time.thread_time()
        request = decode(data)
        received = time.thread_time()
        reply = self._owner.grant(now, request, self._limits)
        granted = time.thread_time()
        answer = encode(reply)
        done = time.thread_time()
        quota.receive(now, decode(answer))
        measured.requests += 1
        measured.lines += len(request.asks)
        measured.grant_s += granted - received
        measured.codec_s += (received - begun) + (done - granted)
        measured.bytes_up += len(data)
        measured.bytes_down += len(answer)
        measured.grant_us.record_value(max(1, round((granted - received) * 1e6)))
