"""Tests of the schedule of store reads, with entries that hang."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from sesamevale.policy.membership import read_scheduling

TIMING = read_scheduling.ReadTiming(bound_s=2.0)
TIME_STEP_S = 0.01
READ_DURATION_S = 0.02


def next_step(entry_id, others, age_s=0.0, since_ask_s=0.0):
    return read_scheduling.next_step(
        entry_id, frozenset(others), age_s, since_ask_s, TIMING
    )


def test_the_lowest_identifier_reads_and_the_others_ask_it():
    assert next_step("a", "bc", age_s=1.01) == read_scheduling.Read()
    assert next_step(
        "b", "ac", age_s=1.06, since_ask_s=0.31
    ) == read_scheduling.Ask("a")
    assert isinstance(next_step("c", "ab", age_s=0.1), read_scheduling.Wait)


def test_the_reader_is_not_asked_before_its_next_read_can_be_complete():
    step = next_step("b", "ac", age_s=0.9, since_ask_s=0.9)
    assert isinstance(step, read_scheduling.Wait)
    assert 0.1 < step.seconds < 0.2


def test_a_reader_that_is_late_is_asked_again_soon():
    step = next_step("b", "ac", age_s=1.2, since_ask_s=0.1)
    assert isinstance(step, read_scheduling.Wait)
    assert abs(step.seconds - 0.2) < 1e-9


def test_the_others_ask_at_different_times():
    others = [f"e-{number:02}" for number in range(12)]
    first = next_step("e-01", others, age_s=1.0, since_ask_s=1.0)
    last = next_step("e-11", others, age_s=1.0, since_ask_s=1.0)
    assert last.seconds > first.seconds + 0.05


def test_an_entry_that_is_alone_reads_less_often():
    assert isinstance(next_step("a", "", age_s=1.25), read_scheduling.Wait)
    assert next_step("a", "", age_s=1.31) == read_scheduling.Read()


def test_entries_replace_an_old_read_in_the_order_of_rank():
    assert next_step("b", "ac", age_s=1.55) == read_scheduling.Read()
    assert next_step(
        "c", "ab", age_s=1.55, since_ask_s=1.0
    ) == read_scheduling.Ask("a")
    assert next_step("c", "ab", age_s=1.59) == read_scheduling.Read()


def test_an_entry_without_any_read_reads_at_once():
    infinite = float("inf")
    assert next_step("c", "ab", age_s=infinite) == read_scheduling.Read()


@hypothesis.given(
    count=strategies.integers(1, 16),
    stuck=strategies.sets(strategies.integers(0, 15)),
    noticed=strategies.booleans(),
)
@hypothesis.settings(deadline=None)
def test_the_last_read_is_never_older_than_the_bound(count, stuck, noticed):
    """Stuck entries do not answer; others may still count them as alive."""
    names = [f"e-{number:02}" for number in range(count)]
    alive = [name for number, name in enumerate(names) if number not in stuck]
    seen = alive if noticed else names
    read_at = dict.fromkeys(names, 0.0)
    asked_at = dict.fromkeys(names, 0.0)
    busy_until = dict.fromkeys(names, 0.0)
    reads = asks = 0
    now = 0.0
    while now < 12.0:
        now += TIME_STEP_S
        for name in alive:
            if now < busy_until[name]:
                continue
            step = read_scheduling.next_step(
                name,
                frozenset(seen) - {name},
                now - read_at[name],
                now - asked_at[name],
                TIMING,
            )
            if isinstance(step, read_scheduling.Read):
                reads += 1
                read_at[name] = now
                busy_until[name] = now + READ_DURATION_S
            elif isinstance(step, read_scheduling.Ask):
                asks += 1
                asked_at[name] = now
                if step.entry_id in alive:
                    known = read_at[step.entry_id]
                    read_at[name] = max(read_at[name], known)
        for name in alive:
            assert now - read_at[name] <= 0.9 * TIMING.bound_s
    if alive and not stuck:
        assert reads <= 12.0 / (0.5 * TIMING.bound_s) + 1
        assert asks <= (count - 1) * (reads + 1)
