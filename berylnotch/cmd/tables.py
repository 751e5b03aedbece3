"""Formatting of text tables."""

from __future__ import annotations

from collections.abc import Sequence


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Format rows below a header, with aligned columns; empty cells become ``-``."""
    lines = [[str(cell) or "-" for cell in row] for row in (header, *rows)]
    widths = [max(len(row_cells[i]) for row_cells in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row_cells, widths, strict=True)
        ).rstrip()
        for row_cells in lines
    )
