"""Tests of usable upstreams, also against a model of the discovery."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.signals import discovered_upstreams
from tests.builders import gateway


def usable_names(upstreams, service="sheet"):
    return sorted(each.upstream_id for each in upstreams.usable(service))


def test_a_draining_upstream_is_out_at_once():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream()], 0.0)
    upstreams.record_read([gateway.upstream(draining=True, sequence=2)], 1.0)
    assert usable_names(upstreams) == []


def test_a_late_heartbeat_does_not_bring_a_leaving_upstream_back():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream(draining=True, sequence=5)], 0.0)
    upstreams.record_read([gateway.upstream(sequence=4)], 1.0)
    upstreams.record_read([gateway.upstream(sequence=6)], 2.0)
    assert usable_names(upstreams) == []


def test_another_start_under_the_same_identifier_is_used():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream(draining=True, sequence=9)], 0.0)
    upstreams.record_read([gateway.upstream(started_ms=2000, sequence=1)], 1.0)
    assert usable_names(upstreams) == ["u-1"]


def test_a_missing_upstream_is_out_at_once():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream()], 0.0)
    upstreams.record_read([], 1.0)
    assert usable_names(upstreams) == []


def test_a_late_heartbeat_does_not_bring_a_gone_upstream_back():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream(sequence=5)], 0.0)
    upstreams.record_read([], 1.0)
    upstreams.record_read([gateway.upstream(sequence=5)], 2.0)
    assert usable_names(upstreams) == []


def test_an_upstream_that_lapsed_is_used_again_when_it_is_back():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream(sequence=5)], 0.0)
    upstreams.record_read([], 1.0)
    upstreams.record_read([gateway.upstream(sequence=6)], 2.0)
    assert usable_names(upstreams) == ["u-1"]


# Guards against taking a gap between two reads for an outage of the store:
# upstreams that had left were used after a cut of this entry alone.
def test_an_entry_that_was_cut_off_drops_what_is_missing_from_its_first_read():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream()], 0.0)
    upstreams.record_read([], 10.0)
    assert usable_names(upstreams) == []


def test_lapsed_upstreams_are_kept_right_after_an_outage():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream()], 0.0)
    upstreams.record_read([], 10.0, grace_until=12.2)
    assert usable_names(upstreams) == ["u-1"]
    upstreams.record_read([], 11.0, grace_until=12.2)
    assert usable_names(upstreams) == ["u-1"]
    upstreams.record_read([], 12.3, grace_until=12.2)
    assert usable_names(upstreams) == []


# Guards against a grace that lasted until the read after its end.
def test_missing_upstreams_are_dropped_when_the_grace_ends():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    everything = [gateway.upstream("u-1"), gateway.upstream("u-2")]
    upstreams.record_read(everything, 0.0)
    upstreams.record_read([everything[0]], 10.0, grace_until=12.2)
    assert [each.kind for each in upstreams.drop_missing(12.2)] == ["gone"]
    assert usable_names(upstreams) == ["u-1"]


# Guards against an upstream that had left and is in the copy from which the
# store comes back. Entries that do not read the store know its sequence only
# from its last change.
def test_an_upstream_that_left_does_not_come_back_with_the_store():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream(sequence=5)], 0.0, era=1)
    upstreams.record_read([], 1.0, era=1)
    upstreams.record_read([gateway.upstream(sequence=9)], 2.0, 4.2, era=2)
    assert usable_names(upstreams) == []
    upstreams.record_read([gateway.upstream(sequence=9)], 5.0, 4.2, era=2)
    assert usable_names(upstreams) == []


def test_an_upstream_that_lapsed_before_a_restore_is_used_again_later():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream(sequence=5)], 0.0, era=1)
    upstreams.record_read([], 1.0, era=1)
    upstreams.record_read([gateway.upstream(sequence=9)], 2.0, era=2)
    upstreams.record_read([gateway.upstream(sequence=30)], 20.0, era=2)
    assert usable_names(upstreams) == ["u-1"]


def test_another_start_is_used_after_a_restore():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream(sequence=5)], 0.0, era=1)
    upstreams.record_read([], 1.0, era=1)
    upstreams.record_read([gateway.upstream(started_ms=2000)], 2.0, era=2)
    assert usable_names(upstreams) == ["u-1"]


def test_a_drain_that_was_seen_holds_through_an_outage():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream(draining=True)], 0.0)
    upstreams.record_read([], 10.0, grace_until=12.2)
    assert usable_names(upstreams) == []


def test_a_misplaced_upstream_is_out_until_it_starts_again():
    upstreams = discovered_upstreams.DiscoveredUpstreams()
    upstreams.record_read([gateway.upstream()], 0.0)
    assert [each.kind for each in upstreams.fence("u-1")] == ["misplaced"]
    upstreams.record_read([gateway.upstream(sequence=2)], 1.0)
    assert usable_names(upstreams) == []
    upstreams.record_read([gateway.upstream(started_ms=3000)], 2.0)
    assert usable_names(upstreams) == ["u-1"]


class DiscoveredUpstreamsMachine(stateful.RuleBasedStateMachine):
    """Starts, drains and removes upstreams; the store may have been away."""

    def __init__(self):
        super().__init__()
        self.upstreams = discovered_upstreams.DiscoveredUpstreams()
        self.now = 0.0
        self.registered: dict[str, dict] = {}
        self.fenced: set[tuple[str, int]] = set()
        self.starts = 1000
        self.grace_until = float("-inf")
        self.live: set[tuple[str, int]] = set()

    @stateful.rule(name=strategies.sampled_from("abc"))
    def start(self, name):
        self.starts += 1
        self.registered[name] = {
            "started_ms": self.starts,
            "sequence": 1,
            "draining": False,
        }

    @stateful.rule(name=strategies.sampled_from("abc"))
    def beat(self, name):
        if name in self.registered:
            self.registered[name]["sequence"] += 1

    @stateful.rule(name=strategies.sampled_from("abc"))
    def drain(self, name):
        if name in self.registered:
            self.registered[name]["draining"] = True
            self.registered[name]["sequence"] += 1

    @stateful.rule(name=strategies.sampled_from("abc"))
    def leave(self, name):
        self.registered.pop(name, None)

    @stateful.rule(
        gap=strategies.sampled_from([0.3, 0.9, 1.5, 4.0, 70.0]),
        grace=strategies.booleans(),
    )
    def read(self, gap, grace):
        self.now += gap
        if grace:
            self.grace_until = self.now + 2.2
        records = [
            gateway.upstream(name, **values)
            for name, values in self.registered.items()
        ]
        self.upstreams.record_read(records, self.now, self.grace_until)
        self.fenced |= {
            (name, values["started_ms"])
            for name, values in self.registered.items()
            if values["draining"]
        }
        usable = {
            (each.upstream_id, each.started_ms)
            for each in self.upstreams.usable("sheet")
        }
        live = {
            (name, values["started_ms"])
            for name, values in self.registered.items()
            if not values["draining"]
        }
        assert not usable & self.fenced
        assert live <= usable
        if self.now >= self.grace_until:
            assert usable == live
        self.live = live

    @stateful.rule()
    def end_grace(self):
        self.grace_until = float("-inf")
        self.upstreams.drop_missing(self.now)
        usable = {
            (each.upstream_id, each.started_ms)
            for each in self.upstreams.usable("sheet")
        }
        assert usable == self.live


DiscoveredUpstreamsMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestDiscoveredUpstreams = DiscoveredUpstreamsMachine.TestCase
