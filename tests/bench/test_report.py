"""Tests of the report: decoding the journal, summaries, tables and plots."""

from __future__ import annotations

import pytest
import typer
from typer import testing

from bench.report import __main__ as report
from bench.report import journal
from bench.report import summaries
from tests.builders import journal_entries


def run_report(*arguments):
    app = typer.Typer()
    app.command()(report.main)
    return testing.CliRunner().invoke(app, [str(each) for each in arguments])


def test_worth_is_credit_without_prices(tmp_path):
    folder = journal_entries.write(tmp_path, journal_entries.bench_run())
    (run,) = journal.read_folder(folder)
    (day,) = run.days
    assert (day.worth, day.credit) == (0.8, 0.9)
    assert day.prices == {"machine-seconds": 0.1}


def test_runs_come_in_the_order_of_their_times(tmp_path):
    later = journal_entries.bench_run("a", at=["2026-12-04T11:00:00Z", ""])
    earlier = journal_entries.bench_run("b")
    folder = journal_entries.write(tmp_path, later, earlier)
    runs = journal.read_folder(folder)
    assert [run.identifier for run in runs] == ["b", "a"]


def test_the_mean_leaves_a_freshly_drawn_day_out(tmp_path):
    days = [
        journal_entries.day("quiet-1", credit=0.9),
        journal_entries.day("trouble-1", credit=0.7),
        journal_entries.day("fresh-12", credit=0.2),
    ]
    folder = journal_entries.write(
        tmp_path, journal_entries.bench_run(days=days)
    )
    (score,) = summaries.summarize_scores(
        journal.read_folder(folder), "harbour"
    )
    assert score.mean == pytest.approx(0.7)


def test_the_day_that_lost_most_comes_first():
    days = [
        journal_entries.day("quiet-1", credit=0.9),
        journal_entries.day("scale-1", credit=0.6, price=0.05),
    ]
    file = journal._BenchRunFile.model_validate(
        journal_entries.bench_run(days=days)
    )
    first, second = summaries.day_losses(file.decoded())
    assert (first.day, second.day) == ("scale-1", "quiet-1")
    assert first.credit == pytest.approx(0.4)
    assert first.prices == (("machine-seconds", 0.05),)


def test_hunts_of_one_commit_are_counted_together(tmp_path):
    clean = journal_entries.bench_run("a", cmd="hunt")
    broken = [
        journal_entries.day("mix", rules={"LOST": 2}),
        journal_entries.day("mix", fault="crash loop"),
    ]
    other = journal_entries.bench_run("b", cmd="hunt", days=broken)
    folder = journal_entries.write(tmp_path, clean, other)
    (found,) = summaries.summarize_hunts(journal.read_folder(folder), "harbour")
    assert (found.days, found.broken) == (3, {"LOST": 1, "fault": 1})


def test_the_report_shows_tables_and_draws_plots(tmp_path):
    folder = journal_entries.write(
        tmp_path,
        journal_entries.bench_run("a"),
        journal_entries.bench_run("b", cmd="hunt"),
    )
    plots = tmp_path / "plots"
    result = run_report(folder, "--draw", plots)
    assert result.exit_code == 0, result.output
    for text in ("worth by day", "0.800", "machine-seconds", "hunts"):
        assert text in result.output
    drawn = {path.name for path in plots.iterdir()}
    assert drawn == {"harbour-worth.svg", "harbour-losses.svg"}


@pytest.mark.parametrize(
    ("text", "place"),
    [("{", "Invalid JSON"), ('{"id": "a"}', "at"), ("[]", "")],
)
def test_an_entry_that_cannot_be_read_is_named(tmp_path, text, place):
    (tmp_path / "spoilt.json").write_text(text)
    result = run_report(tmp_path)
    assert result.exit_code == 2
    assert "spoilt.json" in result.output
    assert place in result.output


def test_a_folder_without_entries_and_an_unknown_site_are_named(tmp_path):
    assert "no entries" in run_report(tmp_path).output
    folder = journal_entries.write(tmp_path, journal_entries.bench_run())
    result = run_report(folder, "--site", "hill")
    assert result.exit_code == 2
    assert "hill" in result.output
