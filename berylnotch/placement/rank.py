"""Ranking of targets for one request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from attrs import frozen

from berylnotch.placement.hints import Hint
from berylnotch.placement.model import Candidate, Level, Query, Ranked
from berylnotch.placement.rendezvous import name_hash, prefix_key, top, weight

if TYPE_CHECKING:
    from berylnotch.placement.hints import CacheHints
    from berylnotch.placement.settings import PlacementSettings


@frozen
class _Source:
    """Target or KV store with its number of confirmed leading blocks."""

    name: str = ""
    blocks: int = 0


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
        Costs, confidence factors and the default home depth.
    query : Query
        Request to be placed.
    candidates : sequence of Candidate
        Targets of the request's service.
    hints : CacheHints, optional
        Cache contents estimated from events; without them, only affinity counts.

    Returns
    -------
    tuple of Ranked
        Best first; equal on every router for equal input. Targets that are draining,
        ejected or excluded, or that serve other weights, are not ranked.
    """
    eligible = [c for c in candidates if _is_eligible(query, c)]
    expected = expected_blocks(settings, query, [c.name for c in eligible])
    cache_hints = [_cache_hint(query, c.name, c.incarnation, hints) for c in eligible]
    source = _best_source(settings, query, eligible, cache_hints, hints)
    scored = []
    for candidate, hint in zip(eligible, cache_hints, strict=True):
        blocks = expected.get(candidate.name, 0)
        cached = (
            float(blocks) if hint is None else _estimate_cached(settings, hint, blocks)
        )
        ranked = _score(settings, query, candidate, cached, source)
        scored.append((ranked.score_ms, _tie_break(query, candidate), ranked))
    scored.sort(key=lambda entry: entry[:2])
    return tuple(ranked for _, _, ranked in scored)


def expected_blocks(
    settings: PlacementSettings, query: Query, names: Sequence[str]
) -> dict[str, int]:
    """Return the leading blocks that affinity expects to be cached at each target.

    Each level of the chain selects its homes (preferred targets) among those of the
    level above, so a prompt's homes are among the homes of each of its prefixes.
    """
    remaining_names = list(names)
    expected: dict[str, int] = {}
    depth = 0
    for level in query.levels or _default_levels(settings, len(query.chain)):
        if level.homes < len(remaining_names):
            expected.update(dict.fromkeys(remaining_names, depth))
            remaining_names = top(
                query.chain[level.depth - 1], remaining_names, level.homes
            )
        depth = level.depth
    if len(remaining_names) == 1:
        depth = len(query.chain)
    expected.update(dict.fromkeys(remaining_names, depth))
    return expected


def _default_levels(settings: PlacementSettings, blocks: int) -> tuple[Level, ...]:
    if not blocks:
        return ()
    return (Level(min(blocks, settings.default_home_depth), 1),)


def _is_eligible(query: Query, candidate: Candidate) -> bool:
    if not candidate.is_usable or candidate.name in query.exclude:
        return False
    return not query.weights or candidate.weights == query.weights


def _tie_break(query: Query, candidate: Candidate) -> tuple[int, int, str]:
    """Return the sort key of targets with equal scores.

    Prompts are spread over the targets by hash, and requests without a chain by load.
    """
    key = prefix_key(query.chain[-1]) if query.chain else 0
    hash_weight = weight(key, name_hash(candidate.name)) if query.chain else 0
    return hash_weight, candidate.in_flight, candidate.name


def _cache_hint(
    query: Query, name: str, incarnation: str, hints: CacheHints | None
) -> Hint | None:
    if hints is None:
        return None
    return hints.cached_blocks(query.now, name, incarnation, query.chain)


def _best_source(
    settings: PlacementSettings,
    query: Query,
    eligible: Sequence[Candidate],
    cache_hints: Sequence[Hint | None],
    hints: CacheHints | None,
) -> _Source:
    """Return the best target or store to import from; only confirmed blocks count."""
    best = _Source()
    if hints is None or not settings.import_tokens_per_s:
        return best
    sources = [
        _Source(c.name, h.confirmed)
        for c, h in zip(eligible, cache_hints, strict=True)
        if h
    ]
    for store in query.stores:
        sources.append(
            _Source(
                store,
                hints.newest_cached_blocks(query.now, store, query.chain).confirmed,
            )
        )
    return max(sources, key=lambda s: (s.blocks, s.name), default=best)


def _estimate_cached(settings: PlacementSettings, hint: Hint, expected: int) -> float:
    """Return the expected number of cached leading blocks.

    Blocks are weighted by the confidence in their evidence: confirmed, reported before
    a gap, or expected by affinity alone.
    """
    total = max(hint.likely, min(expected, hint.limit))
    stale = hint.likely - hint.confirmed
    inferred = total - hint.likely
    return (
        hint.confirmed
        + settings.stale_confidence * stale
        + settings.affinity_confidence * inferred
    )


def _score(
    settings: PlacementSettings,
    query: Query,
    candidate: Candidate,
    cached: float,
    source: _Source,
) -> Ranked:
    wait_ms = 1000.0 * candidate.queue_wait_s
    is_near = candidate.failure_domain == query.failure_domain
    cross_domain_ms = 0.0 if is_near else settings.cross_domain_ms
    uncached = max(0.0, query.prompt_blocks - cached)
    importable = max(0.0, source.blocks - cached)
    import_ms = 0.0
    saved_ms = settings.miss_weight * importable * settings.recompute_ms
    if importable:
        import_ms = settings.import_overhead_ms + importable * settings.import_ms
    is_import = importable > 0 and import_ms < saved_ms
    if is_import:
        uncached -= importable
    compute_ms = settings.miss_weight * uncached * settings.recompute_ms
    load_ms = compute_ms + (settings.miss_weight * import_ms if is_import else 0.0)
    return Ranked(
        name=candidate.name,
        score_ms=wait_ms + load_ms + cross_domain_ms,
        reason=(
            f"wait={wait_ms:.0f}ms load={load_ms:.0f}ms far={cross_domain_ms:.0f}ms "
            f"cached={cached:.1f}/{query.prompt_blocks}"
        ),
        cached_blocks=int(cached),
        incarnation=candidate.incarnation,
        weights=candidate.weights,
        import_from=source.name if is_import else "",
        import_blocks=source.blocks if is_import else 0,
    )
