"""Counters, gauges and HDR histograms, with rendering in the Prometheus text format."""

from __future__ import annotations

import threading
from collections.abc import Callable

from attrs import frozen
from hdrh.histogram import HdrHistogram

#: Largest value of a histogram, in microseconds: one hour.
_MAX_DURATION_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.95, 0.99)


@frozen
class Label:
    """Name and value of a metric's label."""

    name: str
    value: str


@frozen
class _Series:
    """A metric name with its labels."""

    name: str
    labels: tuple[Label, ...]


class Metrics:
    """All metrics of a process; its methods are thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[_Series, int] = {}
        self._gauges: dict[_Series, float] = {}
        self._histograms: dict[_Series, HdrHistogram] = {}

    def count(self, name: str, *labels: Label, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        series = _Series(name, labels)
        with self._lock:
            self._counters[series] = self._counters.get(series, 0) + amount

    def gauge(self, name: str, value: float | None, *labels: Label) -> None:
        """Set a gauge; None removes it, since a substitute value would mislead."""
        series = _Series(name, labels)
        with self._lock:
            if value is None:
                self._gauges.pop(series, None)
            else:
                self._gauges[series] = value

    def observe(self, name: str, seconds: float, *labels: Label) -> None:
        """Record a duration in a histogram."""
        self.timer(name, *labels)(seconds)

    def timer(self, name: str, *labels: Label) -> Callable[[float], None]:
        """Return a function that records durations, in seconds, in one histogram.

        The function is meant for durations that are recorded often, because it does
        not look up the series on each call.
        """
        series = _Series(name, labels)
        with self._lock:
            histogram = self._histograms.get(series)
            if histogram is None:
                histogram = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
                self._histograms[series] = histogram

        def record(seconds: float) -> None:
            with self._lock:
                histogram.record_value(max(1, int(seconds * 1e6)))

        return record

    def counter(self, name: str, *labels: Label) -> int:
        """Return a counter's value."""
        with self._lock:
            return self._counters.get(_Series(name, labels), 0)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format, durations in seconds."""
        lines: list[str] = []
        with self._lock:
            for series in sorted(self._counters, key=_sort_key):
                lines.append(f"{_format_series(series)} {self._counters[series]}")
            for series in sorted(self._gauges, key=_sort_key):
                lines.append(f"{_format_series(series)} {self._gauges[series]:g}")
            for series in sorted(self._histograms, key=_sort_key):
                lines.extend(_format_histogram(series, self._histograms[series]))
        return "\n".join(lines) + "\n"


def _sort_key(series: _Series) -> tuple[str, str]:
    return series.name, _format_series(series)


def _format_series(series: _Series) -> str:
    if not series.labels:
        return series.name
    label_text = ",".join(
        f'{label.name}="{_escape_label(label.value)}"' for label in series.labels
    )
    return f"{series.name}{{{label_text}}}"


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _format_histogram(series: _Series, histogram: HdrHistogram) -> list[str]:
    lines = []
    for quantile in _QUANTILES:
        labels = (*series.labels, Label("quantile", str(quantile)))
        value = histogram.get_value_at_percentile(quantile * 100) / 1e6
        lines.append(f"{_format_series(_Series(series.name, labels))} {value:.6f}")
    count = _Series(f"{series.name}_count", series.labels)
    lines.append(f"{_format_series(count)} {histogram.get_total_count()}")
    return lines
