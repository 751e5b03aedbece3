"""Provides the compared placement policies as closures that choose a target."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen

from benchmarks.workload import PIECE_BYTES, Request
from berylnotch.placement.chain import Scope, hash_chain
from berylnotch.placement.model import Candidate
from berylnotch.placement.placer import PlacementRequest, Placer, Prompt
from berylnotch.placement.rendezvous import top
from berylnotch.placement.settings import PlacementSettings

if TYPE_CHECKING:
    from benchmarks.engine import Engine
    from benchmarks.shapes import Shape

SERVICE = "language"


@frozen
class Question:
    """Information that a router has when it places a request."""

    now: float
    request: Request
    failure_domain: str
    candidates: tuple[Candidate, ...]
    exclude: frozenset[str]
    priority: int = 0


@frozen
class Choice:
    """Chosen target, its weights version, the expected prefill time and an import."""

    target: str
    weights: str
    work_s: float
    import_from: str = ""
    import_blocks: int = 0


Chooser = Callable[[Question], Choice | None]


def chain_of(request: Request, weights: str) -> tuple[bytes, ...]:
    """Return the request's chain of prefix hashes for a weights version."""
    scope = Scope(request.organisation, SERVICE, weights)
    return hash_chain(scope, request.prompt, PIECE_BYTES)


def usable_candidates(question: Question) -> list[Candidate]:
    """Return the candidates that the request may be sent to."""
    return [
        c
        for c in question.candidates
        if c.is_usable and c.weights and c.name not in question.exclude
    ]


def random_chooser(seed: int) -> Chooser:
    """Return a policy that chooses a random usable target."""
    rng = random.Random(seed)

    def choose(question: Question) -> Choice | None:
        candidates = usable_candidates(question)
        if not candidates:
            return None
        chosen = rng.choice(candidates)
        return Choice(chosen.name, chosen.weights, 0.0)

    return choose


def least_loaded_chooser(settings: PlacementSettings) -> Chooser:
    """Return a policy that prefers the shortest expected wait, then fewest requests."""

    def choose(question: Question) -> Choice | None:
        candidates = usable_candidates(question)
        if not candidates:
            return None
        chosen = min(candidates, key=lambda c: (c.queue_wait_s, c.in_flight, c.name))
        work_ms = question.request.pieces * settings.recompute_ms
        return Choice(chosen.name, chosen.weights, work_ms / 1000.0)

    return choose


def thin_chooser() -> Chooser:
    """Return a policy that uses rendezvous hashing of the first piece only."""

    def choose(question: Question) -> Choice | None:
        candidates = {c.name: c for c in usable_candidates(question)}
        if not candidates:
            return None
        request = question.request
        scope = Scope(request.organisation, SERVICE, "")
        first_piece = hash_chain(scope, request.prompt[:PIECE_BYTES], PIECE_BYTES)
        chosen = candidates[top(first_piece[0], candidates, 1)[0]]
        return Choice(chosen.name, chosen.weights, 0.0)

    return choose


def all_knowing_chooser(
    engines: dict[str, Engine], settings: PlacementSettings
) -> Chooser:
    """Return a policy with exact knowledge of every queue and cache."""

    def choose(question: Question) -> Choice | None:
        best, best_total_s = None, float("inf")
        for candidate in question.candidates:
            engine = engines[candidate.name]
            if not engine.alive or not candidate.weights:
                continue
            if engine.name in question.exclude:
                continue
            chain = chain_of(question.request, engine.weights)
            uncached = len(chain) - engine.expected_pieces(chain)
            total_s = engine.queue_wait_s() + uncached * settings.recompute_ms / 1000.0
            if total_s < best_total_s:
                best, best_total_s = engine, total_s
        return Choice(best.name, best.weights, 0.0) if best else None

    return choose


def our_chooser(settings: PlacementSettings, placer: Placer) -> Chooser:
    """Return a policy that uses berylnotch's placement."""

    def choose(question: Question) -> Choice | None:
        request = question.request
        prompt = Prompt(request.organisation, SERVICE, request.prompt, PIECE_BYTES)
        placement_request = PlacementRequest(
            prompt,
            question.failure_domain,
            question.exclude,
            priority=question.priority,
        )
        loaded = [c for c in question.candidates if c.weights]
        ranked = placer.rank(question.now, placement_request, loaded)
        if not ranked:
            return None
        best = ranked[0]
        placer.record_sent(question.now, placement_request, best)
        work_ms = (prompt.pieces - best.cached_blocks) * settings.recompute_ms
        return Choice(
            best.name,
            best.weights,
            work_ms / 1000.0,
            best.import_from,
            best.import_blocks,
        )

    return choose


def placement_settings(shape: Shape) -> PlacementSettings:
    """Return placement settings with the prefill rate of the simulated engines."""
    return PlacementSettings(prefill_tokens_per_s=shape.engine.prefill_tokens_per_s)
