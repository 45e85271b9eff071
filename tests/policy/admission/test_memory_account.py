"""Tests of the account of memory: who gets room, and who gives way."""

from __future__ import annotations

import pytest
from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.admission import memory_account
from sesamevale.policy.admission import memory_limits
from tests.builders import hypothesis_settings
from tests.builders import memory

MIB = memory.MIB
BODY = memory_account.Kind.BODY
READING = memory_account.Phase.READING
SERVED = memory_account.Phase.SERVED
ANSWERING = memory_account.Phase.ANSWERING
STALL_S = memory_account.STALL_S
# Share of the memory that only small requests use.
SMALL_SHARE = 1 / 8
# The largest body that the users' pages allow.
LONGEST_BODY_BYTES = 64 * MIB


@pytest.mark.parametrize("memory_mb", [200, 552, 690])
def test_a_machine_has_room_for_the_longest_body_beside_its_process(memory_mb):
    limits = memory_limits.MemoryLimits.plan(memory.machine(memory_mb))
    account = memory_account.MemoryAccount(limits)
    memory.Request(account, phase=READING, body=LONGEST_BODY_BYTES)
    process_bytes = memory_limits.PROCESS_BYTES
    assert limits.capacity_bytes <= memory_mb * MIB - process_bytes


@pytest.mark.parametrize("descriptors_max", [300, 500, 10_250])
def test_connections_and_requests_stay_within_the_descriptors(descriptors_max):
    machine = memory.machine(690, descriptors_max)
    limits = memory_limits.MemoryLimits.plan(machine)
    sockets = limits.connections_max + limits.requests_max
    assert sockets <= descriptors_max - memory_limits.OTHER_DESCRIPTORS


# Load: bodies of legal size whose senders stop short of the end.
def test_stalled_bodies_give_way_to_one_that_arrives():
    account = memory.account()
    stalled = [
        memory.Request(account, phase=READING, body=6 * MIB) for _ in range(2)
    ]
    new = memory.Request(account, now=STALL_S, phase=READING)
    assert new.holding.try_grow(BODY, 6 * MIB, STALL_S)
    assert [each.was_turned_away for each in stalled].count(True) == 1
    assert account.turned_away[memory_account.Cause.STALLED_BODY] == 1


def test_a_body_that_makes_progress_does_not_give_way_to_an_equal_one():
    account = memory.account()
    first = memory.Request(account, phase=READING, body=10 * MIB)
    first.holding.add_progress(memory_account.PROGRESS_BYTES, STALL_S)
    second = memory.Request(account, now=STALL_S, phase=READING)
    assert not second.holding.try_grow(BODY, 10 * MIB, STALL_S)
    assert not first.was_turned_away


# Load: clients that trickle bytes so as not to be idle.
def test_a_trickle_is_no_progress():
    account = memory.account()
    trickle = memory.Request(account, phase=READING, body=10 * MIB)
    trickle.holding.add_progress(100, STALL_S)
    second = memory.Request(account, now=STALL_S, phase=READING)
    assert second.holding.try_grow(BODY, 10 * MIB, STALL_S)
    assert trickle.was_turned_away


def test_a_body_gives_way_to_a_more_urgent_one():
    account = memory.account()
    reading = memory.Request(account, priority=3, phase=READING, body=10 * MIB)
    urgent = memory.Request(account, priority=0, phase=READING)
    assert urgent.holding.try_grow(BODY, 10 * MIB, 0.0)
    assert reading.causes == [memory_account.Cause.LESS_URGENT]


def test_a_request_that_may_run_never_gives_way():
    """Its refusal as not run would be untrue."""
    account = memory.account()
    served = memory.Request(account, priority=3, phase=READING, body=10 * MIB)
    served.holding.enter(SERVED, 0.0)
    urgent = memory.Request(account, priority=0, now=9.0, phase=READING)
    assert not urgent.holding.try_grow(BODY, 10 * MIB, 9.0)
    assert not served.was_turned_away


def test_the_least_urgent_then_the_longest_stalled_then_the_largest_goes():
    account = memory.account(capacity_bytes=32 * MIB)
    requests = [
        memory.Request(account, priority=1, now=0.0, phase=READING, body=MIB),
        memory.Request(account, priority=2, now=0.4, phase=READING, body=MIB),
        memory.Request(account, priority=2, now=0.2, phase=READING, body=MIB),
        memory.Request(
            account, priority=2, now=0.2, phase=READING, body=2 * MIB
        ),
    ]
    new = memory.Request(account, priority=1, now=9.0, phase=READING)
    order = []
    for _ in requests:
        free = account.limits.large_bytes - account.held_bytes
        assert new.holding.try_grow(BODY, free + 1, 9.0)
        order += [
            index
            for index, each in enumerate(requests)
            if each.was_turned_away and index not in order
        ]
    assert order == [3, 2, 1, 0]


# Load: answers that are ready, to clients that do not read.
def test_a_reader_that_stalls_gives_its_place_to_a_new_request():
    account = memory.account(requests_max=2)
    for _ in range(2):
        memory.Request(account, phase=ANSWERING)
    assert memory.Request(account, now=STALL_S / 2).holding is None
    assert memory.Request(account, now=STALL_S).holding is not None
    assert account.turned_away[memory_account.Cause.STALLED_READER] == 1


# Load: bodies that fill the entry while upstreams run their requests.
def test_a_small_request_finds_room_beside_large_ones():
    account = memory.account()
    served = memory.Request(account, phase=SERVED)
    while served.holding.try_grow(BODY, 64 * 1024, 0.0):
        pass
    assert memory.Request(account).holding is not None


# Load: small requests that fill the entry, of callers that send no more.
def test_a_connection_finds_room_beside_requests_that_stall():
    account = memory.account(capacity_bytes=MIB, requests_max=100)
    while memory.Request(account, phase=READING).holding is not None:
        pass
    held = account.held_bytes
    while account.try_connect(0.0):
        pass
    assert account.limits.capacity_bytes - held < MIB // 8
    assert account.try_connect(STALL_S)


def test_a_request_that_was_turned_away_gets_no_more():
    account = memory.account()
    request = memory.Request(account, phase=READING, body=MIB)
    request.holding.close()
    assert not request.holding.try_grow(BODY, 1, 0.0)
    request.holding.close()
    assert account.held_bytes == 0


class AccountMachine(stateful.RuleBasedStateMachine):
    """Requests in any order, against sums of what they hold."""

    def __init__(self):
        super().__init__()
        self.account = memory.account()
        self.now = 0.0
        self.connections = 0
        self.requests: list[memory.Request] = []

    @property
    def open_requests(self):
        return [each for each in self.requests if each.holding.is_open]

    @stateful.rule(seconds=strategies.floats(0.1, 2.0))
    def advance(self, seconds):
        self.now += seconds

    @stateful.rule()
    def connect(self):
        self.connections += self.account.try_connect(self.now)

    @stateful.precondition(lambda self: self.connections)
    @stateful.rule()
    def disconnect(self):
        self.connections -= 1
        self.account.disconnect()

    @stateful.rule(
        priority=strategies.integers(0, 3),
        phase=strategies.sampled_from(memory_account.Phase),
    )
    def start(self, priority, phase):
        count = len(self.open_requests)
        request = memory.Request(
            self.account, priority=priority, now=self.now, phase=phase
        )
        if request.holding is not None:
            self.requests.append(request)
            return
        # A small request is refused only where small ones fill the entry.
        limits = self.account.limits
        small_bytes = (
            count * memory_limits.REQUEST_BYTES
            + self.connections * memory_limits.CONNECTION_BYTES
        )
        reserve = limits.capacity_bytes * SMALL_SHARE
        assert (
            count >= limits.requests_max
            or small_bytes + memory_limits.REQUEST_BYTES > reserve
        )

    @stateful.precondition(lambda self: self.open_requests)
    @stateful.rule(data=strategies.data(), count=strategies.integers(1, 8))
    def grow(self, data, count):
        request = data.draw(strategies.sampled_from(self.open_requests))
        kind = data.draw(strategies.sampled_from(memory_account.Kind))
        held = request.holding.held_bytes
        grown = request.holding.try_grow(kind, count * MIB, self.now)
        assert request.holding.held_bytes == held + grown * count * MIB

    @stateful.precondition(lambda self: self.open_requests)
    @stateful.rule(
        data=strategies.data(),
        phase=strategies.sampled_from(memory_account.Phase),
        count=strategies.integers(1, 40_000),
    )
    def progress(self, data, phase, count):
        request = data.draw(strategies.sampled_from(self.open_requests))
        request.holding.add_progress(count, self.now)
        request.holding.enter(phase, self.now)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=strategies.data())
    def end(self, data):
        request = data.draw(strategies.sampled_from(self.requests))
        request.holding.close()

    @stateful.invariant()
    def is_within_its_bound(self):
        assert self.account.held_bytes <= self.account.limits.capacity_bytes
        assert len(self.open_requests) <= self.account.limits.requests_max

    @stateful.invariant()
    def counts_what_is_held(self):
        held = self.connections * memory_limits.CONNECTION_BYTES
        held += sum(each.holding.held_bytes for each in self.open_requests)
        assert self.account.held_bytes == held
        assert sum(self.account.held_by_kind.values()) == held

    @stateful.invariant()
    def turns_nobody_away_that_may_run(self):
        for each in self.requests:
            assert len(each.causes) <= 1
            if each.was_turned_away:
                assert each.holding.phase is not SERVED

    def teardown(self):
        for each in self.requests:
            each.holding.close()
        for _ in range(self.connections):
            self.account.disconnect()
        assert self.account.held_bytes == 0


TestAccountMachine = AccountMachine.TestCase
TestAccountMachine.settings = hypothesis_settings.machine_settings(200, 40)
