"""Tests of the shares of entries in the limits that upstreams name."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.admission import rate_shares
from sesamevale.policy.signals import upstream_signals
from tests.builders import gateway
from tests.builders import hypothesis_settings
from tests.standins import limited_fleet
from tests.standins import signal_log

RECORD = gateway.upstream()
INSTANCE = upstream_signals.instance_of(RECORD)
# Highest limit of the state machine.
LIMIT_MAX = 3.0


def used_share(fleet, seconds):
    """Returns the requests of some time as a share of what is allowed."""
    since = fleet.now
    fleet.advance(seconds)
    counts = [each.count_since(since) for each in fleet.logs]
    return [
        count / (log.limit * seconds)
        for count, log in zip(counts, fleet.logs, strict=True)
    ]


@pytest.mark.parametrize("entries", [1, 5, 45, 124])
@pytest.mark.parametrize("limit", [0.5, 1.4, 3.7, 20.0])
def test_a_limit_is_used_but_not_exceeded(entries, limit):
    fleet = limited_fleet.Fleet(entries, 3)
    for each in fleet.logs:
        each.name_limit(limit)
    fleet.advance(8.0)
    # Each entry that has a share may save up one request.
    saved = min(entries, int(limit) + 1) / (limit * 12.0)
    for share in used_share(fleet, 12.0):
        assert 0.9 <= share <= 1.0 + saved + 1 / (limit * 12.0)
    for each in fleet.logs:
        assert not list(each.limit_violations())


def test_a_request_beyond_the_share_has_no_room():
    fleet = limited_fleet.Fleet(1, 1)
    fleet.logs[0].name_limit(2.0)
    fleet.advance(4.0)
    shares = fleet.entries["e-0"].shares
    record = fleet.records[0]
    assert not shares.has_room(record, fleet.now)
    assert fleet.now < shares.room_at(record, fleet.now) <= fleet.now + 0.5


def test_an_entry_without_a_share_never_has_room():
    fleet = limited_fleet.Fleet(5, 1)
    fleet.logs[0].name_limit(0.5)
    fleet.advance(5.0)
    room = [
        each.shares.room_at(fleet.records[0], fleet.now)
        for each in fleet.entries.values()
    ]
    assert sum(each < float("inf") for each in room) == 1


def test_an_upstream_without_a_limit_has_room_at_once_for_any_number():
    shares = rate_shares.RateShares(
        "e-1", "here", upstream_signals.UpstreamSignals()
    )
    for _ in range(100):
        assert shares.has_room(RECORD, 1.0)
        shares.record_request(RECORD, 1.0)


def test_the_end_of_a_limit_gives_room_at_once():
    fleet = limited_fleet.Fleet(1, 1)
    fleet.logs[0].name_limit(0.5)
    fleet.advance(1.0)
    shares = fleet.entries["e-0"].shares
    assert not shares.has_room(fleet.records[0], fleet.now)
    fleet.logs[0].end_limit()
    fleet.sample(fleet.entries["e-0"])
    assert shares.has_room(fleet.records[0], fleet.now)


def test_entries_without_room_look_again_now_and_then():
    fleet = limited_fleet.Fleet(5, 1)
    fleet.logs[0].name_limit(0.5)
    fleet.advance(1.0)
    checks = 0
    for _ in range(int(10 / limited_fleet.STEP_S)):
        fleet.advance(limited_fleet.STEP_S)
        checks += sum(
            each.shares.take_recheck(fleet.records[0], fleet.now)
            for each in fleet.entries.values()
        )
    assert 5 * 5 <= checks <= 5 * 10


@pytest.mark.parametrize("entries", [5, 45])
def test_the_share_of_an_entry_that_has_ended_is_used_by_others(entries):
    fleet = limited_fleet.Fleet(entries, 1)
    fleet.logs[0].name_limit(2.0)
    fleet.advance(5.0)
    holders = {name for _, name in fleet.logs[0].arrivals[-4:]}
    for name in holders:
        fleet.end_entry(name, planned=False)
    fleet.advance(limited_fleet.LEASE_S + 5.0)
    assert used_share(fleet, 8.0)[0] >= 0.9


def test_holders_that_the_store_turns_away_keep_the_limit():
    fleet = limited_fleet.Fleet(24, 1)
    log = fleet.logs[0]
    log.name_limit(4.0)
    fleet.advance(8.0)
    for name in {name for at, name in log.arrivals if at > fleet.now - 4.0}:
        fleet.turn_away(name)
    fleet.advance(20.0)
    assert not list(log.limit_violations())


class SharesMachine(stateful.RuleBasedStateMachine):
    """Entries that come and go keep the limits that upstreams name."""

    def __init__(self):
        super().__init__()
        self.fleet = limited_fleet.Fleet(3, 2)

    def _names(self):
        return sorted(self.fleet.entries)

    @stateful.rule(seconds=strategies.floats(0.1, 4.0))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(
        number=strategies.integers(0, 1),
        per_second=strategies.just(0.0) | strategies.floats(0.2, LIMIT_MAX),
    )
    def name_limit(self, number, per_second):
        self.fleet.logs[number].name_limit(per_second)

    @stateful.rule(number=strategies.integers(0, 1))
    def end_limit(self, number):
        self.fleet.logs[number].end_limit()

    @stateful.rule()
    def start(self):
        if len(self.fleet.entries) < 8:
            self.fleet.start_entry()

    @stateful.rule(data=strategies.data(), planned=strategies.booleans())
    def end(self, data, planned):
        if len(self.fleet.entries) > 1:
            name = data.draw(strategies.sampled_from(self._names()))
            self.fleet.end_entry(name, planned=planned)

    @stateful.rule(data=strategies.data())
    def turn_away(self, data):
        away = [e.is_turned_away for e in self.fleet.entries.values()]
        if not any(away):
            name = data.draw(strategies.sampled_from(self._names()))
            self.fleet.turn_away(name)

    @stateful.rule()
    def serve_all(self):
        for name, entry in self.fleet.entries.items():
            if entry.is_turned_away:
                self.fleet.serve_again(name)

    @stateful.rule(data=strategies.data(), wants=strategies.booleans())
    def change_demand(self, data, wants):
        name = data.draw(strategies.sampled_from(self._names()))
        self.fleet.entries[name].wants = wants

    @stateful.rule(data=strategies.data())
    def sample(self, data):
        name = data.draw(strategies.sampled_from(self._names()))
        self.fleet.sample(self.fleet.entries[name])

    @stateful.rule()
    def settle(self):
        """In calm, with demand, what the limits allow is used."""
        self.serve_all()
        for each in self.fleet.entries.values():
            each.wants = True
        self.fleet.advance(limited_fleet.LEASE_S + 6.0)
        for each in self.fleet.entries.values():
            self.fleet.sample(each)
        self.fleet.advance(4.0)
        since = self.fleet.now
        self.fleet.advance(8.0)
        for log in self.fleet.logs:
            if log.limit is not None:
                expected = 0.9 * 8.0 * log.limit
                assert log.count_since(since) >= expected - 1.0

    def teardown(self):
        for log in self.fleet.logs:
            assert not list(itertools.islice(log.limit_violations(), 3))


def test_a_limit_of_zero_leaves_nobody_room():
    fleet = limited_fleet.Fleet(5, 1)
    fleet.logs[0].name_limit(0.0)
    fleet.advance(0.1)
    since = fleet.now
    fleet.advance(8.0)
    assert fleet.logs[0].count_since(since) == 0
    for each in fleet.entries.values():
        shares, record = each.shares, fleet.records[0]
        assert shares.room_at(record, fleet.now) == float("inf")
        assert shares.rate_of(record, fleet.now) == 0.0
        assert shares.used_share(record, fleet.now) is None


# Load: all entries learn of a limit of 0 in the same moment and look again
# whether it still holds.
def test_entries_look_again_one_after_the_other():
    fleet = limited_fleet.Fleet(24, 1)
    fleet.logs[0].name_limit(0.0)
    for each in fleet.entries.values():
        fleet.sample(each)
    looks = []
    for _ in range(int(12 / limited_fleet.STEP_S)):
        fleet.advance(limited_fleet.STEP_S)
        looks += [
            fleet.now
            for each in fleet.entries.values()
            if each.shares.take_recheck(fleet.records[0], fleet.now)
        ]
    assert len(looks) >= 24
    for start in looks:
        close = [at for at in looks if start <= at < start + 0.2]
        assert len(close) <= len(fleet.entries) // 4


def test_limits_hold_while_entries_come_and_go():
    stateful.run_state_machine_as_test(
        SharesMachine, settings=hypothesis_settings.machine_settings(60, 25)
    )


def test_the_rule_counts_windows_from_contact_on():
    log = signal_log.SignalLog(lambda: 0.0)
    log.limits = [signal_log.Limit(1.0, 0.0)]
    log.arrivals = [(2.0 + 0.01 * number, "e-0") for number in range(50)]
    assert not list(log.limit_violations())
    log.arrivals = [(3.0 + 0.3 * number, "e-0") for number in range(11)]
    assert not list(log.limit_violations())
    log.arrivals = [(3.0 + 0.3 * number, "e-0") for number in range(12)]
    assert len(list(log.limit_violations())) == 1
