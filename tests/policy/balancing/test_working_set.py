"""Which upstreams an entry keeps connections to, without a network.

Pattern: many entries that each get a few requests a second among hundreds of
upstreams, so that nearly every sample is the first contact of its pair.
"""

from __future__ import annotations

import random

from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.balancing import working_set
from tests.builders import gateway

ENTRIES = 58
UPSTREAMS = 200
SAMPLES = 3
INTERVAL_S = 0.4
DURATION_S = 60.0
# Upstreams close idle connections after this time.
IDLE_CLOSE_S = 10.0


def candidates(count=UPSTREAMS):
    return [
        upstream_state.Candidate(gateway.upstream(f"u-{number}"), 0.0)
        for number in range(count)
    ]


def touch(chosen, now):
    for each in chosen:
        each.contacted_at = now


def select(available, *, entries=ENTRIES, utilization=0.3, now=1.0, seed=2):
    owner = working_set.WorkingSet(random.Random(seed))
    return owner.select(available, entries, utilization, now)


def test_all_are_chosen_from_until_the_set_is_full():
    found = candidates()
    touch(found[: working_set.SIZE_MIN - 1], 1.0)
    assert select(found) == found


def test_a_full_set_is_chosen_from():
    found = candidates()
    touch(found[:20], 1.0)
    assert select(found) == found[:20]


def test_contacts_of_long_ago_do_not_count():
    found = candidates()
    touch(found[:20], 1.0)
    assert select(found, now=1.0 + IDLE_CLOSE_S) == found


def test_all_are_chosen_from_while_few_have_room():
    found = candidates()
    touch(found[:20], 1.0)
    assert select(found, utilization=0.95) == found


def test_few_entries_use_all_upstreams():
    found = candidates(12)
    touch(found[:9], 1.0)
    assert select(found, entries=4) == found


def test_an_entry_that_knows_of_no_others_chooses_from_all():
    found = candidates()
    touch(found[:20], 1.0)
    assert select(found, entries=0) == found


def play(select_from_set):
    """Returns new connections a sample, and the upstreams that got none."""
    rng = random.Random(5)
    opened = samples = 0
    reached = set()
    for _ in range(ENTRIES):
        owner = working_set.WorkingSet(rng)
        found = candidates()
        now = rng.random()
        while now < DURATION_S:
            chosen = found
            if select_from_set:
                chosen = owner.select(found, ENTRIES, 0.3, now)
            for each in rng.sample(chosen, SAMPLES):
                samples += 1
                opened += now - each.contacted_at > IDLE_CLOSE_S
                owner.record_contact(each, now)
                reached.add(each.record.upstream_id)
            now += rng.expovariate(1 / INTERVAL_S)
    return opened / samples, UPSTREAMS - len(reached)


def test_a_set_saves_most_connections_and_leaves_no_upstream_out():
    """Each pair of an entry and an upstream opened a connection."""
    without, _ = play(select_from_set=False)
    opened, left_out = play(select_from_set=True)
    assert opened <= without / 2
    assert left_out == 0
