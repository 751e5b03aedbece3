"""Estimates of prefill and transfer times, fitted to measured times to first token."""

from __future__ import annotations

from attrs import define, field, frozen

#: Initial estimates in ms, before the first measurement: the prefill time of a prompt
#: token, and the fixed part of the time to first token. The engines in the users' data
#: sheets prefill 40 to 80 tokens per ms.
INITIAL_TOKEN_MS = 0.021
INITIAL_BASE_MS = 25.0

#: Bounds of the fitted estimates, in ms.
MIN_TOKEN_MS, MAX_TOKEN_MS = 1 / 400, 1 / 5
MAX_BASE_MS = 500.0

#: Factor by which each new measurement reduces the weight of the earlier ones, so that
#: the estimate reflects about the last 50 measurements.
WEIGHT_DECAY = 0.98

#: Weight of each initial data point in the fit, relative to one measurement, and the
#: prompt tokens of these points.
INITIAL_WEIGHT = 0.5
INITIAL_TOKENS = (500.0, 12_000.0)

#: Multiple of the estimated time to which a longer measurement is clipped.
OUTLIER_FACTOR = 4.0

#: Prompt tokens below which a measurement is ignored, since the prefill is too small a
#: part of the time to first token.
MIN_TOKENS = 200

#: Initial estimates of the share of the prefill queue for which a request waits. The
#: share of urgent requests is lower, since engines admit them before the others.
#: For all other requests, the initial estimate is ``MAX_QUEUE_SHARE``, the upper bound
#: of a measured share; ``MIN_QUEUE_SHARE`` is the lower bound.
INITIAL_URGENT_QUEUE_SHARE = 0.3
MAX_QUEUE_SHARE = 1.0
MIN_QUEUE_SHARE = 0.03

#: Prefill queue in ms below which the wait of a request is not used to estimate the
#: queue share, and the weight of a new measurement in the moving average of the share.
MIN_QUEUE_MS = 50.0
QUEUE_SHARE_SMOOTHING = 0.1

#: Factor by which each answer reduces the recorded excess over the expected time to
#: first token. About 70 answers that take no longer than expected halve the excess.
OVERSHOOT_DECAY = 0.99

#: Tokens per ms that an engine copies from another engine, or from a KV store, if the
#: configuration does not state the link's bandwidth.
DEFAULT_COPY_TOKENS_PER_MS = 1500.0
DEFAULT_STORE_TOKENS_PER_MS = 100.0

#: Factor on the time of a transfer between failure domains.
CROSS_DOMAIN_FACTOR = 2.0

#: Share by which each concurrent request at the engine lengthens a prefill.
LOAD_SLOWDOWN = 0.008


@frozen
class EngineCosts:
    """Prefill and transfer costs of the engines of one service.

    Parameters
    ----------
    token_ms : float
        Prefill time of a prompt token, in ms.
    base_ms : float
        Fixed part of the time to first token, in ms.
    copy_tokens_per_ms : float
        Tokens per ms that an engine copies from another engine.
    store_tokens_per_ms : float
        Tokens per ms that an engine fetches from a KV store.
    """

    token_ms: float = INITIAL_TOKEN_MS
    base_ms: float = INITIAL_BASE_MS
    copy_tokens_per_ms: float = DEFAULT_COPY_TOKENS_PER_MS
    store_tokens_per_ms: float = DEFAULT_STORE_TOKENS_PER_MS

    def prefill_ms(self, tokens: int, load: int) -> float:
        """Return the time in ms to prefill tokens while ``load`` other requests run."""
        return tokens * self.token_ms * (1 + LOAD_SLOWDOWN * load)

    def copy_ms(self, tokens: int, is_far: bool) -> float:
        """Return the time in ms to copy cached tokens from another engine.

        ``is_far`` is true if the other engine is in another failure domain.
        """
        return (
            tokens / self.copy_tokens_per_ms * (CROSS_DOMAIN_FACTOR if is_far else 1.0)
        )

    def store_ms(self, tokens: int) -> float:
        """Return the time in ms to fetch cached tokens from a KV store.

        The store may be in another failure domain, so `CROSS_DOMAIN_FACTOR` applies.
        """
        return tokens / self.store_tokens_per_ms * CROSS_DOMAIN_FACTOR


@define
class PrefillEstimator:
    """Linear fit of the time to first token over the prompt tokens, for one service.

    The weight of older measurements decays exponentially, so that the fit follows
    changes in the engines' speed. In the sums, x is the number of prompt tokens and y
    the time to first token in ms.
    """

    _sum_weight: float = 0.0
    _sum_x: float = 0.0
    _sum_y: float = 0.0
    _sum_xx: float = 0.0
    _sum_xy: float = 0.0
    _queue_shares: dict[int, float] = field(factory=dict)
    _overshoot_ms: float = 0.0
    _fit: tuple[float, float] = field(default=(INITIAL_BASE_MS, INITIAL_TOKEN_MS))

    @property
    def base_ms(self) -> float:
        """Fixed part of the time to first token, in ms."""
        return self._fit[0]

    @property
    def token_ms(self) -> float:
        """Prefill time of a prompt token, in ms."""
        return self._fit[1]

    @property
    def max_overshoot_ms(self) -> float:
        """Largest recent excess over the expected time to first token, in ms."""
        return self._overshoot_ms

    def record_overshoot(self, expected_ms: float, first_token_ms: float) -> None:
        """Record an expected and a measured time to first token, in ms."""
        decayed_ms = OVERSHOOT_DECAY * self._overshoot_ms
        self._overshoot_ms = max(decayed_ms, first_token_ms - expected_ms)

    def queue_share(self, priority: int, is_urgent: bool) -> float:
        """Return the share of the prefill queue that delays a priority's requests."""
        initial = INITIAL_URGENT_QUEUE_SHARE if is_urgent else MAX_QUEUE_SHARE
        return self._queue_shares.get(priority, initial)

    def record_queue_wait(
        self,
        priority: int,
        is_urgent: bool,
        tokens: int,
        queue_ms: float,
        first_token_ms: float,
    ) -> None:
        """Record the time to first token of a request that was queued.

        Parameters
        ----------
        priority : int
            Priority with which the request was sent to the engine.
        is_urgent : bool
            Whether engines are expected to admit the request before most others.
        tokens : int
            Prompt tokens of the request that the engine prefilled.
        queue_ms : float
            Time in ms to prefill all prompts that were queued before the request, in
            order of arrival.
        first_token_ms : float
            Time to first token, in ms.
        """
        if queue_ms < MIN_QUEUE_MS:
            return
        waited_ms = first_token_ms - self.base_ms - tokens * self.token_ms
        share = min(MAX_QUEUE_SHARE, max(MIN_QUEUE_SHARE, waited_ms / queue_ms))
        estimate = self.queue_share(priority, is_urgent)
        self._queue_shares[priority] = (
            estimate + (share - estimate) * QUEUE_SHARE_SMOOTHING
        )

    def record_prefill(self, tokens: int, first_token_ms: float) -> None:
        """Record a time to first token in ms after a prefill of ``tokens``."""
        if tokens < MIN_TOKENS or first_token_ms <= 0:
            return
        # A request that was queued behind others says little about the prefill time,
        # so its measurement is clipped.
        estimate_ms = self.base_ms + tokens * self.token_ms
        first_token_ms = min(first_token_ms, OUTLIER_FACTOR * estimate_ms)
        self._sum_weight = WEIGHT_DECAY * self._sum_weight + 1
        self._sum_x = WEIGHT_DECAY * self._sum_x + tokens
        self._sum_y = WEIGHT_DECAY * self._sum_y + first_token_ms
        self._sum_xx = WEIGHT_DECAY * self._sum_xx + tokens * tokens
        self._sum_xy = WEIGHT_DECAY * self._sum_xy + tokens * first_token_ms
        self._refit()

    def _refit(self) -> None:
        weight, x, y, xx, xy = (
            self._sum_weight,
            self._sum_x,
            self._sum_y,
            self._sum_xx,
            self._sum_xy,
        )
        for tokens in INITIAL_TOKENS:
            expected_ms = INITIAL_BASE_MS + tokens * INITIAL_TOKEN_MS
            weight += INITIAL_WEIGHT
            x += INITIAL_WEIGHT * tokens
            y += INITIAL_WEIGHT * expected_ms
            xx += INITIAL_WEIGHT * tokens * tokens
            xy += INITIAL_WEIGHT * tokens * expected_ms
        slope = (weight * xy - x * y) / (weight * xx - x * x)
        slope = min(MAX_TOKEN_MS, max(MIN_TOKEN_MS, slope))
        base_ms = min(MAX_BASE_MS, max(0.0, (y - slope * x) / weight))
        self._fit = (base_ms, slope)
