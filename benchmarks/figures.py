"""Figures of a run, from HDR histograms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from benchmarks.engine import Job

#: Range of the histograms in milliseconds and their significant digits.
LOWEST_MS = 1
HIGHEST_MS = 600_000
DIGITS = 3

#: Tokens in a piece.
PIECE_TOKENS = 1024


@frozen
class Summary:
    """The five figures of a run.

    ``hit_rate`` is a share of the prompts' full pieces; times are in
    milliseconds. ``refused`` counts requests over their limit, which is right.
    """

    requests: int
    hit_rate: float
    ttft_p50_ms: float
    ttft_p99_ms: float
    wasted_tokens: int
    worst_organisation: str
    worst_p99_ms: float
    wrongful_refusals: int
    refused: int
    organisation_p99_ms: dict[str, float]


class Figures:
    """Collects what happens to the requests of a run.

    The worst-served organisation is one that keeps inside its rate, so
    ``overloading`` is left out there.
    """

    def __init__(self, organisations: list[str], overloading: str = "") -> None:
        self._overloading = overloading
        self._all = self._histogram()
        self._by_organisation = {name: self._histogram() for name in organisations}
        self._pieces = 0
        self._cached = 0
        self._wasted = 0
        self._refused = 0
        self._gave_up = 0

    @staticmethod
    def _histogram() -> HdrHistogram:
        return HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)

    def computed(self, job: Job) -> None:
        """Count the pieces of a computed prompt."""
        self._pieces += len(job.chain)
        self._cached += job.cached
        self._wasted += job.wasted

    def first_token(self, organisation: str, taken_s: float, deadline_s: float) -> None:
        """Count a first token; a late one counts as given up as well."""
        taken_ms = max(LOWEST_MS, round(1000.0 * taken_s))
        self._all.record_value(taken_ms)
        self._by_organisation[organisation].record_value(taken_ms)
        if taken_s > deadline_s:
            self._gave_up += 1

    def gave_up(self) -> None:
        """Count a request inside its limit that was refused or not served in time."""
        self._gave_up += 1

    def refused(self) -> None:
        """Count a request over its organisation's limit."""
        self._refused += 1

    def add(self, other: Figures) -> None:
        """Add another run's figures."""
        self._all.add(other._all)
        for name, histogram in other._by_organisation.items():
            self._by_organisation[name].add(histogram)
        self._pieces += other._pieces
        self._cached += other._cached
        self._wasted += other._wasted
        self._refused += other._refused
        self._gave_up += other._gave_up

    def summary(self) -> Summary:
        """Return the figures."""
        p99 = {
            name: histogram.get_value_at_percentile(99.0)
            for name, histogram in self._by_organisation.items()
        }
        inside = [name for name in p99 if name != self._overloading]
        worst = max(inside, key=p99.__getitem__)
        return Summary(
            requests=self._all.get_total_count(),
            hit_rate=self._cached / max(1, self._pieces),
            ttft_p50_ms=self._all.get_value_at_percentile(50.0),
            ttft_p99_ms=self._all.get_value_at_percentile(99.0),
            wasted_tokens=self._wasted * PIECE_TOKENS,
            worst_organisation=worst,
            worst_p99_ms=p99[worst],
            wrongful_refusals=self._gave_up,
            refused=self._refused,
            organisation_p99_ms=p99,
        )
