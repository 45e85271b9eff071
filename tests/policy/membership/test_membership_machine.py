"""Stateful tests of membership: loss, cuts, kills, freezes, restarts."""

from __future__ import annotations

import heapq
import itertools
import random

from hypothesis import stateful
from hypothesis import strategies as st

from sesamevale.policy.membership import membership
from sesamevale.policy.membership import membership_types
from tests.builders import hypothesis_settings
from tests.builders import policy_values

NAMES = ("e1", "e2", "e3", "e4")
STEP_S = 0.01
SETTLE_S = 20.0
TIMING = membership.Timing()


class Network:
    """Simulates a network with delay, loss and one-way cuts."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.views: dict[str, membership.Membership] = {}
        self.frozen: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.tick_count = 0
        self.queue: list = []
        self.order = itertools.count()
        self.incarnations = dict.fromkeys(NAMES, 0)

    def start(self, name: str) -> None:
        self.incarnations[name] += 1
        own = policy_values.member(name, self.incarnations[name])
        view = membership.Membership(own, "test", TIMING, self.rng)
        for seed in NAMES:
            view.seed(seed, 7000)
        self.views[name] = view

    def transmit(self, source: str, sends: list[membership_types.Send]) -> None:
        for send in sends:
            if (source, send.host) in self.cuts:
                continue
            if self.rng.random() < self.loss:
                continue
            delay = self.rng.uniform(0.0005, 0.05)
            item = (self.now + delay, next(self.order), send)
            heapq.heappush(self.queue, item)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.deliver()
            for name, view in list(self.views.items()):
                if name not in self.frozen and self.now >= view.next_tick_at:
                    self.tick_count += 1
                    self.transmit(name, view.tick(self.now))

    def deliver(self) -> None:
        delayed = []
        while self.queue and self.queue[0][0] <= self.now:
            item = heapq.heappop(self.queue)
            send = item[2]
            if send.host in self.frozen:
                delayed.append(item)
            elif send.host in self.views:
                view = self.views[send.host]
                sends = view.receive(send.message, self.now)
                self.transmit(send.host, sends)
        for item in delayed:
            heapq.heappush(self.queue, item)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Applies random faults; once they have ended, all views must agree."""

    @stateful.initialize(seed=st.integers(0, 1 << 20))
    def set_up(self, seed) -> None:
        self.network = Network(seed)
        for name in NAMES:
            self.network.start(name)
        self.network.run(SETTLE_S)

    @stateful.rule(name=st.sampled_from(NAMES))
    def kill(self, name) -> None:
        self.network.views.pop(name, None)
        self.network.frozen.discard(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name) -> None:
        self.network.frozen.discard(name)
        self.network.start(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def freeze(self, name) -> None:
        if name in self.network.views:
            self.network.frozen.add(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def thaw(self, name) -> None:
        self.network.frozen.discard(name)

    @stateful.rule(source=st.sampled_from(NAMES), sink=st.sampled_from(NAMES))
    def cut_one_way(self, source, sink) -> None:
        self.network.cuts.add((source, sink))

    @stateful.rule()
    def heal(self) -> None:
        self.network.cuts.clear()

    @stateful.rule(loss=st.floats(0.0, 0.3))
    def lose(self, loss) -> None:
        self.network.loss = loss

    @stateful.rule(seconds=st.floats(0.1, 5.0))
    def pass_time(self, seconds) -> None:
        self.network.run(seconds)

    @stateful.invariant()
    def own_state_is_never_dead(self) -> None:
        if not hasattr(self, "network"):
            return
        for name, view in self.network.views.items():
            assert view.own.entry_id == name
            assert view.own.status is membership_types.Status.ALIVE

    def teardown(self) -> None:
        """Checks that all views agree on the members that are alive."""
        if not hasattr(self, "network"):
            return
        self.network.cuts.clear()
        self.network.frozen.clear()
        self.network.loss = 0.0
        self.network.run(SETTLE_S)
        alive = set(self.network.views)
        for name, view in self.network.views.items():
            seen = {member.entry_id for member in view.usable}
            assert seen == alive, (name, seen, alive)


TestMembership = MembershipMachine.TestCase
TestMembership.settings = hypothesis_settings.machine_settings(25, 15)


def converged_network(loss: float = 0.0) -> Network:
    network = Network(seed=7)
    for name in NAMES:
        network.start(name)
    network.run(SETTLE_S)
    network.loss = loss
    return network


def test_an_undisturbed_entry_ticks_once_a_period():
    """It ticked every 0.1 s, and each tick woke the process up."""
    network = converged_network()
    network.tick_count = 0
    network.run(20.0)
    periods = 20.0 / TIMING.period_s
    assert network.tick_count <= (periods + 1) * len(NAMES)


def test_killed_entry_leaves_every_view_within_two_seconds():
    network = converged_network()
    del network.views["e4"]
    network.run(2.0)
    for view in network.views.values():
        assert "e4" not in {member.entry_id for member in view.usable}


def test_a_new_entry_lists_all_members_after_its_first_ping():
    network = converged_network()
    network.views.pop("e4")
    network.run(5.0)
    network.start("e4")
    network.run(TIMING.period_s + 0.2)
    usable = {member.entry_id for member in network.views["e4"].usable}
    assert usable == set(NAMES)


def test_draining_entry_leaves_every_view_within_two_periods():
    network = converged_network()
    network.transmit("e4", network.views["e4"].leave())
    network.run(TIMING.period_s * 2)
    for view in network.views.values():
        assert "e4" not in {member.entry_id for member in view.usable}


def test_one_way_cut_between_two_does_not_kill_either():
    network = converged_network()
    network.cuts.add(("e1", "e2"))
    for _ in range(100):
        network.run(0.1)
        for view in network.views.values():
            assert membership_types.Status.DEAD not in {
                member.status for member in view.members.values()
            }


def test_an_entry_suspects_nobody_right_after_it_was_frozen():
    network = converged_network()
    network.frozen.add("e4")
    network.run(10.0)
    network.frozen.clear()
    network.run(0.2)
    usable = {member.entry_id for member in network.views["e4"].usable}
    assert usable == set(NAMES)


def test_a_suspicion_does_not_expire_while_its_holder_is_frozen():
    network = converged_network()
    view = network.views["e4"]
    view.unreachable("e3", network.now)
    resumed_at = network.now + 10.0
    view.tick(resumed_at)
    assert view.members["e3"].status is membership_types.Status.SUSPECT
    expires_after_ticks = round(TIMING.suspicion_s / 0.1) + 1
    for step in range(1, expires_after_ticks + 1):
        view.tick(resumed_at + step * 0.1)
    assert view.members["e3"].status is membership_types.Status.DEAD


def test_other_environment_is_ignored():
    network = converged_network()
    other_view = membership.Membership(
        policy_values.member("e9"), "other", TIMING, random.Random(1)
    )
    other_view.seed("e1", 7000)
    network.transmit("e9", other_view.tick(network.now))
    network.run(1.0)
    assert "e9" not in network.views["e1"].members


# Guards against pings to every member in each period, since the list of the
# registered entries names the addresses of members again and again.
def test_the_address_of_a_member_is_not_pinged_as_a_seed():
    network = Network(seed=3)
    for name in NAMES:
        network.start(name)
    network.run(SETTLE_S)
    view = network.views["e1"]
    pings = []
    transmit = network.transmit

    def record(source: str, sends: list[membership_types.Send]) -> None:
        for each in sends:
            if source == "e1" and isinstance(
                each.message, membership_types.Ping
            ):
                pings.append(each)
        transmit(source, sends)

    network.transmit = record
    periods = 10
    for _ in range(periods):
        for name in NAMES:
            view.seed(name, 7000)
        network.run(TIMING.period_s)
    assert len(pings) <= periods + 1


def test_the_address_of_a_dead_member_is_pinged_as_a_seed():
    network = Network(seed=3)
    for name in NAMES:
        network.start(name)
    network.run(SETTLE_S)
    network.views.pop("e2")
    network.run(SETTLE_S)
    view = network.views["e1"]
    view.seed("e2", 7000)
    sends = view.tick(network.now + TIMING.period_s)
    assert "e2" in {each.host for each in sends}
