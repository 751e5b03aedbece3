"""Sequential test of a candidate version's responses against the other versions'.

The evidence is a likelihood ratio: how much better the responses are explained by a
version of which a given share is bad in excess of the reference than by a version like
the reference. For a good version, the probability that this ratio ever reaches a level
L is at most 1 / L (Ville's inequality), however often it is looked at. For a version
that is as bad as assumed, the probability that it ever falls to a level b is at most b.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from attrs import frozen

from berylnotch.group.rollouts import HISTOGRAM_BUCKETS

#: Responses of the reference below which its shares are not used: with 30, the estimate
#: for a share of 0 is 0.03, a third of the smallest share of failures to be found.
MIN_REFERENCE_ANSWERS = 30

#: Shares of the reference at which slow responses are counted, with the number of
#: buckets above them. Two buckets are a factor of 2 to 2.8 above the median: less than
#: the factor 3 to be found, more than differences of load. The other bound is 1.4 to 2
#: times the 0.9 quantile, for routes whose times spread widely. If one of the
#: reference's engines is slow, the quantile is of no use and the median remains.
SLOW_BOUNDS = ((0.5, 2), (0.9, 1))


@frozen
class Count:
    """Number of responses of a kind, and the share that the reference lets expect.

    Parameters
    ----------
    hits : float
        Number of responses that failed or were slow.
    answers : float
        Number of all responses.
    expected : float
        Share of such responses at a version like the reference, in (0, 1).
    """

    hits: float
    answers: float
    expected: float

    def log_ratio(self, excess: float) -> float:
        """Return the log likelihood ratio of a version that is bad in excess.

        Parameters
        ----------
        excess : float
            Share in (0, 1) of the responses that are bad beyond the expected share.
        """
        assumed = self.expected + excess * (1.0 - self.expected)
        good = self.answers - self.hits
        return self.hits * math.log(assumed / self.expected) + good * math.log1p(
            -excess
        )


def log_mean(log_values: Sequence[float]) -> float:
    """Return the logarithm of the mean of values that are given as logarithms.

    The mean of several likelihood ratios keeps the bound of a single one.
    """
    highest = max(log_values)
    total = sum(math.exp(value - highest) for value in log_values)
    return highest + math.log(total / len(log_values))


def log_evidence(strata: Sequence[Sequence[Count]], excesses: Iterable[float]) -> float:
    """Return the log of the mean evidence over bounds of slowness and sizes.

    Parameters
    ----------
    strata : sequence of sequence of Count
        Counts of each route, one for each bound of slowness; the routes are
        independent, so that their ratios are multiplied.
    excesses : iterable of float
        Sizes to be found.
    """
    if not strata:
        return 0.0
    return log_mean(
        [
            sum(count.log_ratio(excess) for count in counts)
            for counts in zip(*strata, strict=True)
            for excess in excesses
        ]
    )


def estimate_share(hits: float, answers: float, lowest: float, highest: float) -> float:
    """Return the reference's share, estimated upwards by one response."""
    return min(highest, max(lowest, (hits + 1.0) / (answers + 1.0)))


def add_histograms(histograms: Iterable[Sequence[int]]) -> tuple[int, ...]:
    """Return the sum of histograms; empty ones count as zeros."""
    sums = [0] * HISTOGRAM_BUCKETS
    for histogram in histograms:
        for bucket, number in enumerate(histogram):
            sums[bucket] += number
    return tuple(sums)


def slow_buckets(reference: Sequence[int], more: int) -> tuple[int, ...]:
    """Return the buckets above which responses count as slow, one for each bound.

    Parameters
    ----------
    reference : sequence of int
        Histogram of the reference, not all zeros.
    more : int
        Number of buckets by which the bounds are raised.
    """
    return tuple(
        min(HISTOGRAM_BUCKETS - 2, _quantile_bucket(reference, share) + above + more)
        for share, above in SLOW_BOUNDS
    )


def _quantile_bucket(histogram: Sequence[int], share: float) -> int:
    wanted, seen = share * sum(histogram), 0
    for bucket, number in enumerate(histogram):
        seen += number
        if seen >= wanted:
            return bucket
    return len(histogram) - 1
