"""Choice of a target for an attempt, and the request that goes there."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from urllib.parse import quote

from attrs import evolve, frozen

from berylnotch.control.protocol import WhyLine, WhyReply
from berylnotch.fleet.model import ServiceKind
from berylnotch.gateways.engine import (
    EngineAddress,
    GenerationRequest,
    build_generation,
)
from berylnotch.gateways.plain import PlainRequest, build_plain
from berylnotch.placement.model import Candidate, Query
from berylnotch.placement.placer import PlacementRequest
from berylnotch.placement.rank import rank
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    from berylnotch.fleet.model import Target
    from berylnotch.gateways.http import UpstreamRequest
    from berylnotch.placement.model import Ranked
    from berylnotch.server.context import Context
    from berylnotch.server.job import Job
    from berylnotch.streams.actions import StartAttempt

#: Expected work of a request at a plain service, in seconds.
_PLAIN_WORK_S = 0.01
#: Characters that stand in a path as they are.
_PATH_SAFE = "/:@!$&'()*+,;=~-._"
#: Paths of an engine, by whether the request is a chat.
_PATHS = {True: "/v1/chat/completions", False: "/v1/completions"}


@frozen
class Choice:
    """A chosen target, why, and the work that it is expected to take."""

    target: Target
    ranked: Ranked
    work_s: float


class Attempts:
    """Chooses targets and builds what they are sent.

    Parameters
    ----------
    context : Context
        Shared state.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def free_slots(self, now: float, service: str) -> int:
        """Return how many more requests the targets of a service take at once."""
        candidates = self._candidates(now, service)
        return sum(max(c.capacity - c.in_flight, 0) for c in candidates if c.is_usable)

    def can_serve(self, now: float, service: str) -> bool:
        """Return whether a service and all it requires have a usable target."""
        fleet = self._context.view.fleet
        found = fleet.services.get(service)
        if found is None:
            return False
        if not any(c.is_usable for c in self._candidates(now, service)):
            return False
        return all(self.can_serve(now, name) for name in found.requires)

    def missing_dependency(self, now: float, service: str) -> str:
        """Return a required service that cannot serve, or an empty string."""
        found = self._context.view.fleet.services[service]
        broken = (name for name in found.requires if not self.can_serve(now, name))
        return next(broken, "")

    def choose(self, job: Job, action: StartAttempt) -> Choice | None:
        """Choose a target, or return None if none can take the attempt."""
        now = time.monotonic()
        apart = self._context.guard.targets_to_avoid(now, job.fingerprint)
        ranked = self._rank(now, job, action, action.exclude | apart)
        if not ranked and apart:
            # Suspects run apart if they can, but none is given up for it.
            ranked = self._rank(now, job, action, action.exclude)
        if not ranked:
            # An ejected target may be back; one that just failed this request
            # is not.
            ranked = self._rank(now, job, action, action.exclude, True)
        if not ranked and action.exclude:
            # A target that failed before is better than none.
            ranked = self._rank(now, job, action, frozenset())
        self._record(job, ranked)
        if not ranked:
            return None
        best = ranked[0]
        target = self._context.view.fleet.targets[best.name]
        return Choice(target, best, self._work_s(job, best))

    def sent(self, job: Job, choice: Choice) -> None:
        """Note that the request goes to the chosen target."""
        if job.prompt is not None:
            request = self._request(job, "", frozenset())
            self._context.placer.sent(time.monotonic(), request, choice.ranked)
            self._count_pieces(job, choice)

    def _count_pieces(self, job: Job, choice: Choice) -> None:
        metrics, label = self._context.metrics, Label("service", job.service.name)
        cached = choice.ranked.cached_pieces
        metrics.count("berylnotch_prompt_pieces_total", label, amount=job.prompt.pieces)
        metrics.count("berylnotch_expected_hit_pieces_total", label, amount=cached)

    def build(
        self, job: Job, target: Target, action: StartAttempt, timeout_s: float
    ) -> UpstreamRequest:
        """Build the request to a target.

        Raises
        ------
        ForbiddenRequestError
            If the caller's request may not be passed on.
        """
        address = EngineAddress(
            target.address, self._context.settings.target_credential
        )
        if job.language is not None:
            generation = self._generation(job)
            resume = action.resume_after
            return build_generation(address, generation, timeout_s, resume)
        plain = PlainRequest(
            method=job.request.method,
            path=quote(job.request.path, safe=_PATH_SAFE),
            query=job.request.query,
            headers=job.request.headers,
            body=job.request.body,
            request_id=job.request.request_id,
            caller_key=job.key,
        )
        return build_plain(address, plain, timeout_s)

    def _candidates(self, now: float, service: str) -> tuple[Candidate, ...]:
        found = self._context.health.candidates(now, self._context.view, service)
        return self._with_weights(service, found)

    def _with_weights(
        self, service: str, candidates: tuple[Candidate, ...]
    ) -> tuple[Candidate, ...]:
        """Assume the service's weights where nobody reported any yet.

        An engine says its version in each answer, which the exchange checks.
        """
        view = self._context.view
        weights = view.fleet.services[service].weights
        return tuple(
            c if view.weights_report(c.name) else evolve(c, weights=weights)
            for c in candidates
        )

    def _rank(
        self,
        now: float,
        job: Job,
        action: StartAttempt,
        exclude: frozenset[str],
        with_ejected: bool = False,
    ) -> tuple[Ranked, ...]:
        if job.prompt is None:
            candidates = self._candidates(now, job.service.name)
            if with_ejected:
                candidates = _not_ejected(candidates)
            domain = self._context.settings.failure_domain
            query = Query(failure_domain=domain, exclude=exclude)
            ranked = rank(self._context.settings.placement, query, candidates)
        else:
            request = self._request(job, action.weights, exclude)
            candidates = self._shortlist(now, job, request)
            if with_ejected:
                candidates = _not_ejected(candidates)
            ranked = self._context.placer.rank(now, request, candidates)
        return _with_free_slot_first(ranked, candidates)

    def _request(
        self, job: Job, weights: str, exclude: frozenset[str]
    ) -> PlacementRequest:
        return PlacementRequest(
            job.prompt,
            self._context.settings.failure_domain,
            exclude,
            weights,
            priority=self._context.quota.priority(job.organisation_name),
        )

    def _shortlist(
        self, now: float, job: Job, request: PlacementRequest
    ) -> tuple[Candidate, ...]:
        health, view, name = self._context.health, self._context.view, job.service.name
        names = health.names(view, name)
        service = view.fleet.services.get(name, job.service)
        shortlist = self._context.placer.shortlist(now, request, service, names)
        found = health.candidates(now, view, name, shortlist)
        return self._with_weights(name, found)

    def _generation(self, job: Job) -> GenerationRequest:
        name = job.organisation_name
        return GenerationRequest(
            path=_PATHS[job.request.path.endswith("/chat/completions")],
            body=job.request.body,
            request_id=job.request.request_id,
            cache_scope=name,
            stream=job.is_stream,
            priority=self._context.quota.priority(name),
            caller_key=job.key,
        )

    def _work_s(self, job: Job, best: Ranked) -> float:
        if job.service.kind is not ServiceKind.LANGUAGE or job.language is None:
            return _PLAIN_WORK_S
        settings = self._context.settings.placement
        cached = best.cached_pieces * settings.piece_tokens
        tokens = max(job.language.prompt_tokens - cached, 0)
        return tokens / settings.prefill_tokens_per_s

    def _record(self, job: Job, ranked: tuple[Ranked, ...]) -> None:
        lines = tuple(
            WhyLine(item.name, position == 0, item.score_ms, item.reason)
            for position, item in enumerate(ranked[:16])
        )
        revision = self._context.view.revision
        self._context.decisions.record(
            WhyReply(job.request.request_id, job.organisation_name, revision, lines)
        )


def _not_ejected(candidates: tuple[Candidate, ...]) -> tuple[Candidate, ...]:
    return tuple(evolve(candidate, ejected=False) for candidate in candidates)


def _with_free_slot_first(
    ranked: tuple[Ranked, ...], candidates: tuple[Candidate, ...]
) -> tuple[Ranked, ...]:
    full = {c.name for c in candidates if c.capacity and c.in_flight >= c.capacity}
    if not full:
        return ranked
    return tuple(sorted(ranked, key=lambda item: item.name in full))
