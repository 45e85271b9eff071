"""Tests of an entry's view of the store against simulated absences.

Pattern: upstreams lapse because the store was away, or leave while the entry
was; reads are seconds apart in both cases.
"""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies

from sesamevale.policy.membership import store_view
from tests.builders import beating_store

READ_S = 1.25
RETRY_S = 0.75
CONTACT_S = 3.0
START_S = 12.0


def read(view, store, at):
    view.record_read(at, 1, store.origins(at))


def follow(view, store, until, cut=(0.0, 0.0), read_s=READ_S):
    """Reads the store until a time; returns the time of the first read after
    the cut of the entry, or after the store's absence."""
    now, first_back, failed = 0.0, None, False
    while now < until:
        if store.is_away(now) or cut[0] <= now < cut[1]:
            view.record_failure(now)
            failed = True
            now += RETRY_S
            continue
        read(view, store, now)
        if failed and first_back is None:
            first_back = now
            break
        now += read_s
    return first_back


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    count=strategies.sampled_from([8, 40, 150]),
    heartbeat_s=strategies.sampled_from([0.5, 1.0, 1.5]),
    away_s=strategies.floats(5.5, 20.0),
)
def test_a_store_that_was_away_gives_missing_upstreams_time_to_return(
    seed, count, heartbeat_s, away_s
):
    away = (START_S, START_S + away_s)
    store = beating_store.BeatingStore(
        count, heartbeat_s, away, {}, away[1] + 9.0, random.Random(seed)
    )
    view = store_view.StoreView()
    first_back = follow(view, store, away[1] + 9.0)
    summary = view.summary(first_back)
    assert summary.absent is store_view.Absent.STORE
    assert summary.contact is store_view.Contact.BACK
    assert first_back < view.grace_until <= away[1] + CONTACT_S


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    count=strategies.sampled_from([8, 40, 150]),
    heartbeat_s=strategies.sampled_from([0.5, 1.0, 1.5]),
    cut_s=strategies.floats(2.5, 20.0),
    leaving=strategies.integers(0, 2),
)
def test_an_entry_that_was_cut_off_gives_no_time(
    seed, count, heartbeat_s, cut_s, leaving
):
    cut = (START_S, START_S + cut_s)
    leaves = {f"u-{number}": cut[0] + 1.0 for number in range(leaving)}
    store = beating_store.BeatingStore(
        count,
        heartbeat_s,
        (0.0, 0.0),
        leaves,
        cut[1] + 9.0,
        random.Random(seed),
    )
    view = store_view.StoreView()
    first_back = follow(view, store, cut[1] + 9.0, cut)
    summary = view.summary(first_back)
    assert summary.absent is store_view.Absent.ENTRY
    assert summary.contact is store_view.Contact.WHOLE
    assert view.grace_until < first_back


# Guards against taking the death of a data centre's reader for an outage.
@pytest.mark.parametrize("gap_s", [2.1, 2.6, 4.0])
def test_a_reader_that_dies_is_no_absence(gap_s):
    store = beating_store.BeatingStore(
        40, 1.0, (0.0, 0.0), {}, 30.0, random.Random(1)
    )
    view = store_view.StoreView()
    now = 0.0
    for _ in range(8):
        read(view, store, now)
        now += READ_S
    read(view, store, now + gap_s)
    summary = view.summary(now + gap_s)
    assert summary.absent is store_view.Absent.NOBODY
    assert summary.contact is store_view.Contact.WHOLE


def test_long_intervals_between_reads_are_no_absence():
    store = beating_store.BeatingStore(
        40, 1.0, (0.0, 0.0), {}, 60.0, random.Random(1)
    )
    view = store_view.StoreView()
    follow(view, store, 50.0, read_s=6.5)
    assert view.summary(50.0).absent is store_view.Absent.NOBODY


# Guards against taking an upstream that was cut off itself for an outage.
def test_a_single_upstream_that_lapsed_is_no_absence_of_the_store():
    cut = (START_S, START_S + 9.0)
    store = beating_store.BeatingStore(
        40, 1.0, (0.0, 0.0), {}, 30.0, random.Random(1), cut={"u-3"}
    )
    view = store_view.StoreView()
    first_back = follow(view, store, 30.0, cut)
    assert store.origins(first_back)["u-3"] != store.origins(START_S)["u-3"]
    assert view.summary(first_back).absent is store_view.Absent.ENTRY


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_upstreams_that_were_replaced_have_not_lapsed(share):
    view = store_view.StoreView()
    old = {f"u-{n}": store_view.Origin(1000, 100 + n) for n in range(20)}
    kept = dict(list(old.items())[int(20 * share) :])
    new = {
        f"v-{n}": store_view.Origin(2000, 200 + n)
        for n in range(int(20 * share))
    }
    view.record_read(1.0, 1, old)
    view.record_failure(4.0)
    view.record_read(7.0, 1, kept | new)
    assert view.summary(7.0).absent is store_view.Absent.ENTRY


def test_upstreams_that_started_again_have_not_lapsed():
    view = store_view.StoreView()
    view.record_read(
        1.0, 1, {f"u-{n}": store_view.Origin(1000, 100) for n in range(9)}
    )
    view.record_failure(4.0)
    view.record_read(
        7.0, 1, {f"u-{n}": store_view.Origin(2000, 200) for n in range(9)}
    )
    assert view.summary(7.0).absent is store_view.Absent.ENTRY


def test_a_new_era_gives_time_whatever_the_gap():
    view = store_view.StoreView()
    view.record_read(1.0, 3, {})
    view.record_read(2.0, 4, {})
    assert view.summary(2.0).absent is store_view.Absent.STORE
    assert view.grace_until > 2.0


def test_the_view_is_away_while_reads_fail():
    view = store_view.StoreView()
    view.record_read(1.0, 0, {})
    view.record_failure(2.0)
    assert view.summary(2.0).contact is store_view.Contact.WHOLE
    assert view.summary(4.0).contact is store_view.Contact.AWAY
    assert not view.summary(4.0).registration_doubtful
    assert view.summary(8.0).registration_doubtful


@pytest.mark.parametrize(
    ("era", "read_at", "newer"),
    [
        (4, 1.0, True),
        (2, 9.0, False),
        (3, 9.0, True),
        (3, 4.0, False),
        (0, 9.0, True),
    ],
)
def test_era_and_time_together_say_what_is_newer(era, read_at, newer):
    assert store_view.is_newer(era, read_at, 3, 5.0) is newer
