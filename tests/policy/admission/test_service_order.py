"""Order of service: who yields while there is too little room."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

from sesamevale.policy.admission import service_order
from tests.builders import hypothesis_settings

URGENT, USUAL = 0, 1


def fill(order, utilization, now, reports=100):
    """Has an order see many load reports; returns the time of the last."""
    for _ in range(reports):
        now += 0.02
        order.pressure.record_load(utilization, now)
    return now


def arrive(order, priority, now, count=20, served=True):
    for _ in range(count):
        order.record_arrival(priority, now)
        if served:
            order.record_served(priority, now)


def short_order():
    order = service_order.ServiceOrder()
    return order, fill(order, 1.2, 0.0)


def test_nothing_yields_while_there_is_room():
    order = service_order.ServiceOrder()
    now = fill(order, 0.7, 0.0)
    arrive(order, URGENT, now)
    arrive(order, USUAL, now)
    late = service_order.Standing(USUAL, can_meet_objective=False)
    assert not order.yields(late, now)


def test_the_less_urgent_yield_to_the_more_urgent():
    order, now = short_order()
    arrive(order, URGENT, now)
    arrive(order, USUAL, now)
    assert order.yields(service_order.Standing(USUAL), now)
    assert not order.yields(service_order.Standing(URGENT), now)


def test_an_urgent_request_that_is_late_yields():
    order, now = short_order()
    arrive(order, URGENT, now)
    arrive(order, USUAL, now)
    late = service_order.Standing(URGENT, can_meet_objective=False)
    assert order.yields(late, now)


def test_nobody_yields_if_all_are_equally_urgent():
    order, now = short_order()
    arrive(order, USUAL, now)
    late = service_order.Standing(USUAL, can_meet_objective=False)
    assert not order.yields(service_order.Standing(USUAL), now)
    assert not order.yields(late, now)


# Guards against requests that wait for a few urgent ones which use no room.
def test_a_few_urgent_requests_do_not_hold_up_a_starving_priority():
    order, now = short_order()
    arrive(order, URGENT, now)
    arrive(order, USUAL, now, served=False)
    assert not order.yields(service_order.Standing(USUAL), now)


def test_the_order_ends_with_the_reports():
    order, now = short_order()
    later = now + 60.0
    arrive(order, URGENT, later)
    arrive(order, USUAL, later)
    assert not order.yields(service_order.Standing(USUAL), later)


def test_what_costs_most_to_turn_away_comes_first():
    standing = service_order.Standing
    ordered = [
        standing(0, deadline=2.0),
        standing(0, can_meet_objective=False),
        standing(1, has_returned=True),
        standing(1, work_s=0.1, deadline=9.0),
        standing(1, work_s=0.2, deadline=1.0),
        standing(1, work_s=0.2, deadline=2.0),
        standing(1, can_meet_objective=False, has_returned=True),
        standing(1, can_meet_objective=False),
    ]
    assert sorted(ordered, key=lambda each: each.order) == ordered


def test_the_reserve_is_for_the_urgent_and_for_those_who_returned():
    order = service_order.ServiceOrder()
    arrive(order, URGENT, 0.0)
    arrive(order, USUAL, 0.0)
    first = service_order.Standing(USUAL)
    returned = service_order.Standing(USUAL, has_returned=True)
    assert not order.may_use_reserve(first, 0.0)
    assert order.may_use_reserve(returned, 0.0)
    assert order.may_use_reserve(service_order.Standing(URGENT), 0.0)


class OrderMachine(stateful.RuleBasedStateMachine):
    """Compares an order with a plain count of what happened recently."""

    def __init__(self):
        super().__init__()
        self.order = service_order.ServiceOrder()
        self.now = 0.0
        self.arrivals: list[tuple[float, int]] = []
        self.served: list[tuple[float, int]] = []

    def recent(self, times, priorities):
        since = self.now - service_order.DEMAND_MEMORY_S
        return sum(at >= since and p in priorities for at, p in times)

    @stateful.rule(seconds=st.floats(0.0, 3.0))
    def advance(self, seconds):
        self.now += seconds

    @stateful.rule(priority=st.integers(0, 3), count=st.integers(1, 30))
    def request(self, priority, count):
        for _ in range(count):
            self.order.record_arrival(priority, self.now)
            self.arrivals.append((self.now, priority))

    @stateful.rule(priority=st.integers(0, 3), count=st.integers(1, 30))
    def serve(self, priority, count):
        for _ in range(count):
            self.order.record_served(priority, self.now)
            self.served.append((self.now, priority))

    @stateful.rule(utilization=st.floats(0.0, 3.0), count=st.integers(1, 40))
    def report(self, utilization, count):
        self.now = fill(self.order, utilization, self.now, count)

    @stateful.invariant()
    def yields_as_the_counts_say(self):
        is_short = self.order.pressure.is_short(self.now)
        total = self.recent(self.arrivals, range(4))
        enough = max(1.0, service_order.DEMAND_SHARE_MIN * total)
        for priority in range(4):
            above = self.recent(self.arrivals, range(priority))
            below = self.recent(self.arrivals, range(priority + 1, 4))
            own = self.recent(self.arrivals, (priority,))
            served = self.recent(self.served, (priority,))
            starves = served < service_order.SERVED_SHARE_MIN * own
            for in_time in (True, False):
                if above >= enough:
                    expected = not starves
                else:
                    expected = below >= enough and not in_time
                standing = service_order.Standing(priority, in_time)
                found = self.order.yields(standing, self.now)
                assert found == (is_short and expected)


OrderMachine.TestCase.settings = hypothesis_settings.machine_settings(40, 30)
TestOrderMachine = OrderMachine.TestCase
