"""State machine of an entry's registration in a store that loses answers.

The store executes calls at once, late or never, and answers them or not. It
comes back older at times, with its leases gone, and gives out its revisions
and leases again. The oracle sees the store: once calls are answered and the
entry has read the store a few times, the key holds the registration of this
process, of this era, under a lease that it renews; nobody else's is kept, and
a later process of the same entry is never overwritten.
"""

from __future__ import annotations

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.membership import backoff
from sesamevale.policy.membership import own_registration as policy

OWN = 50
LATER = 90
TTL_S = 6.0
RENEW_S = 3.0


@dataclasses.dataclass
class Store:
    """One key and the leases; ``history`` holds what it can come back to."""

    era: int = 1
    revision: int = 10
    key: policy.Record | None = None
    leases: dict[int, float] = dataclasses.field(default_factory=dict)
    next_lease: int = 100
    history: list[tuple] = dataclasses.field(default_factory=list)

    def expire(self, now):
        for lease, until in list(self.leases.items()):
            if until <= now:
                self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        if self.key is not None and self.key.lease == lease:
            self.put(None)

    def put(self, record):
        self.revision += 1
        if record is not None:
            record = dataclasses.replace(record, revision=self.revision)
        self.key = record

    def save(self):
        self.history.append((self.revision, self.key, self.next_lease))

    def come_back_older(self, now):
        if self.history:
            self.revision, self.key, self.next_lease = self.history[-1]
            self.history.clear()
        self.leases = {}
        if self.key is not None:
            self.leases = {self.key.lease: now + TTL_S}
        self.era += 1

    def execute(self, step, now, incarnation=OWN):
        """Executes a call; returns the result that its answer tells."""
        self.expire(now)
        if isinstance(step, policy.Grant):
            self.next_lease += 1
            self.leases[self.next_lease] = now + TTL_S
            return policy.Granted(self.next_lease)
        if isinstance(step, policy.Revoke):
            self.end(step.lease)
            return policy.Revoked()
        if step.lease not in self.leases:
            return policy.LeaseEnded()
        if isinstance(step, policy.Renew):
            self.leases[step.lease] = now + TTL_S
            return policy.Renewed()
        if (self.key.revision if self.key else 0) != step.revision:
            return policy.Conflict(self.key)
        self.put(policy.Record(incarnation, step.lease, 0, step.era))
        return policy.Written(self.revision)


class RegistrationMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.late: list[policy.Step] = []
        self.wanted = True
        self.own = policy.OwnRegistration(
            OWN, RENEW_S, backoff.Backoff(0.5, 4.0, random.Random(1))
        )
        self.own.record_era(1, 0.0)
        self.own.set_wanted(True)

    def call(self, fate):
        """Makes the call that is due; returns whether there was one."""
        step = self.own.next_step(self.now)
        if isinstance(step, policy.Wait):
            return False
        result = policy.Failed()
        if fate == "answered":
            result = self.store.execute(step, self.now)
        elif fate == "lost":
            self.store.execute(step, self.now)
        elif fate == "late":
            self.late.append(step)
        if isinstance(step, policy.Revoke):
            result = policy.Revoked()
        self.own.record_result(result, self.now)
        if fate == "answered":
            self.own.record_era(self.store.era, self.now)
        return True

    def read(self):
        self.now += 0.05
        self.store.expire(self.now)
        self.own.record_read(self.store.key, self.store.era, self.now, self.now)

    @stateful.rule(
        fate=strategies.sampled_from(["answered", "lost", "late", "refused"]),
        wait_s=strategies.sampled_from([0.1, 1.0, 4.0]),
    )
    def act(self, fate, wait_s):
        self.now += wait_s
        self.store.expire(self.now)
        self.call(fate)

    @stateful.rule(wait_s=strategies.sampled_from([0.1, 1.0, 7.0]))
    def read_store(self, wait_s):
        self.now += wait_s
        self.read()

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def execute_late(self):
        step = self.late.pop(0)
        before = self.store.key
        result = self.store.execute(step, self.now)
        if isinstance(result, policy.Written):
            assert before is None or before.incarnation <= OWN

    @stateful.rule()
    def save(self):
        self.store.save()

    @stateful.rule()
    def drill(self):
        self.store.come_back_older(self.now)

    @stateful.rule(incarnation=strategies.sampled_from([0, 7, LATER]))
    def another_process_writes(self, incarnation):
        self.store.leases[7] = self.now + TTL_S
        self.store.put(policy.Record(incarnation, 7, 0, self.store.era))

    @stateful.rule()
    def change_readiness(self):
        self.wanted = not self.wanted
        self.own.set_wanted(self.wanted)

    @stateful.rule()
    def settle(self):
        """All calls are answered; the entry reads the store every second."""
        while self.late:
            self.execute_late()
        later_until = self.now + 40.0
        calls = 0
        while self.now < later_until:
            self.now += 0.95
            self.read()
            for _ in range(4):
                calls += self.call("answered")
        self.store.expire(self.now)
        held = self.store.key
        if not self.wanted:
            assert held is None or held.incarnation != OWN
            return
        assert held is not None
        assert (held.incarnation, held.era) == (OWN, self.store.era)
        assert held.lease in self.store.leases
        assert self.own.is_there
        # About as many calls as renewals, and a few to mend what was wrong.
        assert calls <= 40.0 / RENEW_S + 10


RegistrationMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestRegistration = RegistrationMachine.TestCase


def test_a_calm_registration_costs_two_calls_and_its_renewals():
    machine = RegistrationMachine()
    calls = 0
    while machine.now < 30.0:
        machine.now += 0.95
        machine.read()
        for _ in range(3):
            calls += machine.call("answered")
    assert calls <= 2 + 30.0 / RENEW_S


def test_a_later_process_of_the_entry_is_left_alone():
    machine = RegistrationMachine()
    machine.call("answered")
    machine.call("answered")
    machine.another_process_writes(LATER)
    machine.read()
    assert machine.own.is_taken
    assert not machine.call("answered")
    assert machine.store.key.incarnation == LATER


def test_a_write_of_an_earlier_era_is_written_again():
    machine = RegistrationMachine()
    machine.call("answered")
    machine.call("late")
    machine.drill()
    machine.read()
    machine.store.leases[machine.late[0].lease] = machine.now + TTL_S
    machine.execute_late()
    machine.settle()
    assert machine.store.key.era == machine.store.era


def test_a_read_from_before_a_write_is_no_evidence():
    machine = RegistrationMachine()
    machine.now = 5.0
    machine.call("answered")
    machine.call("answered")
    machine.own.record_read(None, 1, 4.9, 5.1)
    assert machine.own.is_there


def test_a_lease_is_not_kept_over_a_change_of_the_era():
    machine = RegistrationMachine()
    machine.call("answered")
    machine.call("answered")
    machine.own.record_era(2, 0.0)
    assert machine.own.next_step(0.0) == policy.Grant()
