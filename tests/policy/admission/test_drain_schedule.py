"""Tests of the times of a shutdown."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from sesamevale.policy.admission import drain_schedule

seconds = strategies.floats(min_value=0.0, max_value=30.0)
graces = strategies.floats(min_value=1.0, max_value=30.0)


@hypothesis.given(graces, seconds, seconds, seconds)
def test_what_is_taken_late_ends_before_the_grace(
    grace_s, lifetime_s, arrived, lasts_s
):
    schedule = drain_schedule.DrainSchedule.plan(0.0, grace_s, lifetime_s)
    expired = arrived >= schedule.answers_expire_at
    if expired and schedule.admits(arrived, arrived + lasts_s):
        assert arrived + lasts_s <= schedule.ends_at < grace_s


@hypothesis.given(graces, seconds, seconds)
def test_a_caller_with_a_valid_directory_answer_is_served(
    grace_s, lifetime_s, lasts_s
):
    schedule = drain_schedule.DrainSchedule.plan(0.0, grace_s, lifetime_s)
    taken_until = schedule.answers_expire_at - drain_schedule.SIGNAL_DELAY_MAX_S
    hypothesis.assume(taken_until > 0.0)
    arrived = 0.99 * taken_until
    assert schedule.admits(arrived, arrived + lasts_s)


@hypothesis.given(graces, seconds, seconds, seconds)
def test_nothing_is_taken_after_the_drain(
    grace_s, lifetime_s, arrived, lasts_s
):
    schedule = drain_schedule.DrainSchedule.plan(0.0, grace_s, lifetime_s)
    assert not schedule.ended().admits(arrived, arrived + lasts_s)


@hypothesis.given(graces, seconds)
def test_the_times_are_in_order_and_within_the_grace(grace_s, lifetime_s):
    schedule = drain_schedule.DrainSchedule.plan(0.0, grace_s, lifetime_s)
    assert schedule.answers_expire_at <= schedule.close_idle_at
    assert schedule.close_idle_at <= schedule.ends_at < grace_s


# Guards against giving requests up while much of a short grace is left.
@hypothesis.given(graces, seconds)
def test_at_most_a_sixth_of_the_grace_is_kept_for_the_exit(grace_s, lifetime_s):
    schedule = drain_schedule.DrainSchedule.plan(0.0, grace_s, lifetime_s)
    assert schedule.ends_at >= grace_s * 5 / 6


# Guards against a request that is taken late by the clock of the signal and
# early by that of a process that handled the signal late.
@hypothesis.given(
    strategies.floats(0.0, drain_schedule.SIGNAL_DELAY_MAX_S), seconds
)
def test_a_signal_that_is_handled_late_extends_no_admission(delay_s, lasts_s):
    signalled = drain_schedule.DrainSchedule.plan(0.0, 6.0, 1.0)
    handled = drain_schedule.DrainSchedule.plan(delay_s, 6.0, 1.0)
    late = signalled.answers_expire_at + 0.01
    if handled.admits(late, late + lasts_s):
        assert late + lasts_s <= handled.ends_at


def test_short_requests_are_still_served_late_in_a_drain():
    schedule = drain_schedule.DrainSchedule.plan(0.0, 6.0, 1.0)
    assert schedule.admits(3.1, 3.1 + 2.0)
    assert not schedule.admits(3.1, 3.1 + 5.0)
