"""Values that placement takes and gives."""

from __future__ import annotations

from attrs import frozen


@frozen
class Candidate:
    """A target as one router sees it.

    Parameters
    ----------
    name : str
        Name of the target in the operators' text.
    incarnation : str
        Identity of the running process; empty if not known.
    failure_domain : str
        Where the target runs.
    weights : str
        Weights version it serves; empty while it loads or if it has none.
    queue_wait_s : float
        Expected wait before the target starts on a new request.
    in_flight : int
        Requests of this router that run there.
    capacity : int
        Requests that the target runs at once; 0 if not known.
    draining : bool
        Whether it must get no new work.
    ejected : bool
        Whether it is left out after failures.
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
        """Whether the target may get new work."""
        return not (self.draining or self.ejected)


@frozen
class Level:
    """Number of homes of the prefix with ``depth`` pieces."""

    depth: int
    homes: int


@frozen
class Query:
    """A request to be placed.

    Parameters
    ----------
    chain : tuple of bytes
        Hashes of the prompt's full pieces; empty without affinity.
    prompt_pieces : int
        Pieces in the prompt, a partial last one included.
    failure_domain : str
        Where the router runs.
    exclude : frozenset of str
        Targets already tried.
    weights : str
        Weights version that the chain was made for; other targets are left
        out. Empty if the service has no weights.
    levels : tuple of Level
        Levels of the chain that select homes, shallowest first; empty for the
        default.
    now : float
        Router's monotonic time in seconds.
    stores : tuple of str
        KV stores that engines may import from.
    """

    chain: tuple[bytes, ...] = ()
    prompt_pieces: int = 0
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
        Expected wait and prompt computation; lower is better.
    reason : str
        Parts of the score, for operators.
    cached_pieces : int
        Leading pieces expected in the target's cache.
    incarnation, weights : str
        Process and weights version that were ranked.
    import_from : str
        Target or KV store to import pieces from; empty to compute them.
    import_pieces : int
        Leading pieces that are there.
    """

    name: str
    score_ms: float
    reason: str
    cached_pieces: int = 0
    incarnation: str = ""
    weights: str = ""
    import_from: str = ""
    import_pieces: int = 0
