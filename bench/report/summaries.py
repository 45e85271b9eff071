"""What the tables and plots of the report show, drawn from the journal."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bench.report import journal

__all__ = [
    "HuntSummary",
    "DayLoss",
    "ScoreSummary",
    "summarize_hunts",
    "day_losses",
    "site_names",
    "summarize_scores",
]

SCORE = "score"
HUNT = "hunt"
# The day that a score draws afresh has another name each time.
FRESH_PREFIX = "fresh-"


@dataclasses.dataclass(frozen=True, slots=True)
class ScoreSummary:
    """Worth by day of one score.

    Attributes:
        run: The score.
        worth: Worth by name of the day.
        mean: Mean over the standard days.
    """

    run: journal.BenchRun
    worth: dict[str, float]
    mean: float


@dataclasses.dataclass(frozen=True, slots=True)
class HuntSummary:
    """All hunts on one commit.

    Attributes:
        commit: The commit.
        days: Days that were played.
        broken: Days with a broken rule, by rule.
    """

    commit: str
    days: int
    broken: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class DayLoss:
    """Worth that a day lost, and to what.

    Attributes:
        day: Name of the day.
        credit: Credit that was not earned.
        prices: Prices by name, the dearest first.
    """

    day: str
    credit: float
    prices: tuple[tuple[str, float], ...]


def site_names(runs: Iterable[journal.BenchRun]) -> list[str]:
    """Returns the deployments that were played."""
    return sorted({run.site for run in runs})


def summarize_scores(
    runs: Iterable[journal.BenchRun], site: str
) -> list[ScoreSummary]:
    """Returns the scores on a deployment, the oldest first."""
    return [
        _summarize_score(run)
        for run in runs
        if run.site == site and run.verb == SCORE and run.days
    ]


def summarize_hunts(
    runs: Iterable[journal.BenchRun], site: str
) -> list[HuntSummary]:
    """Returns what the hunts on a deployment found, by commit."""
    by_commit: dict[str, list[journal.Day]] = {}
    for run in runs:
        if run.site == site and run.verb == HUNT:
            by_commit.setdefault(run.commit, []).extend(run.days)
    return [
        HuntSummary(
            commit,
            len(days),
            dict(collections.Counter(rule for d in days for rule in d.broken)),
        )
        for commit, days in by_commit.items()
    ]


def day_losses(run: journal.BenchRun) -> list[DayLoss]:
    """Returns what each day of a play lost, the day that lost most first."""
    ranked = sorted(run.days, key=lambda day: day.worth)
    return [
        DayLoss(
            day.name,
            round(1.0 - day.worth - sum(day.prices.values()), 4),
            tuple(sorted(day.prices.items(), key=lambda price: -price[1])),
        )
        for day in ranked
    ]


def _summarize_score(run: journal.BenchRun) -> ScoreSummary:
    worth = {day.name: day.worth for day in run.days}
    standard = [
        value
        for name, value in worth.items()
        if not name.startswith(FRESH_PREFIX)
    ]
    return ScoreSummary(run, worth, sum(standard) / max(1, len(standard)))
