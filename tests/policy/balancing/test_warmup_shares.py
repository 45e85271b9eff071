"""Tests of the shares of entries in what cold upstreams accept."""

from __future__ import annotations

import math

import pytest
from hypothesis import stateful
from hypothesis import strategies

from sesamevale import resources
from sesamevale.policy.balancing import upstream_search
from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.balancing import warmup_shares
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.signals import upstream_signals
from tests.builders import gateway
from tests.builders import hypothesis_settings
from tests.standins import cold_fleet

RECORD = gateway.upstream()
INSTANCE = upstream_signals.instance_of(RECORD)
OWN = registered_peers.Peer("e-1", "here", "127.0.0.1", 1, 1)
COLD_S = 3.0


def alone(rate=2.0, bounds=cold_fleet.BOUNDS):
    """Returns the shares of the only entry, long after its start."""
    shares = warmup_shares.WarmupShares("e-1", "here", bounds)
    shares.set_rate(rate, 0.0)
    shares.set_members([OWN], 0.0, 0.0)
    shares.set_members([OWN], 10.0, 10.0)
    return shares


def sample(shares, left_s, now):
    signals = (upstream_signals.Warming(left_s),) if left_s else ()
    return shares.record_answer(INSTANCE, signals, now, is_sample=True)


def send(name="u-1"):
    candidate = upstream_state.Candidate(gateway.upstream(name), 0.0)
    return upstream_search.Send(
        upstream_state.RankedCandidate(candidate, 1.0, True)
    )


def new_search():
    return upstream_search.Search("read", 10.0, 0.6, frozenset(), 10.0)


# 40 upstreams turn cold at once while 58 entries use them.
@pytest.mark.parametrize("entries", [5, 58, 112])
def test_forty_upstreams_that_turn_cold_at_once_get_what_they_tolerate(entries):
    fleet = cold_fleet.Fleet(entries, 40)
    fleet.advance(4.0)
    for each in fleet.upstreams:
        fleet.turn_cold(each, 4.0)
    fleet.advance(5.0)
    assert not fleet.violations()
    sent = sum(len(each.cold_arrivals) for each in fleet.upstreams)
    assert sent >= 0.8 * 4.0 * 40 * cold_fleet.RATE


# All upstreams of a service are replaced at once and start cold.
def test_the_upstreams_of_a_restarted_service_get_their_full_rate_together():
    fleet = cold_fleet.Fleet(58, 20)
    fleet.advance(4.0)
    for each in fleet.upstreams:
        fleet.start_cold(each, 8.0)
    fleet.advance(2.0)
    before = [len(each.cold_arrivals) for each in fleet.upstreams]
    fleet.advance(5.0)
    assert not fleet.violations()
    for count, each in zip(before, fleet.upstreams, strict=True):
        assert len(each.cold_arrivals) - count >= 0.8 * 5 * cold_fleet.RATE


# Entries are cut off from the store while upstreams turn cold.
def test_entries_that_are_cut_off_do_not_push_a_cold_upstream_over():
    fleet = cold_fleet.Fleet(58, 12)
    fleet.advance(4.0)
    for name in list(fleet.entries)[:30]:
        fleet.turn_away(name)
    fleet.advance(5.0)
    for each in fleet.upstreams:
        fleet.turn_cold(each, 4.0)
    fleet.advance(5.0)
    assert not fleet.violations()


# Killed entries come back without memory while upstreams are cold.
def test_entries_without_memory_do_not_push_a_cold_upstream_over():
    fleet = cold_fleet.Fleet(40, 12)
    fleet.advance(4.0)
    for each in fleet.upstreams:
        fleet.turn_cold(each, 9.0)
    for _ in range(3):
        for name in list(fleet.entries)[:20]:
            fleet.end_entry(name)
            fleet.start_entry()
        fleet.advance(2.5)
    assert not fleet.violations()


def test_a_warm_upstream_has_room_for_any_number():
    shares = alone()
    sample(shares, 0.0, 20.0)
    for _ in range(100):
        assert shares.has_room(RECORD, 20.0)
        shares.record_request(RECORD, 20.0)
    assert not shares.any_cold


def test_without_a_rate_nothing_is_cold_and_nothing_is_looked_at():
    shares = alone(rate=None)
    record = gateway.upstream(warmup_s=3.0)
    assert shares.record_discovered([record], 20.0) == []
    assert sample(shares, 3.0, 20.0) == []
    assert not shares.must_look(record, 20.0)
    assert shares.has_room(record, 20.0)


def test_a_record_tells_of_coldness_but_never_of_its_end():
    shares = alone()
    sample(shares, COLD_S, 20.0)
    shares.record_discovered([gateway.upstream(sequence=2)], 20.1)
    assert shares.is_cold(INSTANCE, 20.2)
    cold = gateway.upstream(sequence=3, warmup_s=5.0)
    shares.record_discovered([cold], 21.0)
    assert shares.cold_until(INSTANCE) == 26.0


def test_an_unchanged_record_does_not_prolong_coldness():
    shares = alone()
    cold = gateway.upstream(sequence=3, warmup_s=2.0)
    assert shares.record_discovered([cold], 20.0) == [INSTANCE]
    assert shares.record_discovered([cold], 21.0) == []
    assert shares.cold_until(INSTANCE) == 22.0
    assert not shares.is_cold(INSTANCE, 22.0)


def test_a_sample_ends_coldness_and_an_answer_to_a_request_does_not():
    shares = alone()
    sample(shares, COLD_S, 20.0)
    assert not shares.record_answer(INSTANCE, (), 20.5, is_sample=False)
    assert shares.is_cold(INSTANCE, 20.6)
    (change,) = sample(shares, 0.0, 20.7)
    assert (change.signal, change.change) == ("warmup", "ended")
    assert not shares.any_cold


def test_a_new_start_at_the_same_place_is_not_what_was_looked_at():
    shares = alone()
    sample(shares, 0.0, 20.0)
    assert not shares.must_look(RECORD, 20.05)
    assert shares.must_look(gateway.upstream(started_ms=2000), 20.05)


def test_an_absurd_time_is_relied_on_for_a_while_only():
    shares = alone()
    sample(shares, 1e9, 20.0)
    end = 20.0 + warmup_shares.REPORT_MAX_AGE_S
    assert shares.is_cold(INSTANCE, end - 0.1)
    assert shares.must_look(RECORD, end)


def test_the_end_of_coldness_is_known_without_a_share():
    shares = alone(rate=2.0)
    shares.set_members(
        [registered_peers.Peer("e-2", "here", "127.0.0.1", 1, 1)], 20.0, 20.0
    )
    sample(shares, COLD_S, 20.0)
    assert shares.room_at(RECORD, 20.0) == 20.0 + COLD_S


def test_bounds_below_one_request_a_second_leave_no_room():
    shares = alone(rate=0.5, bounds=resources.WarmupBounds(1.0, 0.0))
    sample(shares, COLD_S, 20.0)
    assert not shares.has_room(RECORD, 22.9)
    assert shares.rate_of(RECORD, 22.9) == 0.0


def test_another_rate_holds_for_what_is_cold_already():
    shares = alone(rate=1.0)
    sample(shares, COLD_S, 20.0)
    assert shares.rate_of(RECORD, 20.1) == pytest.approx(0.4)
    shares.set_rate(3.0, 20.2)
    assert shares.rate_of(RECORD, 20.2) == pytest.approx(1.2)
    shares.set_rate(None, 20.3)
    assert shares.rate_of(RECORD, 20.3) == math.inf


# A search that can't look must neither send what it likes nor spin.
def test_an_upstream_that_answers_no_look_gets_no_more_than_a_cold_one():
    shares = alone()
    kinds = []
    for number in range(4):
        search, now = new_search(), 12.0 + 0.05 * number
        step = shares.look_first(send(), search, now)
        if isinstance(step, upstream_search.Sample):
            step = shares.look_first(send(), search, now + 0.025)
        kinds.append(type(step))
        if isinstance(step, upstream_search.Send):
            shares.record_request(RECORD, now + 0.025)
    assert kinds[0] is upstream_search.Send
    assert not shares.has_room(RECORD, 12.2)
    (status,) = shares.list_in_force(12.2)
    assert status.signal == "doubtful"
    assert shares.must_look(RECORD, 12.1 + warmup_shares.DOUBT_S)


def test_without_room_a_look_without_an_answer_is_followed_by_a_wait():
    shares, search = alone(), new_search()
    shares.set_members([], 11.0, 11.0)
    shares.look_first(send(), search, 12.0)
    step = shares.look_first(send(), search, 12.03)
    assert step == upstream_search.Wait(warmup_shares.LOOK_DELAY_S)


def test_a_late_answer_ends_the_doubt():
    shares = alone()
    shares.record_unanswered(INSTANCE, 20.0)
    assert shares.is_cold(INSTANCE, 20.1)
    assert sample(shares, 0.0, 20.2) == []
    assert not shares.any_cold
    shares.record_unanswered(INSTANCE, 21.0)
    (change,) = sample(shares, COLD_S, 21.1)
    assert (change.signal, change.change) == ("warmup", "began")
    (status,) = shares.list_in_force(21.2)
    assert status.signal == "warmup"


def test_a_request_goes_on_after_a_look():
    shares, search = alone(), new_search()
    step = send()
    shares.look_first(step, search, 10.0)
    sample(shares, 0.0, 10.01)
    assert shares.look_first(step, search, 10.02) is step


def test_other_steps_are_not_changed():
    step = upstream_search.Wait(0.1)
    assert alone().look_first(step, new_search(), 10.0) is step


class WarmupMachine(stateful.RuleBasedStateMachine):
    """Entries that come, go, freeze and are cut off, and upstreams that cool.

    The oracle counts what reaches each cold upstream from all entries.
    """

    def __init__(self):
        super().__init__()
        self.fleet = cold_fleet.Fleet(6, 3)
        self.fleet.advance(3.0)

    def _draw(self, data):
        names = sorted(self.fleet.entries)
        return data.draw(strategies.sampled_from(names))

    @stateful.rule(seconds=strategies.floats(0.1, 3.0))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(
        number=strategies.integers(0, 2), seconds=strategies.floats(0.5, 6.0)
    )
    def turn_cold(self, number, seconds):
        self.fleet.turn_cold(self.fleet.upstreams[number], seconds)

    @stateful.rule(seconds=strategies.floats(0.5, 6.0))
    def start_all_cold(self, seconds):
        for each in self.fleet.upstreams:
            self.fleet.start_cold(each, seconds)

    @stateful.rule(number=strategies.integers(0, 2))
    def warm_up_early(self, number):
        self.fleet.upstreams[number].cold_until = self.fleet.now

    @stateful.rule()
    def start(self):
        if len(self.fleet.entries) < 10:
            self.fleet.start_entry()

    @stateful.rule(data=strategies.data(), planned=strategies.booleans())
    def end(self, data, planned):
        if len(self.fleet.entries) > 1:
            self.fleet.end_entry(self._draw(data), planned=planned)

    @stateful.rule(data=strategies.data())
    def freeze(self, data):
        entry = self.fleet.entries[self._draw(data)]
        entry.is_frozen = not entry.is_frozen
        if entry.is_frozen:
            entry.leaves_registry_at = self.fleet.now + cold_fleet.LEASE_S
            return
        # What it had decided before is sent now.
        self.fleet.arrive(entry, self.fleet.upstreams[0])
        if not entry.is_turned_away:
            entry.leaves_registry_at = math.inf

    @stateful.rule(data=strategies.data())
    def cut_one_way(self, data):
        entry = self.fleet.entries[self._draw(data)]
        entry.hears_nothing = not entry.hears_nothing

    @stateful.rule(data=strategies.data())
    def turn_away(self, data):
        away = [e.is_turned_away for e in self.fleet.entries.values()]
        if sum(away) < 2:
            self.fleet.turn_away(self._draw(data))

    @stateful.rule()
    def serve_all(self):
        for name, entry in self.fleet.entries.items():
            if entry.is_turned_away:
                self.fleet.serve_again(name)

    @stateful.rule()
    def settle(self):
        """In calm, with demand, cold upstreams get their rate."""
        self.serve_all()
        for each in self.fleet.entries.values():
            each.is_frozen = each.hears_nothing = False
            each.leaves_registry_at = math.inf
        self.fleet.advance(cold_fleet.LEASE_S + 4.0)
        for each in self.fleet.upstreams:
            self.fleet.turn_cold(each, 6.0)
        self.fleet.advance(2.0)
        before = [len(each.cold_arrivals) for each in self.fleet.upstreams]
        self.fleet.advance(3.0)
        for count, each in zip(before, self.fleet.upstreams, strict=True):
            got = len(each.cold_arrivals) - count
            assert got >= 0.8 * 3.0 * cold_fleet.RATE - 1.0

    @stateful.invariant()
    def cold_upstreams_get_what_they_tolerate(self):
        assert not self.fleet.violations()


def test_cold_upstreams_hold_whatever_happens_to_entries():
    stateful.run_state_machine_as_test(
        WarmupMachine, settings=hypothesis_settings.machine_settings(40, 25)
    )
