"""Tables for people."""

from __future__ import annotations

from collections.abc import Sequence


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows under a header, with aligned columns."""
    lines = [[str(cell) or "-" for cell in row] for row in (header, *rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
