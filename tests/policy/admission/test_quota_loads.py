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
