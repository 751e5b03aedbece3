"""Settings of placement."""

from __future__ import annotations

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
    home_engines : int, default=2
        Engines that share a first-level prefix nobody counts as hot. More
        engines spread load and spend cache memory.
    prefill_tokens_per_s : float, default=8000.0
        Rate at which an engine computes a prompt. Higher values favour short
        queues over cached prefixes.
    import_tokens_per_s : float, default=40000.0
        Rate at which an engine imports cached pieces from elsewhere.
    import_overhead_ms : float, default=20.0
        Fixed time of one import.
    far_ms : float, default=3.0
        Added for a target in another failure domain.
    max_candidates : int, default=16
        Targets that are scored for one request. Bounds the decision time.
    """

    piece_tokens: int = 1024
    bytes_per_token: int = 4
    home_engines: int = 2
    prefill_tokens_per_s: float = 8000.0
    import_tokens_per_s: float = 40000.0
    import_overhead_ms: float = 20.0
    far_ms: float = 3.0
    max_candidates: int = 16

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
        """Time to import one piece, without the fixed part."""
        return 1000.0 * self.piece_tokens / self.import_tokens_per_s
