"""Bar charts of the figures of the compared policies."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

if TYPE_CHECKING:
    from benchmarks.figures import Summary
    from benchmarks.simulation import Run

#: Panels of each row: title, plotted value, and whether the axis is logarithmic.
_PANELS: tuple[tuple[str, Callable[[Summary], float], bool], ...] = (
    ("prefix hit rate, %", lambda s: 100.0 * s.hit_rate, False),
    ("first token p99, s", lambda s: s.ttft_p99_ms / 1000.0, True),
    ("recomputed, million tokens", lambda s: s.wasted_tokens / 1e6, False),
    ("worst organisation p99, s", lambda s: s.worst_p99_ms / 1000.0, True),
    ("wrongful refusals", lambda s: s.wrongful_refusals, False),
)


def draw(results: list[tuple[Run, Summary]], path: str) -> None:
    """Save a chart with one row for each deployment and one column for each figure."""
    shapes = list(dict.fromkeys(run.shape.name for run, _ in results))
    cases = list(dict.fromkeys(run.case for run, _ in results))
    policies = list(dict.fromkeys(run.policy for run, _ in results))
    summaries = {(r.shape.name, r.case, r.policy): summary for r, summary in results}
    figure, axes = pyplot.subplots(
        len(shapes), len(_PANELS), figsize=(22, 5 * len(shapes)), squeeze=False
    )
    width = 0.8 / len(policies)
    for row, shape in zip(axes, shapes, strict=True):
        for axis, (title, value, is_log) in zip(row, _PANELS, strict=True):
            for index, policy in enumerate(policies):
                heights = [value(summaries[shape, case, policy]) for case in cases]
                positions = [x + index * width for x in range(len(cases))]
                axis.bar(positions, heights, width, label=policy)
            axis.set_title(f"{shape}: {title}")
            axis.set_xticks([x + 0.4 for x in range(len(cases))])
            labels = [case.value for case in cases]
            axis.set_xticklabels(labels, rotation=30, ha="right", fontsize=8)
            if is_log:
                axis.set_yscale("log")
    handles, labels = axes[0][0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="upper center", ncols=len(policies))
    figure.tight_layout(rect=(0.0, 0.0, 1.0, 0.96))
    figure.savefig(path, dpi=70)
    pyplot.close(figure)
