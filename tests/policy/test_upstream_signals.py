"""Tests of the signals that upstreams send about themselves."""

from __future__ import annotations

import dataclasses

from sesamevale.policy import upstream_signals
from tests.builders import gateway

RECORD = gateway.upstream()
INSTANCE = upstream_signals.instance_of(RECORD)
LIMIT = upstream_signals.RateLimit(1.5)


def book(*signals, now=0.0):
    signals_book = upstream_signals.UpstreamSignals()
    signals_book.record_answer(INSTANCE, signals, now)
    return signals_book


def test_a_limit_holds_until_an_answer_no_longer_names_it():
    signals = book(LIMIT)
    assert signals.limit_of(INSTANCE) == LIMIT
    changes = signals.record_answer(INSTANCE, (), 9.0)
    assert signals.limit_of(INSTANCE) is None
    assert [each.change for each in changes] == ["ended"]


def test_only_a_new_value_is_a_change():
    signals = book(LIMIT)
    assert not signals.record_answer(INSTANCE, (LIMIT,), 1.0)
    changes = signals.record_answer(
        INSTANCE, (upstream_signals.RateLimit(2.0),), 2.0
    )
    assert changes == [upstream_signals.SignalChange("limit", "changed", 2.0)]


def test_a_limit_outlives_the_record_of_its_upstream():
    signals = book(LIMIT)
    signals.retain([], 30.0)
    assert signals.limit_of(INSTANCE) == LIMIT


def test_another_start_or_another_address_has_no_limit():
    signals = book(LIMIT)
    for changes in ({"started_ms": 2000}, {"port": 2}):
        other = dataclasses.replace(RECORD, **changes)
        assert signals.limit_of(upstream_signals.instance_of(other)) is None


def test_instances_that_are_gone_for_long_are_forgotten():
    signals = book(LIMIT)
    signals.retain([INSTANCE], 500.0)
    signals.retain([], 500.0 + upstream_signals.RETENTION_S)
    assert INSTANCE in signals.instances
    signals.retain([], 501.0 + upstream_signals.RETENTION_S)
    assert INSTANCE not in signals.instances
