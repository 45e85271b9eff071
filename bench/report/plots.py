"""Plots of the report, as SVG files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib
from matplotlib import figure

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Sequence

    from bench.report import summaries

__all__ = ["draw_losses", "draw_scores"]

SIZE_INCHES = (9.0, 4.5)
# A price is left out if all of its bars would be thinner than a line.
MIN_SHOWN_PRICE = 0.002
# Makes equal plots have equal identifiers in their files.
matplotlib.rcParams["svg.hashsalt"] = "sesamevale"


def draw_scores(
    path: pathlib.Path, site: str, scores: Sequence[summaries.ScoreSummary]
) -> None:
    """Plots the worth of each day over the scores of a deployment."""
    plot = figure.Figure(figsize=SIZE_INCHES, layout="constrained")
    axes = plot.add_subplot(title=f"{site}: worth by day", ylabel="worth")
    commits = [score.run.commit for score in scores]
    names = {name: None for each in scores for name in each.worth}
    for name in names:
        points = [each.worth.get(name, float("nan")) for each in scores]
        axes.plot(range(len(scores)), points, marker="o", label=name)
    axes.set_xticks(range(len(scores)), commits, rotation=45)
    axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5))
    _save(plot, path)


def draw_losses(
    path: pathlib.Path, site: str, losses: Sequence[summaries.DayLoss]
) -> None:
    """Plots the losses of each day of one run as stacked bars."""
    plot = figure.Figure(figsize=SIZE_INCHES, layout="constrained")
    axes = plot.add_subplot(title=f"{site}: worth lost", ylabel="worth")
    days = [loss.day for loss in losses]
    parts = {"credit not earned": [max(0.0, loss.credit) for loss in losses]}
    for name in {name: None for loss in losses for name, _ in loss.prices}:
        costs = [dict(loss.prices).get(name, 0.0) for loss in losses]
        if max(costs) >= MIN_SHOWN_PRICE:
            parts[name] = costs
    bottom = [0.0] * len(losses)
    for name, heights in parts.items():
        axes.bar(days, heights, bottom=bottom, label=name)
        bottom = [low + high for low, high in zip(bottom, heights, strict=True)]
    axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5))
    axes.tick_params(axis="x", rotation=45)
    _save(plot, path)


def _save(plot: figure.Figure, path: pathlib.Path) -> None:
    plot.savefig(path, metadata={"Date": None})
