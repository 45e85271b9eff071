"""Shows the journal: worth by day, losses of the last score, and hunts."""

from __future__ import annotations

import pathlib
from typing import Annotated

import rich
import typer

from bench.report import journal
from bench.report import plots
from bench.report import summaries
from bench.report import tables

EXIT_UNREADABLE = 2


def main(
    folder: Annotated[
        pathlib.Path, typer.Argument(help="Folder of the journal.")
    ] = pathlib.Path("journal"),
    site: Annotated[
        list[str] | None,
        typer.Option(help="Show only this deployment; may be repeated."),
    ] = None,
    draw: Annotated[
        pathlib.Path | None, typer.Option(help="Folder to draw plots in.")
    ] = None,
) -> None:
    """Shows the journal of bench runs as tables and plots."""
    try:
        runs = journal.read_folder(folder)
    except journal.JournalError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(EXIT_UNREADABLE) from error
    known = summaries.site_names(runs)
    for name in site or known:
        if name not in known:
            typer.echo(f"error: --site {name}: no runs in {folder}", err=True)
            raise typer.Exit(EXIT_UNREADABLE)
        _show(name, runs, draw)


def _show(
    site: str, runs: list[journal.BenchRun], draw: pathlib.Path | None
) -> None:
    scores = summaries.summarize_scores(runs, site)
    hunts = summaries.summarize_hunts(runs, site)
    if scores:
        losses = summaries.day_losses(scores[-1].run)
        rich.print(
            tables.score_table(site, scores, summaries.FRESH_PREFIX),
            tables.loss_table(site, losses),
        )
        if draw is not None:
            draw.mkdir(parents=True, exist_ok=True)
            plots.draw_scores(draw / f"{site}-worth.svg", site, scores)
            plots.draw_losses(draw / f"{site}-losses.svg", site, losses)
    if hunts:
        rich.print(tables.hunt_table(site, hunts))


if __name__ == "__main__":
    typer.run(main)
