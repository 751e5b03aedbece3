"""Settings of target placement."""

from __future__ import annotations

import math

from attrs import frozen


@frozen
class PlacementSettings:
    """Parameters of the ranking of targets.

    Parameters
    ----------
    piece_tokens : int, default=1024
        Tokens in one block of an engine's KV cache. Must match the engines'
        block size.
    bytes_per_token : int, default=4
        Assumed prompt bytes per token, since the router does not tokenise. Larger
        values make affinity coarser, smaller values make it finer.
    default_home_depth : int, default=8
        Depth in blocks at which a router without measured rates selects one home
        (preferred target).
        A greater depth spreads prompts more, a smaller depth shares caches more.
    retention_s : float, default=16.0
        Time in seconds for which an engine keeps a prefix that is not used again.
        Higher values give a prefix more homes.
    over_share_retention_s : float, default=4.0
        Retention time in seconds for the prefixes of an organisation above its share.
        It is shorter, so that copies of these prefixes do not displace the prefixes of
        other organisations from the caches.
    rate_time_constant_s : float, default=10.0
        Time constant in seconds of the exponential decay of prefix rates.
    rate_warmup_s : float, default=3.0
        Time in seconds after the first request during which rates are not used.
    max_rates : int, default=32768
        Maximum number of prefixes for which a rate is kept.
    max_new_rates : int, default=8
        Maximum number of new prefixes for which one request adds a rate.
    routers_per_organisation : int, default=3
        Routers that share an organisation's traffic; a router's own rates are
        multiplied by this number.
    prefill_tokens_per_s : float, default=8000.0
        Prefill rate of an engine, in tokens per second. Higher values favour short
        queues over cached prefixes.
    miss_weight : float, default=3.0
        Factor on the time to compute uncached blocks. A value above 1 accounts for
        the cost of a recomputation to queued requests and to the cache; higher values
        keep requests at their homes for longer.
    affinity_confidence : float, default=0.5
        Share of the blocks expected at a home that counts as cached while no cache
        event and no request of this router confirms them.
    stale_confidence : float, default=0.8
        Share of the blocks reported before a gap in the events that counts as cached.
    import_tokens_per_s : float, default=0.0
        Rate at which an engine imports cached blocks from a KV store or another
        engine, in tokens per second; 0 disables imports.
    import_overhead_ms : float, default=20.0
        Fixed time of one import in ms.
    max_hints : int, default=16384
        Maximum number of prefixes kept for each engine, known from cache events and
        this router's requests.
    hint_ttl_s : float, default=30.0
        Age in seconds after which a prefix kept for an engine is no longer used.
    cross_domain_ms : float, default=3.0
        Penalty in ms for a target in another failure domain.
    max_candidates : int, default=8
        Maximum number of targets scored for one request. The limit bounds the
        decision time.
    """

    piece_tokens: int = 1024
    bytes_per_token: int = 4
    default_home_depth: int = 8
    retention_s: float = 16.0
    over_share_retention_s: float = 4.0
    rate_time_constant_s: float = 10.0
    rate_warmup_s: float = 3.0
    max_rates: int = 32_768
    max_new_rates: int = 8
    routers_per_organisation: int = 3
    prefill_tokens_per_s: float = 8000.0
    miss_weight: float = 3.0
    affinity_confidence: float = 0.5
    stale_confidence: float = 0.8
    import_tokens_per_s: float = 0.0
    import_overhead_ms: float = 20.0
    max_hints: int = 16_384
    hint_ttl_s: float = 30.0
    cross_domain_ms: float = 3.0
    max_candidates: int = 8

    @property
    def piece_bytes(self) -> int:
        """Prompt bytes in one block."""
        return self.piece_tokens * self.bytes_per_token

    @property
    def recompute_ms(self) -> float:
        """Time in ms to compute one block."""
        return 1000.0 * self.piece_tokens / self.prefill_tokens_per_s

    @property
    def import_ms(self) -> float:
        """Time in ms to import one block, without the fixed part; inf if disabled."""
        if not self.import_tokens_per_s:
            return math.inf
        return 1000.0 * self.piece_tokens / self.import_tokens_per_s
