"""Ranking of targets for one request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from berylnotch.placement.model import Candidate, Query, Ranked
from berylnotch.placement.rendezvous import top

if TYPE_CHECKING:
    from berylnotch.placement.hints import CacheHints, Hint
    from berylnotch.placement.settings import PlacementSettings


def rank(
    settings: PlacementSettings,
    query: Query,
    candidates: Sequence[Candidate],
    hints: CacheHints | None = None,
) -> tuple[Ranked, ...]:
    """Order the usable candidates by expected time to the first token.

    Parameters
    ----------
    settings : PlacementSettings
        Costs and widths.
    query : Query
        The request.
    candidates : sequence of Candidate
        Targets of the service.
    hints : CacheHints, optional
        What cache events told; without it only affinity counts.

    Returns
    -------
    tuple of Ranked
        Best first; the same on every router for the same input. Targets that
        drain, are ejected or excluded, or serve other weights are left out.
    """
    usable = [c for c in candidates if _is_allowed(query, c)]
    expected = expected_pieces(settings, query, [c.name for c in usable])
    ranked = [
        _score(settings, query, candidate, expected.get(candidate.name, 0), hints)
        for candidate in usable
    ]
    ranked.sort(key=lambda item: (item.score_ms, item.name))
    return tuple(ranked)


def expected_pieces(
    settings: PlacementSettings, query: Query, names: Sequence[str]
) -> dict[str, int]:
    """Return the leading pieces that affinity expects at each home.

    Each level of the chain selects its homes among those of the level above,
    so a prompt's homes are among the homes of everything that it extends.
    """
    members = list(names)
    expected: dict[str, int] = {}
    widths = query.widths or _default_widths(settings, len(query.chain))
    for depth, width in enumerate(widths, start=1):
        if width < len(members):
            expected.update(dict.fromkeys(members, depth - 1))
            members = top(query.chain[depth - 1], members, width)
    reached = len(query.chain) if len(members) == 1 else len(widths)
    expected.update(dict.fromkeys(members, reached))
    return expected


def _default_widths(settings: PlacementSettings, pieces: int) -> tuple[int, ...]:
    depth = min(pieces, settings.cold_depth)
    if not depth:
        return ()
    return (settings.max_candidates,) * (depth - 1) + (1,)


def _is_allowed(query: Query, candidate: Candidate) -> bool:
    if not candidate.is_usable or candidate.name in query.exclude:
        return False
    return not query.weights or candidate.weights == query.weights


def _score(
    settings: PlacementSettings,
    query: Query,
    candidate: Candidate,
    expected: int,
    hints: CacheHints | None,
) -> Ranked:
    cached, source = expected, "affinity"
    if hints is not None:
        hint = hints.cached_pieces(
            query.now, candidate.name, candidate.incarnation, query.chain
        )
        cached = _estimate(settings, hint, expected)
        source = "affinity" if cached == expected else "events"
    wait_ms = 1000.0 * candidate.queue_wait_s
    uncached = max(0, query.prompt_pieces - cached)
    compute_ms = settings.miss_weight * uncached * settings.recompute_ms
    near = candidate.failure_domain == query.failure_domain
    score_ms = wait_ms + compute_ms + (0.0 if near else settings.far_ms)
    reason = (
        f"wait={wait_ms:.0f}ms compute={compute_ms:.0f}ms "
        f"cached={cached}/{query.prompt_pieces} by={source} near={near}"
    )
    return Ranked(
        name=candidate.name,
        score_ms=score_ms,
        reason=reason,
        cached_pieces=int(cached),
        incarnation=candidate.incarnation,
        weights=candidate.weights,
    )


def _estimate(settings: PlacementSettings, hint: Hint, expected: int) -> float:
    """Return the leading pieces to count on, weighted by what tells of them."""
    guessed = max(hint.likely, min(expected, hint.limit))
    unconfirmed = hint.likely - hint.known
    unseen = guessed - hint.likely
    return (
        hint.known
        + settings.unconfirmed_trust * unconfirmed
        + settings.affinity_trust * unseen
    )
