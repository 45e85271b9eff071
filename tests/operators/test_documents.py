"""Validation of documents and settings, and the faults that it reports."""

from __future__ import annotations

import pathlib

import pytest
from typer import testing

from sesamevale import document_models
from sesamevale import settings
from sesamevale.operators import command_line
from sesamevale.operators import document_files
from tests.builders import documents

ROOT = pathlib.Path(__file__).resolve().parents[2]
VALID_SETTINGS = {
    "entry_id": "e1",
    "data_center": "taff",
    "environment": "test",
    "callers": "127.0.0.1:7001",
    "peers_listen": "127.0.0.1:7002",
    "admin": "127.0.0.1:7003",
    "platform": "127.0.0.1:2379",
}


@pytest.mark.parametrize("name", ["pritchard", "ulicni-tok"])
def test_example_documents_are_valid(name):
    loaded = document_files.load(str(ROOT / f"examples/{name}.toml"))
    assert isinstance(loaded, document_models.DocumentModel), loaded
    assert loaded.settings.entries_max == 6


def test_document_round_trips_through_its_parts():
    model = documents.document({"till": documents.service("till", [9000])})
    parts = document_models.to_parts(model)
    environment = document_models.from_parts("test", 7, parts)
    assert environment.revision == 7
    assert environment.services["till"].slots == 4


def test_all_faults_are_reported():
    text = """
environment = "BAD"
surprise = 1
[services.till]
homes = 0
[[services.till.upstreams]]
name = "a"
host = "example.org"
port = 70000
data_center = "taff"
slots = 1
[[services.till.rules]]
name = "r"
methods = ["POST"]
path = "/till/**"
repeatable = false
deadline_ms = 100
hedge = true
"""
    faults = document_files.parse(text, "bad.toml")
    assert isinstance(faults, list)
    paths = {fault.path for fault in faults}
    assert {
        "environment",
        "surprise",
        "services.till.homes",
        "services.till.upstreams[0].host",
        "services.till.upstreams[0].port",
        "services.till.rules[0]",
    } <= paths
    assert all(str(fault).startswith("bad.toml: ") for fault in faults)


def test_a_syntax_error_names_its_line():
    faults = document_files.parse('environment = "x"\nslots = = 2\n', "x.toml")
    assert isinstance(faults, list)
    assert "line 2" in str(faults[0])


def test_duplicate_addresses_are_refused():
    service = documents.service("till", [9000, 9000])
    with pytest.raises(ValueError, match=r"used twice: 127\.0\.0\.1:9000"):
        documents.document({"till": service})


def test_good_settings_are_accepted():
    checked = settings.check(VALID_SETTINGS)
    assert isinstance(checked, settings.Settings)
    assert str(checked.callers) == "127.0.0.1:7001"


@pytest.mark.parametrize(
    ("name", "value", "flag"),
    [
        ("callers", "localhost", "--callers"),
        ("admin", "127.0.0.1:99999", "--admin"),
        ("drain_seconds", "-1", "--drain-seconds"),
        ("trace_sample", "2", "--trace-sample"),
        ("log_format", "xml", "--log-format"),
        ("entry_id", "a b", "--entry-id"),
    ],
)
def test_a_bad_setting_names_its_flag(name, value, flag):
    problems = settings.check(VALID_SETTINGS | {name: value})
    assert isinstance(problems, list)
    assert str(problems[0]).startswith(f"{flag}: ")
    assert value in str(problems[0])


def test_platform_or_document_is_required():
    values = dict(VALID_SETTINGS)
    del values["platform"]
    problems = settings.check(values)
    assert isinstance(problems, list)
    assert "--platform or --document" in str(problems[0])


def test_the_command_line_checks_documents():
    runner = testing.CliRunner()
    path = str(ROOT / "examples/pritchard.toml")
    checked = runner.invoke(command_line.app, ["check", path])
    assert checked.exit_code == 0
    assert "roundsheet: 10 upstreams, 40 slots" in checked.output
    missing = runner.invoke(command_line.app, ["check", "missing.toml"])
    assert missing.exit_code == 1


def test_the_command_line_reports_an_unreachable_platform():
    runner = testing.CliRunner()
    path = str(ROOT / "examples/pritchard.toml")
    arguments = ["diff", path, "--platform", "127.0.0.1:1"]
    assert runner.invoke(command_line.app, arguments).exit_code == 3
