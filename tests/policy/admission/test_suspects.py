"""Tests of the suspicions against requests that crash upstreams."""

from __future__ import annotations

import pytest

from sesamevale import bodies
from sesamevale.policy.admission import suspects
from tests.builders import suspicions
from tests.builders.suspicions import death

Verdict = suspects.Verdict
KIND = suspicions.KIND
DEADLY, INNOCENT = 1, 2


def known(*found, now=100.0, entry_id="e-1"):
    table = suspects.Suspects(entry_id)
    for each in found:
        table.record(each, now)
    return table


def verdict(table, request, now=100.0):
    return table.judge(request, KIND, now).verdict


def test_a_request_is_refused_after_two_ends():
    table = known(death(DEADLY, 7))
    assert verdict(table, DEADLY) is Verdict.TRY_ALONE
    table.record(death(DEADLY, 8), 100.0)
    judgement = table.judge(DEADLY, KIND, 100.0)
    assert judgement.verdict is Verdict.REFUSE
    assert judgement.retry_after_s >= suspects.FIRST_REFUSAL_S


def test_the_same_end_seen_by_many_entries_counts_once():
    table = known(*[death(DEADLY, 7) for _ in range(5)])
    assert verdict(table, DEADLY) is Verdict.TRY_ALONE


def test_an_answer_clears_a_request():
    table = known(death(DEADLY, 7), death(DEADLY, 8))
    table.record(suspicions.answer(DEADLY, at=101.0), 101.0)
    assert verdict(table, DEADLY, 101.0) is Verdict.SEND
    assert not len(table)


def test_news_of_an_end_before_the_answer_changes_nothing():
    table = known(suspicions.answer(DEADLY, at=101.0))
    assert not table.record(death(DEADLY, 7, at=100.0), 102.0)
    assert verdict(table, DEADLY, 102.0) is Verdict.SEND


# Guards against innocent requests that shared two upstreams with deadly ones.
def test_an_end_is_put_down_to_the_request_under_which_most_have_ended():
    table = known(death(DEADLY, 7), death(INNOCENT, 7))
    for upstream in (8, 9):
        table.record(death(DEADLY, upstream), 100.0)
    assert verdict(table, DEADLY) is Verdict.REFUSE
    assert verdict(table, INNOCENT) is Verdict.SEND


# Guards against the refusal of what many ask for, beside new deadly things.
def test_an_end_is_put_down_to_the_request_that_was_never_answered():
    table = known(
        suspicions.answer(INNOCENT, at=90.0),
        death(DEADLY, 7),
        death(INNOCENT, 7),
        death(3, 8),
        death(INNOCENT, 8),
    )
    assert verdict(table, INNOCENT) is Verdict.SEND
    assert verdict(table, DEADLY) is Verdict.TRY_ALONE
    table.record(death(INNOCENT, 9), 100.0)
    assert verdict(table, INNOCENT) is Verdict.REFUSE


def test_one_attempt_of_a_suspect_runs_at_a_time():
    table = known(death(DEADLY, 7))
    table.begin_trial(DEADLY, 100.0)
    judgement = table.judge(DEADLY, KIND, 100.1)
    assert judgement.verdict is Verdict.REFUSE
    assert 0 < judgement.retry_after_s < 1
    table.end_trial(DEADLY)
    assert verdict(table, DEADLY, 100.2) is Verdict.TRY_ALONE


def test_a_trial_without_a_result_does_not_last():
    table = known(death(DEADLY, 7))
    table.begin_trial(DEADLY, 100.0)
    later = 100.0 + suspects.TRIAL_MAX_S
    assert verdict(table, DEADLY, later) is Verdict.TRY_ALONE


def test_a_refusal_ends_and_doubles_with_each_end_from_the_third_on():
    table = known(death(DEADLY, 7), death(DEADLY, 8))
    first = table.judge(DEADLY, KIND, 100.0).retry_after_s
    assert first <= 2 * suspects.FIRST_REFUSAL_S
    assert verdict(table, DEADLY, 100.0 + first) is Verdict.TRY_ALONE
    table.record(death(DEADLY, 9), 100.0)
    third = table.judge(DEADLY, KIND, 100.0).retry_after_s
    assert suspects.REFUSAL_S <= third <= 2 * suspects.REFUSAL_S
    table.record(death(DEADLY, 10), 100.0)
    fourth = table.judge(DEADLY, KIND, 100.0).retry_after_s
    assert fourth == pytest.approx(2 * third)


# Load: all entries refuse a request for the same time, and callers ask each of
# them for it; its first attempts after that would crash an upstream for each.
def test_entries_try_a_request_again_one_after_the_other():
    ends = [
        known(death(DEADLY, 7), death(DEADLY, 8), entry_id=f"e-{number}")
        .judge(DEADLY, KIND, 100.0)
        .retry_after_s
        for number in range(58)
    ]
    first = min(ends)
    assert sum(each < first + 0.1 for each in ends) <= 3


# Load: callers ask for many different things that crash upstreams.
def test_ends_under_many_requests_of_a_kind_make_one_end_enough():
    table = known(*[death(number, 100 + number) for number in range(1, 5)])
    assert not table.may_repeat(99, KIND, 100.0)
    assert table.may_repeat(99, KIND + 1, 100.0)
    assert verdict(table, DEADLY) is Verdict.REFUSE
    later = 100.1 + suspects.KIND_WINDOW_S
    assert table.may_repeat(99, KIND, later)
    assert verdict(table, DEADLY, later) is Verdict.TRY_ALONE


def test_many_ends_under_one_request_leave_the_rest_of_its_kind_alone():
    table = known(
        *[death(DEADLY, number) for number in range(7, 17)],
        *[death(number + 100, number) for number in range(7, 17)],
    )
    assert table.may_repeat(99, KIND, 100.0)
    assert verdict(table, 107) is Verdict.SEND


# Load: a caller sends ever new requests that crash upstreams.
def test_the_number_of_requests_is_bounded():
    table = suspects.Suspects("e-1")
    for number in range(1, suspects.REQUESTS_MAX + 50):
        table.record(death(number, number), 100.0)
    assert len(table) == suspects.REQUESTS_MAX


def test_what_is_old_is_forgotten():
    table = known(death(DEADLY, 7))
    later = 100.0 + 3 * suspects.REFUSAL_S
    table.record(death(INNOCENT, 8, at=later), later)
    assert not table.is_suspect(DEADLY)
    assert len(table) == 1


def fingerprint_of(key, method, target, body):
    """Returns the fingerprint of a request as the service task takes it."""
    buffer = bodies.BodyBuffer(body or b"")
    if len(buffer) > bodies.SMALL_BYTES:
        buffer = bodies.BodyBuffer()
        buffer.append(body)
    edges = buffer.edges(suspects.BODY_PART_BYTES)
    return suspects.fingerprint(key, method, target, edges, len(buffer))


def test_fingerprints_are_of_the_content_and_the_key():
    one = fingerprint_of(b"k", b"GET", b"/a", None)
    assert one == fingerprint_of(b"k", b"GET", b"/a", b"")
    others = {
        fingerprint_of(b"l", b"GET", b"/a", None),
        fingerprint_of(b"k", b"PUT", b"/a", None),
        fingerprint_of(b"k", b"GET", b"/b", None),
        fingerprint_of(b"k", b"GET", b"/a", b"x"),
        fingerprint_of(b"k", b"GE", b"T/a", None),
    }
    assert len(others | {one}) == 6


# Guards against uploads that are hashed whole in one turn of the event loop.
def test_long_bodies_are_hashed_in_part():
    body = bytes(suspects.BODY_PART_BYTES)
    one = fingerprint_of(b"k", b"PUT", b"/a", body + b"x" + body)
    assert one == fingerprint_of(b"k", b"PUT", b"/a", body + b"y" + body)
    assert one != fingerprint_of(b"k", b"PUT", b"/a", body + b"xx" + body)
    assert one != fingerprint_of(
        b"k", b"PUT", b"/a", body + b"x" + body[1:] + b"z"
    )


# Guards against hashes of all requests long after the last end of an upstream.
def test_nothing_is_suspected_long_after_the_last_end():
    table = known(death(DEADLY, 7), death(DEADLY, 8), death(INNOCENT, 8))
    table.forget(100.0 + 3 * suspects.REFUSAL_S)
    assert not len(table)
