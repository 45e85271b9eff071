"""Quotas under load and in trouble, over many entries and without a network.

In each load, no window exceeds the bound over all entries together.
"""

from __future__ import annotations

import pytest

from tests.builders import quotas
from tests.standins import quota_fleet
from tests.standins import quota_load

ENTRIES = 58
TENANTS = 88
LOAD_PER_S = 464.0


def play(trouble, seconds=20.0, entries=ENTRIES, load_per_s=LOAD_PER_S):
    loads = quotas.usual_loads(TENANTS, load_per_s)
    fleet = quota_fleet.QuotaFleet(entries, quotas.tenants(loads), loss=0.002)
    fleet.advance(5.0)
    trouble(fleet, quota_load.Load(fleet, loads))
    fleet.advance(seconds)
    assert max(fleet.log.excess().values()) <= 0.0
    return fleet


def test_many_small_tenants_over_many_entries_are_let_through():
    """Equal shares would refuse tenants with less than a request an entry."""
    fleet = play(quota_load.calm)
    assert fleet.log.served_part(5.0, fleet.now - 0.5) >= 0.98


def test_hot_tenants_are_refused_beyond_their_quotas_and_no_one_else():
    """One tenant sends many times its usual."""
    fleet = play(quota_load.hot)
    assert fleet.log.served_part(5.0, fleet.now - 0.5) >= 0.98
    assert fleet.verdicts["OverQuota"] > fleet.verdicts["Granted"]
    for name, times in fleet.log.sent.items():
        if name not in ("t-0", "t-8", "t-40"):
            assert len(times) >= 0.9 * len(fleet.log.arrived[name])


def test_refused_callers_return_one_after_the_other():
    """Callers of a hot tenant would all come back at the same time."""
    fleet = play(quota_load.hot, seconds=5.0)
    waits = sorted(fleet.retry_after)
    assert waits[0] > 0.0
    assert waits[-1] <= 1.2 * quotas.BOUNDS.window_s
    assert len({round(each, 2) for each in waits}) > 100


def test_tenants_that_move_to_one_data_center_are_let_through():
    """Shares by past demand would lie in the wrong data centre."""
    fleet = play(quota_load.moving)
    assert fleet.log.served_part(5.0, fleet.now - 0.5) >= 0.95


@pytest.mark.parametrize(
    ("trouble", "least"),
    [
        (quota_load.cut, 0.8),
        (quota_load.killed, 0.95),
        (quota_load.all_killed, 0.95),
        (quota_load.away, 0.95),
    ],
    ids=lambda each: getattr(each, "__name__", ""),
)
def test_entries_that_are_cut_off_or_killed_cost_little_room(trouble, least):
    """Half of the entries cut off; a third or all killed; a quarter away."""
    fleet = play(trouble, seconds=25.0)
    assert fleet.log.served_part(5.0, fleet.now - 0.5) >= least


@pytest.mark.parametrize(
    "trouble",
    [quota_load.cut, quota_load.all_killed, quota_load.away],
    ids=lambda each: each.__name__,
)
def test_hot_tenants_stay_within_the_bound_in_trouble(trouble):
    """Entries that lose touch, or their memory, while a tenant is hot."""
    play(quota_load.hot_and(trouble), seconds=25.0)


def press(fleet, names, tenant, seconds):
    """Has many callers of a tenant call the same entries all the time."""
    until = fleet.now + seconds
    while fleet.now < until:
        for name in names:
            for _ in range(3):
                fleet.call(name, tenant)
        fleet.advance(0.25)
    return max(fleet.log.excess().values())


def small_fleet():
    tenant = quotas.limited_tenant("t-0", 1.0, 1.0)
    return quota_fleet.QuotaFleet(40, {"t-0": tenant})


def test_entries_that_start_together_do_not_each_take_the_whole_quota():
    """Each read the registrations before the others were among them."""
    fleet = small_fleet()
    fleet.advance(0.2)
    assert press(fleet, list(fleet.entries), "t-0", 8.0) <= 0.0


def test_holders_that_are_cut_off_from_the_store_are_not_replaced_soon():
    """The others would give out the room that these still use."""
    fleet = small_fleet()
    fleet.advance(6.0)
    fleet.call("e-0", "t-0")
    holders = fleet.entries["e-0"].allocator.uses["t-0"].holders
    for name in holders:
        fleet.entries[name].reaches_store = False
    fleet.advance(10.0)
    assert press(fleet, list(fleet.entries), "t-0", 15.0) <= 0.0


def test_requests_that_wait_for_an_upstream_are_not_let_through_in_a_burst():
    """They would be sent together with those that were admitted later."""
    tenant = quotas.limited_tenant("t-0", 40.0, 40.0)
    fleet = quota_fleet.QuotaFleet(4, {"t-0": tenant})
    fleet.advance(6.0)
    until = fleet.now + 12.0
    while fleet.now < until:
        waits_s = 4.0 if fleet.now < until - 6.0 else 0.004
        for name in list(fleet.entries):
            for _ in range(10):
                fleet.call(name, "t-0", waits_s)
        fleet.advance(0.25)
    assert max(fleet.log.excess().values()) <= 0.0
