"""Tests of routes, splits, configuration versions and registered entries."""

from __future__ import annotations

import collections

import hypothesis
from hypothesis import strategies

from sesamevale import routes
from sesamevale.policy.configuration import active_configuration
from sesamevale.policy.configuration import route_matching
from sesamevale.policy.configuration import splits
from sesamevale.policy.membership import own_registration
from sesamevale.policy.membership import registered_peers
from tests.builders import gateway


def find(target, host="a.example"):
    configuration = gateway.configuration(
        all_routes=[
            gateway.route(name="short", prefix="/a/"),
            gateway.route(name="long", prefix="/a/b/"),
        ]
    )
    found = route_matching.find_route(configuration, host, target)
    return None if found is None else found.name


def test_the_longest_prefix_wins():
    assert find("/a/b/c?q=/a/") == "long"
    assert find("/a/x") == "short"
    assert find("/a") is None
    assert find("/a/b") == "short"


def test_hosts_match_without_port_and_case():
    assert find("/a/x", "A.Example:8080") == "short"
    assert find("/a/x", "b.example") is None


@hypothesis.given(
    weights=strategies.lists(strategies.integers(1, 20), min_size=2, max_size=4)
)
def test_shares_are_exact_over_a_full_cycle(weights):
    parts = tuple(
        routes.SplitPart(f"s-{number}", weight)
        for number, weight in enumerate(weights)
    )
    route = gateway.route(parts=parts)
    splitter = splits.WeightedSplitter()
    counts = collections.Counter(
        splitter.choose(route) for _ in range(sum(weights))
    )
    assert [counts[part.service] for part in parts] == weights


def test_a_removed_part_keeps_no_credit():
    splitter = splits.WeightedSplitter()
    both = (routes.SplitPart("a", 1), routes.SplitPart("b", 9))
    splitter.choose(gateway.route(parts=both))
    only = (routes.SplitPart("a", 1), routes.SplitPart("c", 1))
    chosen = [splitter.choose(gateway.route(parts=only)) for _ in range(4)]
    assert "b" not in chosen


@hypothesis.given(
    versions=strategies.lists(strategies.integers(1, 9), max_size=20)
)
def test_the_version_in_force_never_goes_down(versions):
    active = active_configuration.ActiveConfiguration()
    highest = 0
    for now, version in enumerate(versions):
        replaced = active.offer(gateway.configuration(version), float(now))
        assert replaced == (version > highest)
        highest = max(highest, version)
        assert active.version == highest


def peer(name, data_center="here", era=0):
    record = own_registration.Record(era=era)
    return registered_peers.Peer(name, data_center, "127.0.0.1", 80, 90, record)


def test_registered_entries_are_grouped_by_data_center():
    known = registered_peers.RegisteredPeers("e-1", "here")
    known.record_read([peer("e-1"), peer("e-2"), peer("e-3", "there")], 0.0)
    assert [each.entry_id for each in known.same_data_center] == ["e-2"]
    assert [each.entry_id for each in known.other_data_centers] == ["e-3"]
    known.record_read([peer("e-1")], 1.0)
    assert known.same_data_center == known.other_data_centers == ()


# Guards against taking a gap between two reads for an outage of the store.
def test_an_entry_that_was_cut_off_forgets_entries_that_are_gone():
    known = registered_peers.RegisteredPeers("e-1", "here")
    known.record_read([peer("e-3", "there")], 0.0)
    known.record_read([], 9.0)
    assert known.other_data_centers == ()


# Guards against entries that have ended and are in the copy from which the
# store comes back.
def test_registrations_of_an_earlier_era_do_not_count():
    known = registered_peers.RegisteredPeers("e-1", "here")
    known.record_read([peer("e-3", "there", era=4)], 0.0, era=4)
    ended = peer("e-4", "there", era=4)
    known.record_read([peer("e-3", "there", era=4), ended], 1.0, 3.2, era=5)
    assert [each.entry_id for each in known.other_data_centers] == ["e-3"]
    known.record_read([peer("e-3", "there", era=5), ended], 4.0, 3.2, era=5)
    assert [each.entry_id for each in known.other_data_centers] == ["e-3"]
    known.record_read([peer("e-3", "there", era=4), ended], 5.0, 3.2, era=5)
    assert known.other_data_centers == ()


def test_registrations_that_lapsed_in_an_outage_are_kept_temporarily():
    known = registered_peers.RegisteredPeers("e-1", "here")
    known.record_read([peer("e-3", "there")], 0.0)
    known.record_read([], 9.0, grace_until=11.2)
    assert [each.entry_id for each in known.other_data_centers] == ["e-3"]
    known.record_read([], 10.0, grace_until=11.2)
    known.drop_missing()
    assert known.other_data_centers == ()
    known.record_read([peer("e-3", "there")], 12.0)
    known.record_read([], 13.0, grace_until=11.2)
    assert known.other_data_centers == ()
