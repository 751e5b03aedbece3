"""Verdict on a rollout's candidate version from the responses of some of its engines.

The verdict comes from a test that may be looked at any number of times (see
``rollout_statistics.py``), for each route and for all routes together, for each kind of
bad response, and for all and for the newest evidence.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum

from attrs import frozen

from berylnotch.group.rollouts import RolloutRow
from berylnotch.membership.rollout_samples import (
    ABSOLUTE_FAILURE_SHARE,
    Kind,
    Samples,
    sample_rollout,
)
from berylnotch.membership.rollout_statistics import (
    MIN_REFERENCE_ANSWERS,
    Count,
    log_evidence,
)

#: Shares of responses that a bad version fails beyond the reference. The smallest size
#: to be found is 0.1 over all routes, and the second one, 0.3, on a single route. If
#: the reference does not fail, the evidence for the smallest size grows above a share
#: of failures of 0.034 and shrinks below it.
FAILURE_EXCESSES = (0.1, 0.3, 0.7)

#: Shares of responses that a bad version slows down over the bound. The smallest size
#: to be found is 0.3 of the responses 3 times slower, of which two thirds are over it;
#: on one route it is 0.7 of them.
SLOW_EXCESSES = (0.2, 0.5, 0.9)

#: Probability that a good version is ever judged bad from all evidence, over all tests.
FALSE_ALARM_SHARE = 0.01

#: Factor of the evidence that the newest seconds need in addition. A rollout has about
#: 4 such windows that share no response, and the bound holds for each of them.
RECENT_WINDOWS = 4

#: Probability that a version that is bad at the smallest size of a test ever passes it.
MISS_SHARE = 0.05

#: Evidence above which a version is not good. A good version reaches it in a test with
#: a probability of at most 0.05, and falls below it with further responses. Slow first
#: events of streams have to reach it in the newest seconds too, which those of an empty
#: prefix cache do not.
SUSPICIOUS_LOG = math.log(1.0 / MISS_SHARE)

#: Fewest responses to judge the absolute share of failures, and the level of its test
#: of half as much against half as much again: one of 20 versions that fail 0.1 of the
#: responses, which is more than noise, would be rolled back.
ABSOLUTE_MIN_ANSWERS, ABSOLUTE_LOG = 20, math.log(20.0)

#: Responses of a route or an engine that are enough: a version that fails 0.3 of them
#: shows no failure in 9 with probability 0.04, less than MISS_SHARE.
ENOUGH_ANSWERS = 9

#: Share of the reference's responses below which a route is not waited for: 150
#: responses, what the bounds allow a service of 390 requests/s while observing, would
#: not bring ENOUGH_ANSWERS of it. It still counts in all tests that find a bad version.
RARE_ROUTE_SHARE = ENOUGH_ANSWERS / 150


class Verdict(Enum):
    """Judgement of a candidate version."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


@frozen
class Assessment:
    """Judgement of a candidate version with its reason for the log."""

    verdict: Verdict
    reason: str


@frozen
class Finding:
    """Assessment of some engines, and the strongest evidence against them."""

    assessment: Assessment
    log_evidence: float

    @property
    def is_bad(self) -> bool:
        """Whether the engines are judged bad."""
        return self.assessment.verdict is Verdict.BAD

    @property
    def is_suspicious(self) -> bool:
        """Whether the engines cannot be judged good."""
        return self.is_bad or self.log_evidence >= SUSPICIOUS_LOG


def evaluate(total: Sequence[RolloutRow], recent: Sequence[RolloutRow]) -> Finding:
    """Return the verdict on the engines of the rows, taken together."""
    samples = sample_rollout(total, recent)
    scopes = [((route,), f"route {route}") for route in samples.routes]
    if len(scopes) != 1:
        scopes.append((samples.routes, "all routes"))
    tests = max(1, len(scopes) * len(samples.kinds))
    limit = math.log(tests / FALSE_ALARM_SHARE)
    strongest, reason = 0.0, ""
    for routes, name in scopes:
        absolute = _absolute_failures(samples, routes)
        if absolute:
            return Finding(
                Assessment(Verdict.BAD, f"{name}: {absolute}"), SUSPICIOUS_LOG
            )
        for kind in samples.kinds:
            in_total, in_recent = _log_evidences(samples, kind, routes)
            if samples.may_be_cold(kind, routes) and in_recent < SUSPICIOUS_LOG:
                in_total = 0.0
            in_recent -= math.log(RECENT_WINDOWS)
            found = max(in_total, in_recent)
            if found > strongest:
                window = "all" if in_total >= in_recent else "newest"
                counts = samples.counts(kind, routes, window == "newest")
                strongest = found
                reason = f"{name}: {kind.value} in {window} evidence, " + _describe(
                    counts, found
                )
    if strongest >= limit:
        return Finding(Assessment(Verdict.BAD, reason), strongest)
    if strongest >= SUSPICIOUS_LOG:
        reason = f"suspicious: {reason}"
        return Finding(Assessment(Verdict.UNDECIDED, reason), strongest)
    missing = _missing_evidence(samples)
    if missing:
        return Finding(Assessment(Verdict.UNDECIDED, missing), strongest)
    return Finding(
        Assessment(
            Verdict.GOOD, f"{samples.answers:.0f} responses, none of the tests failed"
        ),
        strongest,
    )


def _excesses(kind: Kind) -> tuple[float, ...]:
    return FAILURE_EXCESSES if kind is Kind.FAILURES else SLOW_EXCESSES


def _log_evidences(
    samples: Samples, kind: Kind, routes: tuple[str, ...]
) -> tuple[float, float]:
    """Return the evidence for a bad version in all and in the newest responses."""
    in_total, in_recent = (
        log_evidence(samples.strata(kind, routes, is_recent), _excesses(kind))
        for is_recent in (False, True)
    )
    return in_total, in_recent


def _absolute_failures(samples: Samples, routes: tuple[str, ...]) -> str:
    """Return a description if too many responses fail, whatever the reference does."""
    low, high = 0.5 * ABSOLUTE_FAILURE_SHARE, 1.5 * ABSOLUTE_FAILURE_SHARE
    excess = (high - low) / (1.0 - low)
    for is_recent in (False, True):
        counts = samples.counts(Kind.FAILURES, routes, is_recent)
        answers = sum(c.answers for c in counts)
        hits = sum(c.hits for c in counts)
        if answers < ABSOLUTE_MIN_ANSWERS or hits <= ABSOLUTE_FAILURE_SHARE * answers:
            continue
        if Count(hits, answers, low).log_ratio(excess) >= ABSOLUTE_LOG:
            return f"{hits:.0f} of {answers:.0f} responses failed"
    return ""


def _missing_evidence(samples: Samples) -> str:
    """Return what is missing for a good version, empty if nothing."""
    if not samples.answers:
        return "no responses"
    if samples.reference_answers < MIN_REFERENCE_ANSWERS:
        return "too few responses of the other versions"
    for kind in samples.kinds:
        routes = tuple(r for r in samples.routes if samples.is_needed(kind, r))
        if not routes:
            continue
        smallest, larger, _ = _excesses(kind)
        if not _is_ruled_out(samples, kind, routes, smallest):
            return f"all routes: too few responses to rule out {kind.value}"
        for route in routes:
            if samples.reference_share(route) < RARE_ROUTE_SHARE:
                continue
            if not _is_ruled_out(samples, kind, (route,), larger):
                return f"route {route}: too few responses to rule out {kind.value}"
    return ""


def _is_ruled_out(
    samples: Samples, kind: Kind, routes: tuple[str, ...], excess: float
) -> bool:
    found = log_evidence(samples.strata(kind, routes, False), (excess,))
    return found <= math.log(MISS_SHARE)


def _describe(counts: list[Count], found: float) -> str:
    hits, answers = sum(c.hits for c in counts), sum(c.answers for c in counts)
    expected = sum(c.expected * c.answers for c in counts)
    return (
        f"{hits:.0f} of {answers:.0f} responses, {expected:.1f} expected, "
        f"log evidence {found:.1f}"
    )
