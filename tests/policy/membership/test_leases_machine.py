"""Stateful fuzzing of the lease holder with pauses and clock jumps."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

from sesamevale.policy.membership import leases
from tests.builders import hypothesis_settings

TTL_S = 10.0


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Requests arrive late at the platform; answers arrive late or never.

    The platform counts the lifetime of a lease from the arrival of a request.
    The holder may have the state ``HELD`` only while the platform has the
    lease.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.holder = leases.LeaseHolder(TTL_S)
        self.requests: list = []
        self.answers: list = []
        self.leases: dict[int, float] = {}
        self.next_lease = 1

    @stateful.rule()
    def poll(self) -> None:
        request = self.holder.poll(self.now)
        if request is not None:
            self.requests.append(request)

    @stateful.rule(step=st.floats(0.01, 4.0))
    def pass_time(self, step) -> None:
        self.now += step

    @stateful.rule(step=st.floats(5.0, 100.0))
    def pause(self, step) -> None:
        self.now += step

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(pick=st.integers(0, 100), lost=st.booleans())
    def platform_serves(self, pick, lost) -> None:
        request = self.requests.pop(pick % len(self.requests))
        if isinstance(request, leases.Grant):
            lease_id = self.next_lease
            self.next_lease += 1
            self.leases[lease_id] = self.now + TTL_S
            answer = ("granted", request.request_id, lease_id)
        elif self.leases.get(request.lease_id, 0.0) > self.now:
            self.leases[request.lease_id] = self.now + TTL_S
            answer = ("renewed", request.request_id, request.lease_id)
        else:
            answer = ("lost", request.request_id, request.lease_id)
        if not lost:
            self.answers.append(answer)

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(pick=st.integers(0, 100))
    def answer_arrives(self, pick) -> None:
        kind, request_id, lease_id = self.answers.pop(pick % len(self.answers))
        if kind == "granted":
            self.holder.granted(request_id, lease_id)
        elif kind == "renewed":
            self.holder.renewed(request_id)
        elif lease_id == self.holder.lease_id:
            self.holder.lost()

    @stateful.invariant()
    def held_by_holder_implies_held_by_platform(self) -> None:
        if self.holder.state(self.now) is leases.LeaseState.HELD:
            until = self.leases[self.holder.lease_id]
            assert self.now + self.holder.remaining(self.now) <= until


def test_a_renewal_counts_from_before_it_was_sent():
    holder = leases.LeaseHolder(TTL_S)
    grant = holder.poll(0.0)
    assert isinstance(grant, leases.Grant)
    holder.granted(grant.request_id, 7)
    sent_at = 4.0
    renewal = holder.poll(sent_at)
    assert isinstance(renewal, leases.Renew)
    holder.renewed(renewal.request_id)
    assert holder.state(sent_at + TTL_S) is leases.LeaseState.LAPSED


TestLease = LeaseMachine.TestCase
TestLease.settings = hypothesis_settings.machine_settings(300, 40)
