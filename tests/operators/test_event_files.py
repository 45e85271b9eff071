"""Events of one request in the logs, and the ``explain`` command."""

from __future__ import annotations

import typer.testing

from sesamevale.operators import command_line
from sesamevale.operators import event_files
from tests.builders import events

LINES = [
    events.line(1, "started"),
    events.line(2, "config_in_force", version=4),
    events.line(2, "config_in_force", entry="e-2", version=3),
    events.line(3, "upstream", upstream="u-1", change="added"),
    events.line(3, "upstream", upstream="u-2", change="draining"),
    events.line(4, "store_lost", why="no answer in time"),
    "prefix " + events.line(5, "attempt", request="r-1", upstream="u-1"),
    events.line(6, "request", request="r-1", outcome="unknown", reason="cut"),
    events.line(6, "request", request="r-2", outcome="answered"),
    events.line(7, "upstream", upstream="u-1", change="gone"),
    "no event at all {",
]


def test_request_events_follow_the_state_of_the_entry():
    found = event_files.find_request_events(
        event_files.parse_lines(LINES), "r-1"
    )
    assert [each.name for each in found] == [
        "started",
        "config_in_force",
        "upstream",
        "store_lost",
        "attempt",
        "request",
    ]
    assert found[1].fields == {"version": 4}
    assert found[2].fields["change"] == "added"


def test_the_command_prints_the_events(tmp_path):
    path = tmp_path / "entry.log"
    path.write_text("\n".join(LINES))
    runner = typer.testing.CliRunner()
    result = runner.invoke(command_line.app, ["explain", "r-1", str(path)])
    assert result.exit_code == 0
    assert "reason=cut" in result.output


def test_unknown_request_is_an_error(tmp_path):
    path = tmp_path / "entry.log"
    path.write_text("")
    runner = typer.testing.CliRunner()
    result = runner.invoke(command_line.app, ["explain", "r-9", str(path)])
    assert result.exit_code == 1


def test_signals_in_force_at_the_service_explain_a_refusal():
    def signal(second, upstream, change, service="sheet"):
        return events.line(
            second,
            "upstream_signal",
            service=service,
            upstream=upstream,
            signal="limit",
            change=change,
            value=1.5,
        )

    lines = [
        signal(1, "u-1", "began"),
        signal(2, "u-2", "began"),
        signal(3, "u-2", "ended"),
        signal(3, "u-3", "began", service="till"),
        events.line(
            4,
            "request",
            request="r-1",
            outcome="not-run",
            reason="rate_limited",
            service="sheet",
        ),
        signal(5, "u-4", "began"),
    ]
    found = event_files.find_request_events(
        event_files.parse_lines(lines), "r-1"
    )
    assert [each.fields.get("upstream") for each in found] == ["u-1", None]
