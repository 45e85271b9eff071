"""Mutation tests: if a mechanism is disabled, the test for it must fail."""

from __future__ import annotations

import pytest
from hypothesis import stateful

from sesamevale.etcd import store
from sesamevale.policy.admission import queueing
from sesamevale.policy.balancing import pool
from sesamevale.policy.balancing import probing
from sesamevale.policy.calls import dispatch
from sesamevale.policy.configuration import document_follower
from sesamevale.policy.membership import leases
from sesamevale.policy.membership import membership
from sesamevale.policy.register import identity
from sesamevale.policy.register import register
from sesamevale.upstreams import connection
from tests.builders import hypothesis_settings
from tests.policy import test_parts
from tests.policy.calls import test_dispatch_machine
from tests.policy.configuration import test_document_follower_machine
from tests.policy.membership import test_leases_machine
from tests.policy.membership import test_membership_machine
from tests.policy.register import test_acceptance_machine
from tests.policy.register import test_register_machine
from tests.upstreams import test_connection


def run_machine(machine) -> None:
    settings = hypothesis_settings.machine_settings(400, 40)
    stateful.run_state_machine_as_test(machine, settings=settings)


def run_at_most_once() -> None:
    run_machine(test_register_machine.AtMostOnceMachine)


def run_dispatch() -> None:
    run_machine(test_dispatch_machine.DispatchMachine)


def forget_actions(monkeypatch) -> None:
    monkeypatch.setattr(
        register.Register, "submit", lambda *arguments: register.Run()
    )


def bar_without_tombstone(monkeypatch) -> None:
    original = register.Register.bar

    def bar(self, action, now_s):
        if str(action) not in self._actions:
            return register.Barred()
        return original(self, action, now_s)

    monkeypatch.setattr(register.Register, "bar", bar)


def ignore_incarnation(monkeypatch) -> None:
    original = identity.locate_issuer

    def locate_issuer(action, entry_id, incarnation, live_incarnations):
        if action.ticket.entry_id == entry_id:
            return identity.IssuerLocation(is_local=True)
        return original(action, entry_id, incarnation, live_incarnations)

    monkeypatch.setattr(identity, "locate_issuer", locate_issuer)


def ignore_expiry(monkeypatch) -> None:
    monkeypatch.setattr(
        register.Register, "_refusal", lambda self, action, now_s: None
    )


def forget_earlier_attempts(monkeypatch) -> None:
    original = dispatch.DispatchPolicy._refuse

    def refuse(self, state, reason, retry_after_ms=0):
        state.may_have_run = False
        return original(self, state, reason, retry_after_ms)

    monkeypatch.setattr(dispatch.DispatchPolicy, "_refuse", refuse)


def renew_retry_budget(monkeypatch) -> None:
    original = dispatch.DispatchPolicy._place

    def place(self, state, now):
        state.retries = state.properties.retries
        return original(self, state, now)

    monkeypatch.setattr(dispatch.DispatchPolicy, "_place", place)


def retry_everything(monkeypatch) -> None:
    def handle_possible_run(
        self, state, reason, now, *, partly_delivered, retry
    ):
        if state is None or state.attempts:
            return []
        return self._place(state, now)

    monkeypatch.setattr(
        dispatch.DispatchPolicy, "_handle_possible_run", handle_possible_run
    )


def count_no_slots(monkeypatch) -> None:
    monkeypatch.setattr(
        pool.UpstreamPool, "acquire_slot", lambda self, name, now: None
    )


def never_serve_the_queue(monkeypatch) -> None:
    monkeypatch.setattr(
        dispatch.DispatchPolicy, "_serve_queue", lambda self, now: []
    )


def go_back_to_older_documents(monkeypatch) -> None:
    def manifest_seen(self, manifest, source):
        self._target = manifest
        return self._advance(source)

    monkeypatch.setattr(
        document_follower.DocumentFollower, "manifest_seen", manifest_seen
    )


def count_lease_without_margin(monkeypatch) -> None:
    def renewed(self, request_id):
        if self._sent_at.pop(request_id, None) is not None:
            self._valid_until = self._next_request + self._ttl_s

    monkeypatch.setattr(leases.LeaseHolder, "renewed", renewed)


def suspect_after_a_pause(monkeypatch) -> None:
    monkeypatch.setattr(
        membership.Membership, "_paused", lambda self, now: False
    )


def never_refute(monkeypatch) -> None:
    monkeypatch.setattr(
        membership.Membership, "_refute", lambda self, update: None
    )


def probe_only_directly(monkeypatch) -> None:
    def give_up(self, sequence, probe, now):
        probe.indirect = True
        probe.deadline = now
        return []

    monkeypatch.setattr(membership.Membership, "_probe_indirectly", give_up)


def commit_without_condition(monkeypatch) -> None:
    original = store.DocumentStore.commit

    async def commit(self, manifest, base):
        head = await self.head()
        if isinstance(head, store.Head):
            base = head
        return await original(self, manifest, base)

    monkeypatch.setattr(store.DocumentStore, "commit", commit)


def take_lost_answers_for_failures(monkeypatch) -> None:
    async def resolve(self, manifest):
        head = await self.head()
        if isinstance(head, store.Head):
            return store.Conflict(head)
        return store.OutcomeUnknown(manifest.change_id, manifest.revision)

    monkeypatch.setattr(store.DocumentStore, "_resolve_failed_compare", resolve)


def keep_cancelled_connections(monkeypatch) -> None:
    monkeypatch.setattr(
        connection.UpstreamConnection, "abort", lambda self: None
    )


def keep_connections_with_extra_bytes(monkeypatch) -> None:
    monkeypatch.setattr(
        connection.UpstreamConnection, "_has_extra_bytes", False
    )


def keep_connections_after_refusals(monkeypatch) -> None:
    monkeypatch.setattr(
        connection.UpstreamConnection,
        "_is_reusable_after",
        lambda self, result: True,
    )


def never_evict_queued_calls(monkeypatch) -> None:
    monkeypatch.setattr(
        queueing.FairQueue, "eviction_candidate", lambda self, queued_call: None
    )


def eject_without_limit(monkeypatch) -> None:
    monkeypatch.setattr(pool, "EJECTED_SHARE_MAX", 1.0)


def probe_without_budget(monkeypatch) -> None:
    monkeypatch.setattr(probing.ProbeBudget, "take", lambda self, now: True)


def ignore_leaving(monkeypatch) -> None:
    monkeypatch.setattr(
        pool.UpstreamPool, "record_leaving", lambda self, name, now: None
    )


def ignore_deadlines(monkeypatch) -> None:
    monkeypatch.setattr(
        dispatch.DispatchPolicy, "_give_up", lambda self, state, reason: []
    )


MUTANTS = [
    (forget_actions, run_at_most_once),
    (
        bar_without_tombstone,
        test_register_machine.test_a_barred_action_does_not_run_when_its_relay_arrives,
    ),
    (
        ignore_incarnation,
        test_register_machine.test_a_restarted_issuer_runs_nothing_of_its_predecessor,
    ),
    (
        ignore_expiry,
        test_register_machine.test_a_removed_action_does_not_run_again,
    ),
    (forget_earlier_attempts, run_dispatch),
    (renew_retry_budget, run_dispatch),
    (retry_everything, run_dispatch),
    (count_no_slots, run_dispatch),
    (never_serve_the_queue, run_dispatch),
    (
        go_back_to_older_documents,
        lambda: run_machine(test_document_follower_machine.FollowerMachine),
    ),
    (
        count_lease_without_margin,
        test_leases_machine.test_a_renewal_counts_from_before_it_was_sent,
    ),
    (
        suspect_after_a_pause,
        test_membership_machine.test_a_suspicion_does_not_expire_while_its_holder_is_frozen,
    ),
    (
        never_refute,
        lambda: run_machine(test_membership_machine.MembershipMachine),
    ),
    (
        probe_only_directly,
        test_membership_machine.test_one_way_cut_between_two_does_not_kill_either,
    ),
    (
        commit_without_condition,
        lambda: run_machine(test_acceptance_machine.AcceptanceMachine),
    ),
    (
        take_lost_answers_for_failures,
        lambda: run_machine(test_acceptance_machine.AcceptanceMachine),
    ),
    (
        keep_cancelled_connections,
        test_connection.test_a_cancelled_exchange_closes_its_connection,
    ),
    (
        keep_connections_with_extra_bytes,
        test_connection.test_a_second_copy_of_an_answer_ends_the_connection,
    ),
    (
        keep_connections_after_refusals,
        test_connection.test_a_refusal_ends_the_connection,
    ),
    (
        never_evict_queued_calls,
        test_parts.test_full_queue_drops_the_greedy_caller_first,
    ),
    (
        probe_without_budget,
        test_parts.test_probe_budgets_of_all_entries_stay_within_the_whole,
    ),
    (ignore_leaving, test_parts.test_a_leaving_upstream_gets_nothing_new),
    (ignore_deadlines, run_dispatch),
    (
        eject_without_limit,
        test_parts.test_at_most_a_third_is_ejected,
    ),
]


@pytest.mark.parametrize(
    ("mutate", "proof"), MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_mutant_turns_its_proof_red(monkeypatch, mutate, proof):
    mutate(monkeypatch)
    failures = (AssertionError, ExceptionGroup, TimeoutError)
    with pytest.raises(failures):
        proof()
