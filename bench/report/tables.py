"""Tables of the report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rich import table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bench.report import summaries

__all__ = ["hunt_table", "loss_table", "score_table"]

PRICES_SHOWN = 3


def score_table(
    site: str, scores: Iterable[summaries.ScoreSummary], fresh_prefix: str
) -> table.Table:
    """Returns a table of the worth of each score by day."""
    scores = list(scores)
    names = sorted(
        {
            name
            for score in scores
            for name in score.worth
            if not name.startswith(fresh_prefix)
        }
    )
    result = table.Table(title=f"{site}: worth by day")
    for name in ["when", "commit", *names, "mean"]:
        result.add_column(name)
    for score in scores:
        cells = [score.worth.get(name) for name in names]
        result.add_row(
            f"{score.run.started:%m-%d %H:%M}",
            score.run.commit,
            *("-" if cell is None else f"{cell:.3f}" for cell in cells),
            f"{score.mean:.3f}",
        )
    return result


def loss_table(site: str, losses: Iterable[summaries.DayLoss]) -> table.Table:
    """Returns a table of what each day of one run lost."""
    result = table.Table(title=f"{site}: losses of the last score")
    for name in ["day", "credit", *["price"] * PRICES_SHOWN]:
        result.add_column(name)
    for loss in losses:
        largest = [
            f"{cost:.3f} {name}" for name, cost in loss.prices[:PRICES_SHOWN]
        ]
        result.add_row(loss.day, f"{loss.credit:.3f}", *largest)
    return result


def hunt_table(
    site: str, summaries_by_commit: Iterable[summaries.HuntSummary]
) -> table.Table:
    """Returns a table of the days of hunts and broken rules by commit."""
    result = table.Table(title=f"{site}: hunts")
    for name in ["commit", "days", "days with a broken rule"]:
        result.add_column(name)
    for each in summaries_by_commit:
        broken = ", ".join(f"{rule} {n}" for rule, n in each.broken.items())
        result.add_row(each.commit, str(each.days), broken or "none")
    return result
