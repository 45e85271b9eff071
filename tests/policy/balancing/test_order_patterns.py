"""Loads with too little room, in simulated time: who is served and who waits.

Patterns: urgent and usual requests that together need far more than there is,
and one kind of request alone above the capacity. Callers that are refused come
back once.
"""

from __future__ import annotations

import pytest

from tests.policy.balancing import test_overload_patterns as overload
from tests.standins import priority_service

OBJECTIVE_S = 0.6
PATIENCE_S = 1.2
URGENT, USUAL = 0, 1
URGENT_EACH = 3
DURATION_S = 6.0
# Time in which the entries learn how full the upstreams are.
SETTLED_S = 1.5
OVERLOAD = 2.0


def play(entries, priorities, *, in_order, load=OVERLOAD, seed=1):
    """Returns the settled requests of a steady load, by priority."""
    service = priority_service.PriorityService(
        entries, 36, 3, seed, in_order=in_order
    )
    count = int(DURATION_S * load * service.slots * overload.SLOT_RATE)
    found = {each: [] for each in priorities}
    for number in range(count):
        priority = priorities[number % len(priorities)]
        work = service.arrive_ranked(
            DURATION_S * number / count,
            priority=priority,
            left_s=PATIENCE_S,
            objective_s=OBJECTIVE_S,
        )
        if work.arrived >= SETTLED_S:
            found[priority].append(work)
    service.run(DURATION_S + 2 * PATIENCE_S)
    return found


def in_time(requests):
    return sum(each.is_in_time for each in requests) / len(requests)


def served(requests):
    return sum(each.ended is not None for each in requests) / len(requests)


@pytest.mark.parametrize("entries", [6, 45])
def test_urgent_requests_are_in_time_beside_too_many_others(entries):
    """All kinds queued at the upstreams alike, and most were late."""
    mix = (URGENT, USUAL, USUAL)
    found = play(entries, mix, in_order=True)
    alike = play(entries, mix, in_order=False)
    assert in_time(found[URGENT]) >= 2 / 3
    assert in_time(found[URGENT]) > in_time(alike[URGENT])
    both = [each for requests in found.values() for each in requests]
    both_alike = [each for requests in alike.values() for each in requests]
    assert in_time(both) >= in_time(both_alike)


@pytest.mark.parametrize("entries", [6, 45])
def test_no_priority_is_starved(entries):
    found = play(entries, (URGENT, USUAL, USUAL), in_order=True)
    both = [each for requests in found.values() for each in requests]
    assert served(found[USUAL]) >= served(both) / 2


def test_requests_of_one_kind_are_served_alike_above_the_capacity():
    found = play(45, (USUAL,), in_order=True)
    alike = play(45, (USUAL,), in_order=False)
    assert in_time(found[USUAL]) == in_time(alike[USUAL])


def test_what_is_refused_is_held_less_long():
    """Requests were held for half of their objective before a refusal."""

    def mean_held(in_order):
        found = play(45, (URGENT, USUAL, USUAL), in_order=in_order)
        held = [at for each in found[USUAL] for at in each.held]
        return sum(held) / len(held)

    assert mean_held(True) <= mean_held(False) / 2


def test_below_the_capacity_the_order_changes_nothing():
    found = play(45, (URGENT, USUAL), in_order=True, load=0.8)
    for requests in found.values():
        assert served(requests) == 1.0
