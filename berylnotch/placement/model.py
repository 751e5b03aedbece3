"""Input and output types of placement."""

from __future__ import annotations

from attrs import frozen


@frozen
class Candidate:
    """A target's state as known to one router.

    Parameters
    ----------
    name : str
        Name of the target in the operators' configuration.
    incarnation : str
        Identity of the running process; empty if unknown.
    failure_domain : str
        Failure domain in which the target runs.
    weights : str
        Weights version that the target serves; empty while it loads weights or if
        it has none.
    queue_wait_s : float
        Expected queueing time of a new request, in seconds.
    in_flight : int
        Requests that this router has in flight at the target.
    capacity : int
        Requests that the target runs concurrently; 0 if unknown.
    draining : bool
        Whether the target is draining and must get no new requests.
    ejected : bool
        Whether outlier ejection excludes the target after failures.
    """

    name: str
    incarnation: str = ""
    failure_domain: str = ""
    weights: str = ""
    queue_wait_s: float = 0.0
    in_flight: int = 0
    capacity: int = 0
    draining: bool = False
    ejected: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether the target may get new requests."""
        return not (self.draining or self.ejected)


@frozen
class Level:
    """Number of homes (preferred targets) of the prefix of ``depth`` blocks."""

    depth: int
    homes: int


@frozen
class Query:
    """A request to be placed.

    Parameters
    ----------
    chain : tuple of bytes
        Prefix hashes, one for each full block of the prompt; empty without
        affinity.
    prompt_blocks : int
        Blocks in the prompt, including a partial last block.
    failure_domain : str
        Failure domain in which the router runs.
    exclude : frozenset of str
        Targets that earlier attempts of the request used; they are not ranked.
    weights : str
        Weights version for which the chain was computed; targets with other
        weights are not ranked. Empty if the service has no weights.
    levels : tuple of Level
        Depths at which prefixes of the chain select homes, shallowest first; if
        empty, one home is selected at the depth in the placement settings.
    now : float
        Router's monotonic time in seconds.
    stores : tuple of str
        KV stores from which engines may import blocks.
    """

    chain: tuple[bytes, ...] = ()
    prompt_blocks: int = 0
    failure_domain: str = ""
    exclude: frozenset[str] = frozenset()
    weights: str = ""
    levels: tuple[Level, ...] = ()
    now: float = 0.0
    stores: tuple[str, ...] = ()


@frozen
class Ranked:
    """A target with its expected time to the first token.

    Parameters
    ----------
    name : str
        Name of the target.
    score_ms : float
        Weighted sum of the expected queueing, import and prefill times in ms, plus
        penalties; lower is better.
    reason : str
        Components of the score, shown to operators.
    cached_blocks : int
        Leading blocks expected in the target's cache.
    incarnation, weights : str
        Process and weights version for which the target was ranked.
    import_from : str
        Target or KV store from which to import blocks; empty to compute them.
    import_blocks : int
        Leading blocks known to be cached at ``import_from``.
    """

    name: str
    score_ms: float
    reason: str
    cached_blocks: int = 0
    incarnation: str = ""
    weights: str = ""
    import_from: str = ""
    import_blocks: int = 0
