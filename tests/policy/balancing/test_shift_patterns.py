"""Loads that move between data centres, in simulated time.

Patterns: an evacuation at high load into data centres with little room, a data
centre that is taken back cold, and an evacuation beside cold upstreams.
"""

from __future__ import annotations

import pytest

from tests.policy.balancing import test_overload_patterns
from tests.standins import shifting_service

ENTRIES = 45
UPSTREAMS = 36
SLOTS = 2
# With more slots, an upstream takes more than it bears while it is cold.
MANY_SLOTS = 6
KNOWN_AFTER_S = shifting_service.READ_INTERVAL_S


def new_service(seed=1, slots=SLOTS):
    return shifting_service.Service(ENTRIES, UPSTREAMS, slots, seed)


def send_at(service, load, start, end):
    """Adds requests at a multiple of the capacity of all data centres."""
    rate = load * service.slots * test_overload_patterns.SLOT_RATE
    return test_overload_patterns.send_steadily(service, rate, start, end)


def in_time(sent, start, end):
    """Returns the share of the requests of some time that ended in time."""
    counted = [each for each in sent if start <= each.arrived < end]
    return sum(each.is_in_time for each in counted) / len(counted)


def assert_cold_upstreams_hold(service):
    allowed = (
        shifting_service.RATE * shifting_service.BOUNDS.overage
        + shifting_service.BOUNDS.tolerance
    )
    for each in service.upstreams.values():
        assert each.most_in_a_second() <= allowed


def test_an_evacuation_with_room_elsewhere_costs_callers_little():
    """One of three data centres is emptied at half of the capacity."""
    service = new_service()
    sent = send_at(service, 0.5, 0.0, 8.0)
    service.evacuate(3.0, "a")
    service.run(9.0)
    for each in service.upstreams_in("a"):
        assert each.count_between(1.0, 3.0) > 0
        assert each.count_between(3.0 + KNOWN_AFTER_S, 9.0) == 0
    before = in_time(sent, 1.0, 3.0)
    assert in_time(sent, 3.0, 3.0 + KNOWN_AFTER_S) >= 0.9 * before
    assert in_time(sent, 3.0 + KNOWN_AFTER_S, 8.0) >= 0.9 * before


@pytest.mark.parametrize("emptied", [("a",), ("a", "b")], ids=["one", "two"])
def test_an_evacuation_into_little_room_does_not_push_over_the_others(emptied):
    """At 80 % of the capacity, one and two of three are emptied at once."""
    service = new_service()
    sent = send_at(service, 0.8, 0.0, 9.0)
    service.evacuate(3.0, *emptied)
    service.run(10.0)
    since = 3.0 + KNOWN_AFTER_S
    receiving = [
        each
        for each in service.upstreams.values()
        if each.record.data_center not in emptied
    ]
    queued = [n for at, n in service.queued_by_time if since <= at < 9.0]
    slots = SLOTS * len(receiving)
    assert sum(queued) / len(queued) <= 0.05 * slots
    assert max(queued) <= slots / 3
    ended = [
        each
        for each in sent
        if each.ended is not None and since <= each.ended < 9.0
    ]
    capacity = SLOTS * len(receiving) * test_overload_patterns.SLOT_RATE
    assert len(ended) >= 0.8 * capacity * (9.0 - since)


def test_with_all_data_centers_evacuated_requests_are_refused_at_once():
    service = new_service()
    sent = send_at(service, 0.5, 0.0, 6.0)
    service.evacuate(2.0, "a", "b", "c")
    service.run(7.0)
    late = [each for each in sent if each.arrived >= 2.0 + KNOWN_AFTER_S]
    for each in late:
        assert each.sent_at is None
        assert each.refused == pytest.approx(each.arrived, abs=0.01)


def test_a_data_center_that_is_taken_back_cold_is_not_pushed_over():
    """Traffic moves back to upstreams that have turned cold meanwhile."""
    service = new_service(slots=MANY_SLOTS)
    sent = send_at(service, 0.6, 0.0, 16.0)
    service.evacuate(2.0, "a")
    service.turn_cold(7.0, 4.0, "a")
    service.evacuate(7.2)
    service.run(17.0)
    assert_cold_upstreams_hold(service)
    steady = in_time(sent, 1.0, 2.0)
    assert in_time(sent, 7.2, 11.0) >= 0.85 * steady
    assert in_time(sent, 12.0, 16.0) >= 0.9 * steady
    for each in service.upstreams_in("a"):
        assert each.count_between(12.0, 16.0) > 0


def test_upstreams_that_turn_cold_where_traffic_has_just_moved_to_hold():
    """At high load one data centre is emptied, and the others turn cold."""
    service = new_service(slots=MANY_SLOTS)
    send_at(service, 0.9, 0.0, 8.0)
    service.evacuate(3.0, "a")
    service.turn_cold(3.0 + KNOWN_AFTER_S, 3.0, "b", "c")
    service.run(9.0)
    assert_cold_upstreams_hold(service)
    cold = service.upstreams_in("b", "c")
    used = sum(len(each.cold_arrivals) for each in cold)
    assert used >= 0.8 * 3.0 * shifting_service.RATE * len(cold)


def test_a_service_that_is_cold_as_a_whole_uses_what_it_may():
    """All upstreams turn cold at once below what they accept together."""
    service = new_service(slots=MANY_SLOTS)
    rate = 0.6 * shifting_service.RATE * UPSTREAMS
    sent = test_overload_patterns.send_steadily(service, rate, 0.0, 8.0)
    service.turn_cold(3.0, 4.0, "a", "b", "c")
    service.run(9.0)
    assert_cold_upstreams_hold(service)
    served = [
        each
        for each in sent
        if 3.5 <= each.arrived < 7.0 and each.ended is not None
    ]
    assert len(served) >= 0.7 * rate * 3.5
