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
    """Where the most leading pieces are known to be."""

    name: str = ""
    pieces: int = 0


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
    found = [_hint(query, c.name, c.incarnation, hints) for c in usable]
    source = _best_source(settings, query, usable, found, hints)
    scored = []
    for candidate, hint in zip(usable, found, strict=True):
        pieces = expected.get(candidate.name, 0)
        cached = float(pieces) if hint is None else _estimate(settings, hint, pieces)
        ranked = _score(settings, query, candidate, cached, source)
        scored.append((ranked.score_ms, _preference(query, candidate), ranked))
    scored.sort(key=lambda entry: entry[:2])
    return tuple(ranked for _, _, ranked in scored)


def expected_pieces(
    settings: PlacementSettings, query: Query, names: Sequence[str]
) -> dict[str, int]:
    """Return the leading pieces that affinity expects at each home.

    Each level of the chain selects its homes among those of the level above,
    so a prompt's homes are among the homes of everything that it extends.
    """
    members = list(names)
    expected: dict[str, int] = {}
    reached = 0
    for level in query.levels or _default_levels(settings, len(query.chain)):
        if level.homes < len(members):
            expected.update(dict.fromkeys(members, reached))
            members = top(query.chain[level.depth - 1], members, level.homes)
        reached = level.depth
    if len(members) == 1:
        reached = len(query.chain)
    expected.update(dict.fromkeys(members, reached))
    return expected


def _default_levels(settings: PlacementSettings, pieces: int) -> tuple[Level, ...]:
    if not pieces:
        return ()
    return (Level(min(pieces, settings.cold_depth), 1),)


def _is_allowed(query: Query, candidate: Candidate) -> bool:
    if not candidate.is_usable or candidate.name in query.exclude:
        return False
    return not query.weights or candidate.weights == query.weights


def _preference(query: Query, candidate: Candidate) -> tuple[int, int, str]:
    """Order targets of the same score: spread prompts, then requests."""
    key = prefix_key(query.chain[-1]) if query.chain else 0
    preferred = weight(key, name_hash(candidate.name)) if query.chain else 0
    return preferred, candidate.in_flight, candidate.name


def _hint(
    query: Query, name: str, incarnation: str, hints: CacheHints | None
) -> Hint | None:
    if hints is None:
        return None
    return hints.cached_pieces(query.now, name, incarnation, query.chain)


def _best_source(
    settings: PlacementSettings,
    query: Query,
    usable: Sequence[Candidate],
    found: Sequence[Hint | None],
    hints: CacheHints | None,
) -> _Source:
    """Return where pieces can be imported from; only what is known counts."""
    best = _Source()
    if hints is None or not settings.import_tokens_per_s:
        return best
    known = [_Source(c.name, h.known) for c, h in zip(usable, found, strict=True) if h]
    for store in query.stores:
        known.append(_Source(store, hints.newest(query.now, store, query.chain).known))
    return max(known, key=lambda s: (s.pieces, s.name), default=best)


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


def _score(
    settings: PlacementSettings,
    query: Query,
    candidate: Candidate,
    cached: float,
    source: _Source,
) -> Ranked:
    wait_ms = 1000.0 * candidate.queue_wait_s
    near = candidate.failure_domain == query.failure_domain
    far_ms = 0.0 if near else settings.far_ms
    uncached = max(0.0, query.prompt_pieces - cached)
    gained = max(0.0, source.pieces - cached)
    import_ms = 0.0
    saved_ms = settings.miss_weight * gained * settings.recompute_ms
    if gained:
        import_ms = settings.import_overhead_ms + gained * settings.import_ms
    is_import = gained > 0 and import_ms < saved_ms
    if is_import:
        uncached -= gained
    compute_ms = settings.miss_weight * uncached * settings.recompute_ms
    load_ms = compute_ms + (settings.miss_weight * import_ms if is_import else 0.0)
    return Ranked(
        name=candidate.name,
        score_ms=wait_ms + load_ms + far_ms,
        reason=(
            f"wait={wait_ms:.0f}ms load={load_ms:.0f}ms far={far_ms:.0f}ms "
            f"cached={cached:.1f}/{query.prompt_pieces}"
        ),
        cached_pieces=int(cached),
        incarnation=candidate.incarnation,
        weights=candidate.weights,
        import_from=source.name if is_import else "",
        import_pieces=source.pieces if is_import else 0,
    )
