"""Decoding of valid and invalid items of the store."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from sesamevale.platform import decoding
from sesamevale.platform import header_fields
from sesamevale.platform import models
from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.signals import upstream_signals
from tests.builders import gateway
from tests.builders import odd_heartbeats
from tests.builders import store_items


def decode(*items):
    validated = [models.Item.model_validate(each) for each in items]
    return decoding.Decoder().decode(validated)


def test_a_heartbeat_is_decoded():
    found = decode(
        store_items.item(
            "servers/i-1",
            store_items.heartbeat(state="draining", warmupLeftMs=1500),
        )
    )
    (record,) = found.contents.upstreams
    assert record.upstream_id == "i-1"
    assert (record.host, record.port) == ("10.0.0.9", 8080)
    assert record.draining
    assert record.warmup_s == 1.5
    assert record.started_ms == 1000


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"address": "nowhere"},
        {"address": 7},
        {"slots": "4"},
        {"slots": 0},
        {"service": None},
        {"born": 1.5},
        {"seqNo": True},
        {"zone": 3},
    ],
    ids=str,
)
def test_an_invalid_heartbeat_is_rejected(changes):
    valid = store_items.item("servers/i-1", store_items.heartbeat())
    invalid = store_items.item("servers/i-2", store_items.heartbeat(**changes))
    found = decode(invalid, valid)
    assert [each.upstream_id for each in found.contents.upstreams] == ["i-1"]
    assert list(found.rejected) == ["servers/i-2"]


@hypothesis.given(content=strategies.binary(max_size=40))
def test_undecodable_bytes_do_not_affect_other_items(content):
    valid = store_items.item("servers/i-1", store_items.heartbeat())
    undecodable = valid | {
        "key": "servers/i-2",
        "value": content.decode("latin-1"),
    }
    found = decode(undecodable, valid)
    assert [each.upstream_id for each in found.contents.upstreams] == ["i-1"]


def test_a_configuration_is_decoded():
    split = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    paths = [
        store_items.route(),
        store_items.route(
            name="charge",
            prefix="/read/deep/",
            kind="unsafe",
            service=None,
            trafficSplit=split,
        ),
    ]
    found = decode(
        store_items.item("op/config", store_items.config("r12", paths))
    )
    configuration = found.contents.configuration
    assert configuration.version == 12
    deep, read = configuration.routes["a.example"]
    assert (deep.name, read.name) == ("charge", "read")
    assert not deep.repeatable
    assert read.repeatable
    assert [part.weight for part in deep.parts] == [90, 10]
    assert read.timeout_s == 2.0
    assert configuration.limits.header_timeout_s == 3.0


def test_an_unknown_kind_runs_at_most_once():
    paths = [store_items.route(kind="strange")]
    found = decode(
        store_items.item("op/config", store_items.config("r1", paths))
    )
    (read,) = found.contents.configuration.routes["a.example"]
    assert not read.repeatable


def test_an_invalid_configuration_is_rejected_with_its_field():
    broken = store_items.config()
    del broken["virtualHosts"][0]["paths"][0]["timeoutMs"]
    found = decode(store_items.item("op/config", broken))
    assert found.contents.configuration is None
    assert "timeoutMs" in found.rejected["op/config"]


def test_versions_compare_as_numbers():
    versions = [
        decode(
            store_items.item("op/config", store_items.config(text))
        ).contents.configuration.version
        for text in ("r9", "r10")
    ]
    assert versions == [9, 10]


def test_unrelated_keys_are_ignored():
    found = decode(store_items.item("else/where", {"a": 1}))
    assert not found.rejected
    assert not found.contents.upstreams


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", upstream_state.Load(3, 0, 8)),
        (b"3, 1, 8, 250", upstream_state.Load(3, 1, 8, 2.5)),
        (b"3,0", None),
        (b"-1,0,8", None),
        (b"busy", None),
        (b"", None),
    ],
)
def test_load_header_is_parsed(value, load):
    assert header_fields.read_load(value) == load


@pytest.mark.parametrize(
    ("values", "per_second"),
    [
        ([b"1.4"], 1.4),
        ([b"12"], 12.0),
        ([b".5"], 0.5),
        ([], None),
        ([b""], None),
        ([b"1.4", b"1.4"], None),
        ([b"1.4, 2"], None),
        ([b"-1"], None),
        ([b"0"], 0.0),
        ([b"0.0"], 0.0),
        ([b"-0"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"1e400"], None),
        ([b"1_0"], None),
        ([b"9" * 4096], None),
        (["\u0661".encode()], None),
        ([b"Sat, 05 Dec 2026 08:00:00 GMT"], None),
    ],
)
def test_limit_header_is_parsed(values, per_second):
    headers = tuple((b"server-limit", value) for value in values)
    expected = ()
    if per_second is not None:
        expected = (upstream_signals.RateLimit(per_second),)
    assert header_fields.read_signals(200, headers) == expected


@pytest.mark.parametrize(
    ("status", "fields", "expected"),
    [
        (200, [("server-leaving", "1")], [upstream_signals.Leaving()]),
        (503, [("server-leaving", "1")], [upstream_signals.Leaving()]),
        (200, [("server-leaving", "0")], []),
        (200, [("server-leaving", "")], []),
        (200, [("server-leaving", "1"), ("server-leaving", "1")], []),
        (503, [("retry-after", "2")], [upstream_signals.Pause(2.0)]),
        (200, [("x-warmup-ms", "1500")], [upstream_signals.Warming(1.5)]),
        (503, [("x-warmup-ms", "250")], [upstream_signals.Warming(0.25)]),
        (200, [("x-warmup-ms", "0")], []),
        (200, [("x-warmup-ms", "-3")], []),
        (200, [("x-warmup-ms", "inf")], []),
        (200, [("x-warmup-ms", "1"), ("x-warmup-ms", "2")], []),
        (503, [("retry-after", "0.25")], [upstream_signals.Pause(0.25)]),
        (200, [("retry-after", "2")], []),
        (429, [("retry-after", "2")], []),
        (503, [("retry-after", "-2")], []),
        (503, [("retry-after", "0")], []),
        (503, [("retry-after", "nan")], []),
        (503, [("retry-after", "Sat, 05 Dec 2026 08:00:00 GMT")], []),
        (503, [("retry-after", "1"), ("retry-after", "2")], []),
    ],
)
def test_leaving_and_pauses_are_parsed(status, fields, expected):
    headers = tuple((name.encode(), value.encode()) for name, value in fields)
    assert list(header_fields.read_signals(status, headers)) == expected


# One odd entry ended the processes that read the list, or stopped them from
# following it.
@pytest.mark.parametrize("name", odd_heartbeats.ALL)
def test_an_odd_entry_names_no_upstream_and_the_others_hold(name):
    odd = odd_heartbeats.ALL[name]
    valid = store_items.item("servers/i-1", store_items.heartbeat())
    found = decode(odd, valid)
    assert [each.upstream_id for each in found.contents.upstreams] == ["i-1"]
    assert list(found.rejected) == [odd["key"]]


@pytest.mark.parametrize(
    "value",
    [b"9" * 400 + b",0,4", b"0,0," + b"9" * 400, b"0,0,4," + b"9" * 400],
)
def test_a_load_report_with_a_number_too_large_is_ignored(value):
    assert header_fields.read_load(value) is None


def decode_tenants(*tenants):
    content = store_items.config() | {"tenants": list(tenants)}
    return decode(store_items.item("op/config", content))


def test_keys_are_kept_as_digests_only():
    found = decode_tenants(
        {
            "name": "acme",
            "apiKeys": ["key-a", "key-b"],
            "priority": 1,
            "ratePerS": 2.5,
            "burst": 3,
        },
        {"name": "bolt", "apiKeys": ["key-c"], "ratePerS": 0},
    )
    tenants = found.contents.configuration.tenants
    assert tenants["acme"] == gateway.tenant(
        "acme", ("key-a", "key-b"), priority=1, rate_per_s=2.5, burst=3.0
    )
    assert tenants["bolt"] == gateway.tenant("bolt", ("key-c",))


@pytest.mark.parametrize(
    "tenants",
    [
        [
            {"name": "acme", "apiKeys": ["key-a"]},
            {"name": "bolt", "apiKeys": ["key-a"]},
        ],
        [{"name": "acme", "apiKeys": ["key-a"]}, {"name": "acme"}],
        [{"name": "a\r\nb", "apiKeys": ["key-a"]}],
        [{"name": "acme", "apiKeys": ["key-a", 7]}],
        [{"name": "acme", "apiKeys": ["key-a"], "ratePerS": -1}],
    ],
    ids=["shared key", "same name", "odd name", "odd key", "negative rate"],
)
def test_ambiguous_tenants_are_rejected_without_naming_a_key(tenants):
    found = decode_tenants(*tenants)
    assert found.contents.configuration is None
    assert "key-a" not in found.rejected["op/config"]
