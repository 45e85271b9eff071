"""The settings file of the platform, through the project's template."""

from __future__ import annotations

import json

import pytest

from sesamevale.platform import settings


def content(**changes):
    values = {
        "entry_id": "front-1",
        "data_center": "rhondda",
        "host": "10.1.0.18",
        "callers": "10.1.0.18:8381",
        "readiness": "10.1.0.18:8388",
        "directory": "10.1.0.18:8383",
        "entry_ports": [7200, 7215],
        "bounds": {
            "drain_ms": 2500,
            "config_apply_ms": 2000,
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_extra": 58,
            "directory_lifetime_max_s": 5,
        },
        "store": {"address": "10.200.1.7:8384"},
    }
    return values | changes


@pytest.fixture
def load(tmp_path, monkeypatch):
    def loaded(values):
        path = tmp_path / "settings.json"
        text = values if isinstance(values, str) else json.dumps(values)
        path.write_text(text)
        monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
        return settings.load()

    return loaded


def test_settings_become_those_of_the_gateway(load):
    deployment = load(content())
    made = deployment.gateway_settings()
    assert made.callers.port == 8381
    assert made.entry_port == 7200
    assert made.retry_budget.extra == 58
    assert deployment.store.address.port == 8384
    assert deployment.propagation_bound_s == 2.0


def test_bounds_that_are_not_in_force_are_null(load):
    bounds = dict.fromkeys(content()["bounds"])
    made = load(content(bounds=bounds)).gateway_settings()
    assert made.retry_budget.extra == 0.0


def test_fields_that_are_not_known_are_passed_over(load):
    load(content(colour="green"))


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        ({"callers": "nowhere"}, "callers"),
        ({"store": {}}, "store.address"),
        ({"entry_ports": [1]}, "entry_ports"),
        ({"entry_id": ""}, "entry_id"),
    ],
)
def test_an_error_names_its_place(load, changes, place):
    with pytest.raises(settings.SettingsError, match=place):
        load(content(**changes))


def test_a_file_that_is_not_json_is_named(load):
    with pytest.raises(settings.SettingsError, match=r"settings\.json"):
        load("nodeName: a")


def test_a_missing_file_is_named(monkeypatch):
    monkeypatch.setenv(settings.PATH_VARIABLE, "/nonexistent/settings")
    with pytest.raises(settings.SettingsError, match="/nonexistent"):
        settings.load()


def test_a_metrics_port_must_be_one(load, monkeypatch):
    monkeypatch.setenv(settings.METRICS_VARIABLE, "http")
    with pytest.raises(settings.SettingsError, match="METRICS"):
        load(content()).gateway_settings()


def test_the_first_entries_of_a_fleet_are_seeds(load):
    deployment = load(content(seeds=["10.1.0.18:8382", "10.2.0.34:8382"]))
    assert deployment.seeds == (("10.2.0.34", 7200),)
    assert load(content()).seeds == ()
    assert load(content(seeds=None)).seeds == ()


def test_a_seed_that_is_no_address_is_named(load):
    with pytest.raises(settings.SettingsError, match=r"seed_addresses|seeds"):
        load(content(seeds=["nowhere"]))
