"""Settings of placement."""

from __future__ import annotations

import math

from attrs import frozen


@frozen
class PlacementSettings:
    """How targets are ranked.

    Parameters
    ----------
    piece_tokens : int, default=1024
        Tokens in one cached piece of an engine. Must match the engines.
    bytes_per_token : int, default=4
        Prompt bytes taken for one token; the router does not tokenise. Larger
        values make affinity coarser, smaller ones make it finer.
    cold_depth : int, default=8
        Level at which a router that has counted nothing yet selects one home.
        Deeper spreads more, shallower shares more.
    warm_s : float, default=16.0
        Time between two uses within which an engine keeps a prefix. Higher
        values give a prefix more homes.
    busy_warm_s : float, default=4.0
        The same for an organisation above its share, so that its copies do not
        fill the caches of the others.
    hot_tau_s : float, default=10.0
        Time constant of the prefix rates.
    hot_warmup_s : float, default=3.0
        Time after the first request in which rates are not used yet.
    hot_max : int, default=32768
        Prefixes whose rate is kept.
    hot_new_levels : int, default=8
        Unseen levels of one prompt that are added at a time.
    answer_routers : int, default=3
        Routers that share an organisation's traffic; a router's own rates are
        multiplied by it.
    prefill_tokens_per_s : float, default=8000.0
        Rate at which an engine computes a prompt. Higher values favour short
        queues over cached prefixes.
    miss_weight : float, default=3.0
        Factor on the time to compute uncached pieces. Above 1 it counts what a
        recomputation costs the requests behind it and the cache; higher values
        keep requests at their homes for longer.
    affinity_trust : float, default=0.5
        Share of the pieces expected at a home that is counted as cached while
        no cache event or own request confirms them.
    unconfirmed_trust : float, default=0.8
        Share that is counted of pieces told of before a gap in the events.
    import_tokens_per_s : float, default=0.0
        Rate at which an engine imports cached pieces from the KV store or another
        engine; 0 if engines are not told to import.
    import_overhead_ms : float, default=20.0
        Fixed time of one import.
    hint_max : int, default=16384
        Prefixes kept for each engine from cache events and own requests.
    hint_keep_s : float, default=30.0
        Age at which such an entry is no longer used.
    far_ms : float, default=3.0
        Added for a target in another failure domain.
    max_candidates : int, default=8
        Targets that are scored for one request. Bounds the decision time.
    """

    piece_tokens: int = 1024
    bytes_per_token: int = 4
    cold_depth: int = 8
    warm_s: float = 16.0
    busy_warm_s: float = 4.0
    hot_tau_s: float = 10.0
    hot_warmup_s: float = 3.0
    hot_max: int = 32_768
    hot_new_levels: int = 8
    answer_routers: int = 3
    prefill_tokens_per_s: float = 8000.0
    miss_weight: float = 3.0
    affinity_trust: float = 0.5
    unconfirmed_trust: float = 0.8
    import_tokens_per_s: float = 0.0
    import_overhead_ms: float = 20.0
    hint_max: int = 16_384
    hint_keep_s: float = 30.0
    far_ms: float = 3.0
    max_candidates: int = 8

    @property
    def piece_bytes(self) -> int:
        """Prompt bytes in one piece."""
        return self.piece_tokens * self.bytes_per_token

    @property
    def recompute_ms(self) -> float:
        """Time to compute one piece."""
        return 1000.0 * self.piece_tokens / self.prefill_tokens_per_s

    @property
    def import_ms(self) -> float:
        """Time to import one piece, without the fixed part; inf if off."""
        if not self.import_tokens_per_s:
            return math.inf
        return 1000.0 * self.piece_tokens / self.import_tokens_per_s
