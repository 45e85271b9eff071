"""Loads with requests that crash upstreams, in simulated time.

Each such request was sent to all the upstreams that its route allows, in each
attempt of its caller, until none was left for the others.
"""

from __future__ import annotations

import pytest

from sesamevale.policy.admission import suspects
from tests.standins import crashing_fleet

ENTRIES = 5
UPSTREAMS = 15
CALLS_PER_S = 60.0
SECONDS = 20.0
DEADLY = 1
# Ends of upstreams from which on a request is sent nowhere else.
DEATHS_MAX = 3


def sent_after_many_ends(fleet):
    """Returns how often deadly requests were sent later than they may be.

    News of their ends take some time, and refusals end after some.
    """
    count = 0
    for request, deaths in fleet.deaths.items():
        if len(deaths) >= DEATHS_MAX:
            known_at = deaths[DEATHS_MAX - 1] + crashing_fleet.SPREAD_S
            until = known_at + suspects.REFUSAL_S
            count += sum(known_at < at < until for at in fleet.sent[request])
    return count


def played(share, *, one_content, seed=1, targets=400):
    """Plays calls of which a share is deadly, of one content or each its own.

    The others ask for some hundred different things.
    """
    fleet = crashing_fleet.Fleet(ENTRIES, UPSTREAMS, seed)
    rng = fleet.rng
    at, number = 100.0, 10_000
    while at < 100.0 + SECONDS:
        at += rng.expovariate(CALLS_PER_S)
        number += 1
        is_deadly = rng.random() < share
        request = 1000 + rng.randrange(targets)
        if is_deadly:
            request = DEADLY if one_content else number
        fleet.call_at(at, crashing_fleet.Call(request, is_deadly))
    fleet.run()
    return fleet


def innocent(fleet):
    return [each for each in fleet.calls if not each.is_deadly]


# Load: callers ask for one thing that crashes upstreams, at shares of a kind.
@pytest.mark.parametrize("share", [0.003, 0.03, 0.1])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_deadly_thing_ends_few_upstreams(share, seed):
    fleet = played(share, one_content=True, seed=seed)
    assert not sent_after_many_ends(fleet)
    others = innocent(fleet)
    assert sum(each.is_served for each in others) >= 0.99 * len(others)


# Load: each caller asks for another thing that crashes upstreams, and repeats.
# At one in ten, upstreams end all the time, and hardly any is left.
@pytest.mark.parametrize("share", [0.003, 0.03, 0.1])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_each_deadly_thing_ends_few_upstreams(share, seed):
    fleet = played(share, one_content=False, seed=seed)
    assert not sent_after_many_ends(fleet)
    if share < 0.1:
        others = innocent(fleet)
        assert sum(each.is_served for each in others) >= 0.9 * len(others)


# Guards against innocent requests that are refused for long.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_few_innocent_requests_are_refused(seed):
    fleet = played(0.03, one_content=True, seed=seed)
    others = innocent(fleet)
    refused = sum(each.refusals > 0 for each in others)
    assert refused <= 0.01 * len(others)


# Load: nearly all callers ask for the same few things, beside a deadly one.
def test_things_that_many_ask_for_are_served_beside_a_deadly_one():
    fleet = played(0.03, one_content=True, targets=3)
    others = innocent(fleet)
    assert sum(each.is_served for each in others) >= 0.99 * len(others)
