"""Load of a whole fleet on the quota owner, simulated in discrete time."""

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
STREAM_CHARGE_STEPS = 10

#: Upper bound of the histogram of grant times, in microseconds.
MAX_TIME_US = 1_000_000


@frozen
class OrganisationLimits:
    """Limits of one organisation: tokens a second, tokens, and relative share."""

    rate: float
    burst: float
    share: float = 1.0


@frozen
class FleetSize:
    """Size of the load.

    ``prompt`` and ``output`` are tokens of one request; ``utilisation`` is the fraction
    of their rate that organisations use, and ``burst_s`` is the burst in seconds of the
    rate.
    """

    routers: int
    organisations: int
    requests_per_s: float
    prompt: int = 2000
    output: int = 320
    min_routers_each: int = 2
    utilisation: float = 0.6
    burst_s: float = 4.0


@define
class RouterLoad:
    """Load of one organisation at one router; ``due_tokens`` are not charged yet."""

    router: int
    organisation: str
    requests_per_s: float
    due_tokens: int = 0


@define
class Measurement:
    """Work of the owner; times are processor time.

    ``grant_us`` is the time of one grant request. ``late_charges`` counts charges that
    lacked tokens.
    """

    seconds: float = 0.0
    requests: int = 0
    asks: int = 0
    grant_s: float = 0.0
    codec_s: float = 0.0
    bytes_up: int = 0
    bytes_down: int = 0
    late_charges: int = 0
    charges: int = 0
    grant_us: HdrHistogram = Factory(lambda: HdrHistogram(1, MAX_TIME_US, 3))


class FleetLoad:
    """Simulates routers that charge many organisations, and the quota owner.

    Sizes of organisations follow a power law; each organisation uses few routers.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes of grants and longest wait.
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
        self._limits: dict[str, OrganisationLimits] = {}
        self._router_loads: list[RouterLoad] = []
        self._step = 0
        self.measurement = Measurement()
        self._populate()

    def run(self, seconds: float) -> Measurement:
        """Continue for ``seconds`` of simulated time and return the measurement."""
        self.measurement = Measurement(seconds=seconds)
        for _ in range(round(seconds / STEP_S)):
            now = self._step * STEP_S
            self._charge_all(now)
            for number, quota in enumerate(self._quotas):
                if now >= quota.next_ask_at:
                    self._exchange(now, number, quota)
            self._step += 1
        return self.measurement

    def _populate(self) -> None:
        size = self._size
        weights = [1 / (n + 10) for n in range(size.organisations)]
        total = sum(weights)
        per_request = size.prompt + size.output
        for number, weight in enumerate(weights):
            requests_per_s = size.requests_per_s * weight / total
            rate = max(1000.0, requests_per_s * per_request / size.utilisation)
            burst = max(rate * size.burst_s, 10.0 * size.prompt)
            name = f"organisation-{number:04d}"
            self._limits[name] = OrganisationLimits(rate, burst)
            needed_routers = requests_per_s / (size.requests_per_s / size.routers) * 1.5
            n_routers = min(
                size.routers, max(size.min_routers_each, math.ceil(needed_routers))
            )
            for router in self._rng.sample(range(size.routers), n_routers):
                self._router_loads.append(
                    RouterLoad(router, name, requests_per_s / n_routers)
                )

    def _charge_all(self, now: float) -> None:
        is_stream_step = self._step % STREAM_CHARGE_STEPS == 0
        span_s = STEP_S * STREAM_CHARGE_STEPS
        for load in self._router_loads:
            due_before = load.due_tokens
            if self._rng.random() < load.requests_per_s * STEP_S:
                load.due_tokens += self._size.prompt
            if is_stream_step:
                running = load.requests_per_s * self._size.output * span_s
                load.due_tokens += int(running + self._rng.random())
            if load.due_tokens:
                self._charge(now, load, due_before)

    def _charge(self, now: float, load: RouterLoad, due_before: int) -> None:
        quota = self._quotas[load.router]
        self.measurement.charges += 1
        if quota.charge(now, load.organisation, load.due_tokens):
            load.due_tokens = 0
            if due_before:
                quota.want(load.organisation, 0)
            return
        self.measurement.late_charges += 1
        if load.due_tokens != due_before:
            quota.want(load.organisation, load.due_tokens)

    def _exchange(self, now: float, number: int, quota: LocalQuota) -> None:
        measurement = self.measurement
        request = GrantRequest(
            vm=f"vm-{number:03d}",
            incarnation="0123456789abcdef",
            http_address="10.0.0.1:8080",
            failure_domain="kolkata-a",
            leaving=False,
            asks=quota.asks(now),
            sequence=quota.sequence,
        )
        request_data = encode(request)
        begun_at = time.thread_time()
        request = decode(request_data)
        received_at = time.thread_time()
        reply = self._owner.grant(now, request, self._limits)
        granted_at = time.thread_time()
        reply_data = encode(reply)
        done_at = time.thread_time()
        quota.receive(now, decode(reply_data))
        measurement.requests += 1
        measurement.asks += len(request.asks)
        measurement.grant_s += granted_at - received_at
        measurement.codec_s += (received_at - begun_at) + (done_at - granted_at)
        measurement.bytes_up += len(request_data)
        measurement.bytes_down += len(reply_data)
        measurement.grant_us.record_value(
            max(1, round((granted_at - received_at) * 1e6))
        )
