"""Tests of what an entry has learned of each route."""

from __future__ import annotations

from sesamevale.policy.balancing import route_durations

MEMORY_S = route_durations.DURATION_MEMORY_S


def recorded(*seconds, start=0.0, step=0.1):
    durations = route_durations.RouteDurations()
    now = start
    for each in seconds:
        durations.record("read", each, 1.0, now)
        now += step
    return durations


def test_an_unknown_route_may_end_by_any_deadline():
    durations = route_durations.RouteDurations()
    assert durations.may_end_by(0.001, "read", 5.0, 0.0)
    assert durations.expected_s("read") is None


def test_a_deadline_below_half_of_the_mean_is_too_short():
    durations = recorded(0.2)
    assert not durations.may_end_by(1.09, "read", 1.0, 1.0)
    assert durations.may_end_by(1.11, "read", 1.0, 1.0)
    assert not durations.may_end_by(1.11, "read", 2.0, 1.0)


def test_a_mean_without_recent_success_refuses_nothing():
    durations = recorded(3.0)
    assert not durations.may_end_by(2.0, "read", 1.0, 1.0)
    later = 2 * MEMORY_S
    assert durations.may_end_by(later + 0.1, "read", 1.0, later)


def test_one_duration_after_a_gap_does_not_replace_the_mean_of_a_rare_route():
    """A route that an entry sees every few seconds had its last duration."""
    durations = recorded(0.2, 0.2, 0.2)
    durations.record("read", 1.0, 1.0, 2 * MEMORY_S)
    expected_s = durations.expected_s("read")
    assert 0.2 < expected_s / route_durations.DURATION_MARGIN < 0.7
