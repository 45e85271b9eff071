"""Tests of the signals that upstreams send about themselves."""

from __future__ import annotations

import dataclasses
import math

from sesamevale.policy.signals import upstream_signals
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


def test_an_upstream_that_leaves_stays_closed_whatever_it_says_later():
    signals = book(upstream_signals.Leaving())
    signals.record_answer(INSTANCE, (), 1.0)
    assert signals.opens_at(INSTANCE, 1.0) == math.inf
    signals.retain([], 300.0)
    assert signals.is_leaving(INSTANCE)


def test_an_upstream_that_leaves_is_a_last_resort_for_a_short_time():
    signals = book(upstream_signals.Leaving(), now=5.0)
    assert signals.is_last_resort(INSTANCE, 5.9)
    assert not signals.is_last_resort(INSTANCE, 6.1)


def test_another_start_of_an_upstream_that_left_is_open():
    signals = book(upstream_signals.Leaving(), upstream_signals.Pause(9.0))
    restarted = dataclasses.replace(RECORD, started_ms=2000)
    instance = upstream_signals.instance_of(restarted)
    assert signals.opens_at(instance, 1.0) == 1.0


def test_a_pause_lasts_for_its_time_whatever_is_answered_meanwhile():
    signals = book(upstream_signals.Pause(3.0))
    signals.record_answer(INSTANCE, (), 1.0)
    assert signals.opens_at(INSTANCE, 1.0) == 3.0
    assert signals.opens_at(INSTANCE, 3.5) == 3.5


def test_a_shorter_pause_does_not_cut_a_longer_one():
    signals = book(upstream_signals.Pause(3.0))
    signals.record_answer(INSTANCE, (upstream_signals.Pause(0.5),), 1.0)
    assert signals.opens_at(INSTANCE, 1.0) == 3.0


def test_one_request_comes_first_after_a_pause():
    signals = book(upstream_signals.Pause(3.0))
    signals.record_request(INSTANCE, 3.1)
    assert signals.opens_at(INSTANCE, 3.2) > 3.2
    signals.record_answer(INSTANCE, (), 3.3)
    assert signals.opens_at(INSTANCE, 3.3) == 3.3


def test_a_first_request_without_an_answer_does_not_close_an_upstream():
    signals = book(upstream_signals.Pause(3.0))
    signals.record_request(INSTANCE, 3.1)
    assert signals.opens_at(INSTANCE, 4.0) == 4.0


NOTHING = upstream_signals.RateLimit(0.0)


# Guards against a limit of 0 that counts as no limit.
def test_a_limit_of_zero_is_kept_until_it_ends():
    signals = book(NOTHING)
    assert signals.limit_of(INSTANCE) == NOTHING
    changes = signals.record_answer(INSTANCE, (NOTHING,), 5.0)
    assert not changes
    changes = signals.record_answer(INSTANCE, (), 9.0)
    assert [each.change for each in changes] == ["ended"]
    assert signals.limit_of(INSTANCE) is None


# Guards against all that waits going to an upstream that took nothing so far.
def test_one_request_comes_first_after_a_limit_of_zero():
    for end in ((), (upstream_signals.RateLimit(5.0),)):
        signals = book(NOTHING)
        signals.record_answer(INSTANCE, end, 1.0)
        assert signals.opens_at(INSTANCE, 1.0) == 1.0
        signals.record_request(INSTANCE, 1.0)
        assert signals.opens_at(INSTANCE, 1.1) > 1.1
        signals.record_answer(INSTANCE, end, 1.2)
        assert signals.opens_at(INSTANCE, 1.2) == 1.2
        signals.record_request(INSTANCE, 1.3)
        assert signals.opens_at(INSTANCE, 1.3) == 1.3
