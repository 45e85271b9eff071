"""Percentiles, resource use of processes, and tables for the benchmarks."""

from __future__ import annotations

import math
import os
import pathlib
from collections.abc import Sequence

__all__ = ["cpu_seconds", "percentile", "rss_mebibytes", "table"]

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the nearest-rank percentile of some values; NaN if none.

    Args:
        values: The values in any order.
        share: Percentile as a share, from 0 to 1.
    """
    if not values:
        return math.nan
    ordered = sorted(values)
    index = min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)
    return ordered[max(0, index)]


def cpu_seconds(pid: int) -> float:
    """Returns the processor time of a process in seconds, user and system."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def rss_mebibytes(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES / (1024 * 1024)


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Returns a header and rows as text with aligned columns."""
    cells = [list(header)] + [
        [_format_cell(cell) for cell in row] for row in rows
    ]
    widths = [
        max(len(row[column]) for row in cells) for column in range(len(header))
    ]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def _format_cell(cell: object) -> str:
    return f"{cell:.3f}" if isinstance(cell, float) else str(cell)
