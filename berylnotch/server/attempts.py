"""Selection of a target for an attempt, and the request that is sent to it."""

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

#: Expected processing time of a request to a plain service, in seconds.
_PLAIN_WORK_S = 0.01
#: Characters that are not percent-encoded in a path.
_PATH_SAFE_CHARACTERS = "/:@!$&'()*+,;=~-._"
#: Paths of an engine, keyed by whether the request is a chat completion.
_ENGINE_PATHS = {True: "/v1/chat/completions", False: "/v1/completions"}


@frozen
class TargetChoice:
    """A chosen target, its rank, and the expected processing time in seconds."""

    target: Target
    ranked: Ranked
    work_s: float


class TargetSelector:
    """Chooses targets and builds the requests to them.

    Parameters
    ----------
    context : Context
        Shared state.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def free_slots(self, now: float, service: str) -> int:
        """Return the number of free request slots at a service's targets."""
        candidates = self._candidates(now, service)
        return sum(max(c.capacity - c.in_flight, 0) for c in candidates if c.is_usable)

    def can_serve(self, now: float, service: str) -> bool:
        """Return whether a service and all that it requires have a usable target."""
        fleet = self._context.view.fleet
        definition = fleet.services.get(service)
        if definition is None:
            return False
        if not any(c.is_usable for c in self._candidates(now, service)):
            return False
        return all(self.can_serve(now, name) for name in definition.requires)

    def missing_dependency(self, now: float, service: str) -> str:
        """Return a required service that cannot serve, or an empty string."""
        definition = self._context.view.fleet.services[service]
        unavailable = (
            name for name in definition.requires if not self.can_serve(now, name)
        )
        return next(unavailable, "")

    def choose(self, job: Job, action: StartAttempt) -> TargetChoice | None:
        """Choose a target, or return None if no target can take the attempt."""
        now = time.monotonic()
        avoided = self._context.crash_guard.targets_to_avoid(now, job.fingerprint)
        ranked = self._rank(now, job, action, action.exclude | avoided)
        if not ranked and avoided:
            # A request suspected of crashing targets avoids targets that run other
            # suspects, but is not refused if no other target can take it.
            ranked = self._rank(now, job, action, action.exclude)
        if not ranked:
            # Include ejected targets: they may have recovered, whereas the excluded
            # targets have just failed this request.
            ranked = self._rank(now, job, action, action.exclude, True)
        if not ranked and action.exclude:
            # Retrying a target that failed this request is better than no attempt.
            ranked = self._rank(now, job, action, frozenset())
        self._record_decision(job, ranked)
        if not ranked:
            return None
        best = ranked[0]
        target = self._context.view.fleet.targets[best.name]
        return TargetChoice(target, best, self._expected_work_s(job, best))

    def record_sent(self, job: Job, choice: TargetChoice) -> None:
        """Record that the request is sent to the chosen target."""
        if job.prompt is not None:
            request = self._make_placement_request(job, "", frozenset())
            self._context.placer.record_sent(time.monotonic(), request, choice.ranked)
            self._count_pieces(job, choice)

    def _count_pieces(self, job: Job, choice: TargetChoice) -> None:
        metrics, label = self._context.metrics, Label("service", job.service.name)
        cached_blocks = choice.ranked.cached_blocks
        metrics.count("berylnotch_prompt_pieces_total", label, amount=job.prompt.pieces)
        metrics.count(
            "berylnotch_expected_hit_pieces_total", label, amount=cached_blocks
        )

    def build_request(
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
            generation = self._make_generation_request(job)
            resume_after = action.resume_after
            return build_generation(address, generation, timeout_s, resume_after)
        plain_request = PlainRequest(
            method=job.request.method,
            path=quote(job.request.path, safe=_PATH_SAFE_CHARACTERS),
            query=job.request.query,
            headers=job.request.headers,
            body=job.request.body,
            request_id=job.request.request_id,
            caller_key=job.key,
        )
        return build_plain(address, plain_request, timeout_s)

    def _candidates(self, now: float, service: str) -> tuple[Candidate, ...]:
        candidates = self._context.health.candidates(now, self._context.view, service)
        return self._assume_weights(service, candidates)

    def _assume_weights(
        self, service: str, candidates: tuple[Candidate, ...]
    ) -> tuple[Candidate, ...]:
        """Assume the service's weights for targets without a weights report.

        A wrong assumption is detected: an engine states its weights version in
        each answer, and the exchange checks it.
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
        include_ejected: bool = False,
    ) -> tuple[Ranked, ...]:
        if job.prompt is None:
            candidates = self._candidates(now, job.service.name)
            if include_ejected:
                candidates = _without_ejection(candidates)
            domain = self._context.settings.failure_domain
            query = Query(failure_domain=domain, exclude=exclude)
            ranked = rank(self._context.settings.placement, query, candidates)
        else:
            request = self._make_placement_request(job, action.weights, exclude)
            candidates = self._shortlist(now, job, request)
            if include_ejected:
                candidates = _without_ejection(candidates)
            ranked = self._context.placer.rank(now, request, candidates)
        return _prefer_free_slots(ranked, candidates)

    def _make_placement_request(
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
        candidates = health.candidates(now, view, name, shortlist)
        return self._assume_weights(name, candidates)

    def _make_generation_request(self, job: Job) -> GenerationRequest:
        organisation_name = job.organisation_name
        return GenerationRequest(
            path=_ENGINE_PATHS[job.request.path.endswith("/chat/completions")],
            body=job.request.body,
            request_id=job.request.request_id,
            cache_scope=organisation_name,
            stream=job.is_stream,
            priority=self._context.quota.priority(organisation_name),
            caller_key=job.key,
        )

    def _expected_work_s(self, job: Job, best: Ranked) -> float:
        if job.service.kind is not ServiceKind.LANGUAGE or job.language is None:
            return _PLAIN_WORK_S
        settings = self._context.settings.placement
        cached_tokens = best.cached_blocks * settings.piece_tokens
        uncached_tokens = max(job.language.prompt_tokens - cached_tokens, 0)
        return uncached_tokens / settings.prefill_tokens_per_s

    def _record_decision(self, job: Job, ranked: tuple[Ranked, ...]) -> None:
        lines = tuple(
            WhyLine(item.name, position == 0, item.score_ms, item.reason)
            for position, item in enumerate(ranked[:16])
        )
        revision = self._context.view.revision
        self._context.decisions.record(
            WhyReply(job.request.request_id, job.organisation_name, revision, lines)
        )


def _without_ejection(candidates: tuple[Candidate, ...]) -> tuple[Candidate, ...]:
    return tuple(evolve(candidate, ejected=False) for candidate in candidates)


def _prefer_free_slots(
    ranked: tuple[Ranked, ...], candidates: tuple[Candidate, ...]
) -> tuple[Ranked, ...]:
    full_targets = {
        c.name for c in candidates if c.capacity and c.in_flight >= c.capacity
    }
    if not full_targets:
        return ranked
    return tuple(sorted(ranked, key=lambda item: item.name in full_targets))
