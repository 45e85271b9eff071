"""Who reads the store: entries that fail, against the bound on changes."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from sesamevale.policy import read_scheduling

TIMING = read_scheduling.ReadTiming(bound_s=2.0)
STEP_S = 0.01
CALL_S = 0.02


def move(own, near, age_s=0.0, since_ask_s=0.0):
    return read_scheduling.next_step(
        own, frozenset(near), age_s, since_ask_s, TIMING
    )


def test_the_first_reads_and_the_others_ask_it():
    assert move("a", "bc", age_s=1.01) == read_scheduling.Read()
    assert move("b", "ac", age_s=1.06, since_ask_s=0.31) == read_scheduling.Ask(
        "a"
    )
    assert isinstance(move("c", "ab", age_s=0.1), read_scheduling.Wait)


def test_nobody_asks_before_there_can_be_news():
    found = move("b", "ac", age_s=0.9, since_ask_s=0.9)
    assert isinstance(found, read_scheduling.Wait)
    assert 0.1 < found.seconds < 0.2


def test_a_reader_that_is_late_is_asked_again_soon():
    found = move("b", "ac", age_s=1.2, since_ask_s=0.1)
    assert isinstance(found, read_scheduling.Wait)
    assert abs(found.seconds - 0.2) < 1e-9


def test_the_others_do_not_ask_all_at_once():
    near = [f"e-{number:02}" for number in range(12)]
    first = move("e-01", near, age_s=1.0, since_ask_s=1.0)
    last = move("e-11", near, age_s=1.0, since_ask_s=1.0)
    assert last.seconds > first.seconds + 0.05


def test_an_entry_alone_reads_less_often():
    assert isinstance(move("a", "", age_s=1.25), read_scheduling.Wait)
    assert move("a", "", age_s=1.31) == read_scheduling.Read()


def test_old_knowledge_is_replaced_one_entry_after_the_other():
    assert move("b", "ac", age_s=1.55) == read_scheduling.Read()
    assert move("c", "ab", age_s=1.55, since_ask_s=1.0) == read_scheduling.Ask(
        "a"
    )
    assert move("c", "ab", age_s=1.59) == read_scheduling.Read()


def test_nothing_is_known_at_the_start():
    infinite = float("inf")
    assert move("c", "ab", age_s=infinite) == read_scheduling.Read()


@hypothesis.given(
    count=strategies.integers(1, 16),
    stuck=strategies.sets(strategies.integers(0, 15)),
    noticed=strategies.booleans(),
)
@hypothesis.settings(deadline=None)
def test_the_last_read_is_never_older_than_the_bound(count, stuck, noticed):
    """Entries that are stuck answer nobody; others may not have noticed."""
    names = [f"e-{number:02}" for number in range(count)]
    alive = [name for number, name in enumerate(names) if number not in stuck]
    seen = alive if noticed else names
    read_at = dict.fromkeys(names, 0.0)
    asked_at = dict.fromkeys(names, 0.0)
    busy_until = dict.fromkeys(names, 0.0)
    reads = asks = 0
    now = 0.0
    while now < 12.0:
        now += STEP_S
        for name in alive:
            if now < busy_until[name]:
                continue
            found = read_scheduling.next_step(
                name,
                frozenset(seen) - {name},
                now - read_at[name],
                now - asked_at[name],
                TIMING,
            )
            if isinstance(found, read_scheduling.Read):
                reads += 1
                read_at[name] = now
                busy_until[name] = now + CALL_S
            elif isinstance(found, read_scheduling.Ask):
                asks += 1
                asked_at[name] = now
                if found.entry_id in alive:
                    known = read_at[found.entry_id]
                    read_at[name] = max(read_at[name], known)
        for name in alive:
            assert now - read_at[name] <= 0.9 * TIMING.bound_s
    if alive and not stuck:
        assert reads <= 12.0 / (0.5 * TIMING.bound_s) + 1
        assert asks <= (count - 1) * (reads + 1)
