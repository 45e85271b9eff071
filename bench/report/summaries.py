"""Summaries of the journal for the tables and plots of the report."""

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
# Each score generates one day anew; its name differs from score to score.
FRESH_PREFIX = "fresh-"


@dataclasses.dataclass(frozen=True, slots=True)
class ScoreSummary:
    """Worth by day of one score.

    Attributes:
        run: Run of the score.
        worth: Worth by name of the day.
        mean: Mean worth of the standard days, without the one generated anew.
    """

    run: journal.BenchRun
    worth: dict[str, float]
    mean: float


@dataclasses.dataclass(frozen=True, slots=True)
class HuntSummary:
    """Sum of all hunts on one commit.

    Attributes:
        commit: Commit of the sources.
        days: Number of days in all.
        broken: Number of days by rule that was broken.
    """

    commit: str
    days: int
    broken: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class DayLoss:
    """Worth that a day lost, by cause.

    Attributes:
        day: Name of the day.
        credit: Credit that was not earned.
        prices: Prices by name, the highest first.
    """

    day: str
    credit: float
    prices: tuple[tuple[str, float], ...]


def site_names(runs: Iterable[journal.BenchRun]) -> list[str]:
    """Returns the names of all deployments in order."""
    return sorted({run.site for run in runs})


def summarize_scores(
    runs: Iterable[journal.BenchRun], site: str
) -> list[ScoreSummary]:
    """Summarizes the scores on a deployment, in the order of the runs."""
    return [
        _summarize_score(run)
        for run in runs
        if run.site == site and run.verb == SCORE and run.days
    ]


def summarize_hunts(
    runs: Iterable[journal.BenchRun], site: str
) -> list[HuntSummary]:
    """Summarizes the hunts on a deployment by commit."""
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
    """Returns the losses of each day of a run, the greatest first."""
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
