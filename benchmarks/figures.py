"""Collects the results of a run in counters and HDR histograms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from benchmarks.engine import Job

#: Range of the histograms in milliseconds, and their number of significant digits.
LOWEST_MS = 1
HIGHEST_MS = 600_000
DIGITS = 3

#: Tokens in a piece.
PIECE_TOKENS = 1024


@frozen
class Summary:
    """Results of a run.

    ``hit_rate`` is the cached share of the prompts' full pieces; times are in
    milliseconds. ``refused`` counts requests over their organisation's limit,
    whose refusal is correct.
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
    """Collects the outcomes of a run's requests.

    Only organisations that keep within their rate count as worst-served, so
    ``overloading`` is excluded.
    """

    def __init__(self, organisations: list[str], overloading: str = "") -> None:
        self._overloading = overloading
        self._ttft_ms = self._make_histogram()
        self._organisation_ttft_ms = {
            name: self._make_histogram() for name in organisations
        }
        self._prompt_pieces = 0
        self._cached_pieces = 0
        self._recomputed_pieces = 0
        self._refused_requests = 0
        self._given_up_requests = 0

    @staticmethod
    def _make_histogram() -> HdrHistogram:
        return HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)

    def computed(self, job: Job) -> None:
        """Count the cached and recomputed pieces of a computed prompt."""
        self._prompt_pieces += len(job.chain)
        self._cached_pieces += job.cached
        self._recomputed_pieces += job.wasted

    def first_token(self, organisation: str, ttft_s: float, deadline_s: float) -> None:
        """Record a time to first token; a late one also counts as given up."""
        ttft_ms = max(LOWEST_MS, round(1000.0 * ttft_s))
        self._ttft_ms.record_value(ttft_ms)
        self._organisation_ttft_ms[organisation].record_value(ttft_ms)
        if ttft_s > deadline_s:
            self._given_up_requests += 1

    def gave_up(self) -> None:
        """Count a request within its limit that was refused or not served in time."""
        self._given_up_requests += 1

    def refused(self) -> None:
        """Count a request over its organisation's limit."""
        self._refused_requests += 1

    def add(self, other: Figures) -> None:
        """Add another run's results."""
        self._ttft_ms.add(other._ttft_ms)
        for name, histogram in other._organisation_ttft_ms.items():
            self._organisation_ttft_ms[name].add(histogram)
        self._prompt_pieces += other._prompt_pieces
        self._cached_pieces += other._cached_pieces
        self._recomputed_pieces += other._recomputed_pieces
        self._refused_requests += other._refused_requests
        self._given_up_requests += other._given_up_requests

    def summary(self) -> Summary:
        """Return the results."""
        p99 = {
            name: histogram.get_value_at_percentile(99.0)
            for name, histogram in self._organisation_ttft_ms.items()
        }
        within_rate = [name for name in p99 if name != self._overloading]
        worst = max(within_rate, key=p99.__getitem__)
        return Summary(
            requests=self._ttft_ms.get_total_count(),
            hit_rate=self._cached_pieces / max(1, self._prompt_pieces),
            ttft_p50_ms=self._ttft_ms.get_value_at_percentile(50.0),
            ttft_p99_ms=self._ttft_ms.get_value_at_percentile(99.0),
            wasted_tokens=self._recomputed_pieces * PIECE_TOKENS,
            worst_organisation=worst,
            worst_p99_ms=p99[worst],
            wrongful_refusals=self._given_up_requests,
            refused=self._refused_requests,
            organisation_p99_ms=p99,
        )
