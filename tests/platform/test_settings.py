"""Settings file of the platform, as rendered from the project's template."""

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
    def write_and_load(values):
        path = tmp_path / "settings.json"
        text = values if isinstance(values, str) else json.dumps(values)
        path.write_text(text)
        monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
        return settings.load()

    return write_and_load


def test_gateway_settings_are_derived(load):
    deployment = load(content())
    result = deployment.gateway_settings()
    assert result.callers.port == 8381
    assert result.entry_port == 7200
    assert result.retry_budget.extra == 58
    assert deployment.store.address.port == 8384
    assert deployment.propagation_bound_s == 2.0


def test_null_bounds_use_defaults(load):
    bounds = dict.fromkeys(content()["bounds"])
    result = load(content(bounds=bounds)).gateway_settings()
    assert result.retry_budget.extra == 0.0


def test_unknown_fields_are_ignored(load):
    load(content(colour="green"))


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"callers": "nowhere"}, "callers"),
        ({"store": {}}, "store.address"),
        ({"entry_ports": [1]}, "entry_ports"),
        ({"entry_id": ""}, "entry_id"),
    ],
)
def test_an_error_names_its_field(load, changes, field):
    with pytest.raises(settings.SettingsError, match=field):
        load(content(**changes))


def test_a_file_that_is_not_json_is_named(load):
    with pytest.raises(settings.SettingsError, match=r"settings\.json"):
        load("nodeName: a")


def test_a_missing_file_is_named(monkeypatch):
    monkeypatch.setenv(settings.PATH_VARIABLE, "/nonexistent/settings")
    with pytest.raises(settings.SettingsError, match="/nonexistent"):
        settings.load()


def test_an_invalid_metrics_port_is_rejected(load, monkeypatch):
    monkeypatch.setenv(settings.METRICS_VARIABLE, "http")
    with pytest.raises(settings.SettingsError, match="METRICS"):
        load(content()).gateway_settings()


def test_seeds_are_entries_on_other_machines(load):
    deployment = load(content(seeds=["10.1.0.18:8382", "10.2.0.34:8382"]))
    assert deployment.seeds == (("10.2.0.34", 7200),)
    assert load(content()).seeds == ()
    assert load(content(seeds=None)).seeds == ()


def test_an_invalid_seed_is_named(load):
    with pytest.raises(settings.SettingsError, match=r"seed_addresses|seeds"):
        load(content(seeds=["nowhere"]))


@pytest.mark.parametrize(
    ("strict", "seconds"), [(True, 4.0), (False, 900.0), (None, 900.0)]
)
def test_keys_expire_within_the_bound_if_the_deployment_asks_for_it(
    load, strict, seconds
):
    bounds = content()["bounds"] | {"strict_revoke": strict, "revoke_ms": 4000}
    result = load(content(bounds=bounds)).gateway_settings()
    assert result.key_lifetime_s == seconds


def test_quotas_have_a_port_of_their_own(load):
    bounds = content()["bounds"] | {"quota_window_s": 5, "quota_overage": 0.2}
    settings_with_quotas = content(bounds=bounds)
    result = load(settings_with_quotas).gateway_settings()
    assert (result.entry_port, result.quota_port) == (7200, 7215)
    assert result.quota.overage == 0.2
    with pytest.raises(settings.SettingsError, match="second port"):
        load(settings_with_quotas | {"entry_ports": [7200, 7200]})
