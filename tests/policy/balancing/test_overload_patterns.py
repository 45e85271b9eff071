"""Loads above capacity, in simulated time.

Patterns: a burst at many entries that each see a small part of it, and a crowd
of callers that return with little time left after all entries were away.
"""

from __future__ import annotations

import pytest

from tests.standins import simulated_service

OBJECTIVE_S = 0.4
PATIENCE_S = 1.2
# Requests that the slots end in a second, at work without noise and with all
# slots in use.
SLOT_RATE = 1 / (
    simulated_service.WORK_S
    * simulated_service.FULL_FACTOR
    * (1 + simulated_service.NOISE_SHARE * (simulated_service.NOISE_FACTOR - 1))
)


def send_steadily(service, rate, start, end):
    """Adds requests at a constant rate in requests a second."""
    count = int((end - start) * rate)
    return [
        service.arrive(
            start + (end - start) * number / count,
            left_s=PATIENCE_S,
            objective_s=OBJECTIVE_S,
        )
        for number in range(count)
    ]


def goodput_at(load, entries, seed):
    """Returns the requests in time a second at a multiple of the capacity."""
    service = simulated_service.Service(entries, 36, 2, seed)
    sent = send_steadily(service, load * service.slots * SLOT_RATE, 0.0, 6.0)
    service.run(8.0)
    return sum(each.is_in_time for each in sent if each.arrived >= 2.0) / 4


@pytest.mark.parametrize("entries", [6, 45, 124])
def test_the_queue_of_a_burst_is_gone_two_seconds_after_it(entries):
    """Upstreams without a fresh report looked free and got blind requests."""
    service = simulated_service.Service(entries, 36, 2, seed=1)
    capacity = service.slots * SLOT_RATE
    send_steadily(service, 0.6 * capacity, 0.0, 7.0)
    send_steadily(service, 0.9 * capacity, 2.0, 4.0)
    service.run(7.0)
    after = [queued for at, queued in service.queued_by_time if at >= 6.0]
    assert max(after) <= service.slots * 0.05
    blind = sum(each.was_blind for each in service.work)
    assert blind <= 0.01 * len(service.work)


@pytest.mark.parametrize("entries", [6, 45])
def test_goodput_above_the_capacity_is_that_at_the_capacity(entries):
    at_capacity = goodput_at(1.0, entries, seed=2)
    above = goodput_at(1.2, entries, seed=2)
    assert above >= 0.95 * at_capacity


def test_a_request_that_no_upstream_can_end_in_time_is_refused_at_once():
    """It took a slot until its deadline and ended without an answer."""
    service = simulated_service.Service(6, 18, 2, seed=3)
    service.know_durations()
    crowd = [
        service.arrive(0.0, left_s=0.02 * number, objective_s=OBJECTIVE_S)
        for number in range(1, 60)
    ]
    service.run(2.0)
    hopeless = [
        each
        for each in crowd
        if each.deadline < simulated_service.WORK_S / 2 - 0.01
    ]
    assert len(hopeless) >= 3
    for each in hopeless:
        assert each.sent_at is None
        assert each.refused == pytest.approx(0.0, abs=0.01)


def test_a_service_that_has_become_fast_again_is_used_again():
    """A shorter time-out than its slow work needed refused everything."""
    service = simulated_service.Service(6, 18, 2, seed=5)
    for balancer in service.balancers:
        balancer.durations.record(simulated_service.ROUTE, 3.0, 1.0, 0.0)
    sent = [
        service.arrive(at * 0.02, left_s=PATIENCE_S, objective_s=OBJECTIVE_S)
        for at in range(1, 1000)
    ]
    service.run(20.0)
    late = [each for each in sent if each.arrived >= 10.0]
    assert sum(each.is_in_time for each in late) >= 0.8 * len(late)
