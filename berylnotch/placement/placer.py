"""Placement as one router does it: chains, ranking and what was learned."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from attrs import frozen

from berylnotch.placement.chain import Scope, hash_chain
from berylnotch.placement.hints import CacheEvent, CacheHints
from berylnotch.placement.hot import HotPrefixes
from berylnotch.placement.model import Candidate, Query, Ranked
from berylnotch.placement.rank import rank

if TYPE_CHECKING:
    from berylnotch.placement.settings import PlacementSettings


class Prompt:
    """A prompt and its chains, hashed once for each weights version.

    Parameters
    ----------
    organisation, service : str
        Whose request it is and what it asks.
    data : bytes
        The prompt as the engine will see it.
    piece_bytes : int
        Length of a piece.
    """

    def __init__(
        self, organisation: str, service: str, data: bytes, piece_bytes: int
    ) -> None:
        self._organisation = organisation
        self._service = service
        self._data = data
        self._piece_bytes = piece_bytes
        self._chains: dict[str, tuple[bytes, ...]] = {}

    @property
    def pieces(self) -> int:
        """Pieces of the prompt, a partial last one included."""
        return -(-len(self._data) // self._piece_bytes)

    def chain(self, weights: str) -> tuple[bytes, ...]:
        """Return the chain under a weights version."""
        found = self._chains.get(weights)
        if found is None:
            scope = Scope(self._organisation, self._service, weights)
            found = hash_chain(scope, self._data, self._piece_bytes)
            self._chains[weights] = found
        return found


@frozen
class PlacementRequest:
    """What to place, from where, and what to leave out.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    failure_domain : str
        Where the router runs.
    exclude : frozenset of str
        Targets that are left out.
    weights : str
        Weights version that must be used, as when a stream is resumed; any if
        empty.
    """

    prompt: Prompt
    failure_domain: str = ""
    exclude: frozenset[str] = frozenset()
    weights: str = ""


class Placer:
    """Ranks targets, and learns from cache events and its own choices.

    A new placer ranks by affinity and load alone, so it has to learn nothing
    before its first decision.

    Parameters
    ----------
    settings : PlacementSettings
        Costs, widths and bounds.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._hints = CacheHints(settings.hint_max, settings.hint_keep_s)
        self._hot = HotPrefixes(settings)

    def rank(
        self, now: float, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> tuple[Ranked, ...]:
        """Rank the candidates of all allowed weights versions, best first.

        While new weights roll out, engines of both versions serve. Each has its
        own chain, so neither is taken to hold the other's pieces.
        """
        versions = {c.weights for c in candidates if c.is_usable}
        if request.weights:
            versions &= {request.weights}
        ranked: list[Ranked] = []
        for weights in sorted(versions):
            query = self._query(now, request, weights)
            same = [c for c in candidates if c.weights == weights]
            ranked.extend(rank(self._settings, query, same, self._hints))
        ranked.sort(key=lambda item: (item.score_ms, item.name))
        return tuple(ranked)

    def sent(self, now: float, request: PlacementRequest, chosen: Ranked) -> None:
        """Note that the request was sent to a ranked target."""
        chain = request.prompt.chain(chosen.weights)
        self._hot.count(now, chain)
        self._hints.expect(now, chosen.name, chosen.incarnation, chain)

    def cache_event(self, now: float, event: CacheEvent) -> None:
        """Take an engine's cache event."""
        self._hints.apply(now, event)

    def target_lost(self, target: str) -> None:
        """Forget what is known of a lost engine's cache."""
        self._hints.forget(target)

    def _query(self, now: float, request: PlacementRequest, weights: str) -> Query:
        chain = request.prompt.chain(weights)
        return Query(
            chain=chain,
            prompt_pieces=request.prompt.pieces,
            failure_domain=request.failure_domain,
            exclude=request.exclude,
            weights=weights,
            widths=self._hot.widths(now, chain),
            now=now,
        )
