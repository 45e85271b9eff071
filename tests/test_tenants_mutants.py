"""Mutants of tenants and quotas: each must make its test fail."""

from __future__ import annotations

import math

import pytest

from sesamevale.callers import caller_keys
from sesamevale.forwarding import permits
from sesamevale.forwarding import router
from sesamevale.policy.admission import quota_allocator
from sesamevale.policy.admission import quota_members
from sesamevale.policy.admission import quota_shares
from sesamevale.policy.admission import tenant_use
from sesamevale.policy.configuration import credentials
from tests import test_gateway_mutants
from tests.callers import test_tenants
from tests.entries import test_quota_exchange
from tests.forwarding import test_permits
from tests.policy.admission import test_quota_loads
from tests.policy.admission import test_quota_shares
from tests.policy.admission import test_quotas_machine
from tests.policy.configuration import test_credentials


def run_credentials_machine() -> None:
    test_gateway_mutants.run_machine(test_credentials.CredentialsMachine)


def accept_any_key(monkeypatch) -> None:
    def holder_of(self, digest):
        return next(iter(self._owners.values()), None)

    monkeypatch.setattr(credentials.Credentials, "holder_of", holder_of)


def keep_withdrawn_keys(monkeypatch) -> None:
    monkeypatch.setattr(
        credentials.Credentials, "still_allows", lambda self, digest: True
    )


def pass_the_key_upstream(monkeypatch) -> None:
    monkeypatch.setattr(
        caller_keys,
        "forwarded_fields",
        lambda headers, dialect, identity: headers,
    )


def keep_the_tenant_of_the_caller(monkeypatch) -> None:
    replace = caller_keys.forwarded_fields

    def keep(headers, dialect, identity):
        named = tuple(each for each in headers if each[0] == dialect.tenant)
        return replace(headers, dialect, identity) + named

    monkeypatch.setattr(caller_keys, "forwarded_fields", keep)


def accept_keys_for_ever(monkeypatch) -> None:
    monkeypatch.setattr(
        router.RequestRouter, "accepts_keys", lambda self, now: True
    )


def deny_by_old_configurations(monkeypatch) -> None:
    monkeypatch.setattr(
        router.RequestRouter, "is_confirmed", lambda self, now: True
    )


def run_unconfirmed() -> None:
    test_tenants.test_a_key_that_may_be_known_elsewhere_is_not_denied(
        test_tenants.view(confirmed_at=-1000.0), "Authorization: Bearer key-c"
    )


def run_quotas_machine() -> None:
    test_gateway_mutants.run_machine(test_quotas_machine.QuotasMachine)


def start_with_full_buckets(monkeypatch) -> None:
    monkeypatch.setattr(
        quota_shares.Share,
        "start_tokens",
        property(lambda self: 2.0 * self.capacity),
    )


def use_room_without_withdrawing_it(monkeypatch) -> None:
    monkeypatch.setattr(
        tenant_use.TenantUse, "withdraw", lambda self, count, now: count
    )


def let_all_entries_hold_a_full_share(monkeypatch) -> None:
    monkeypatch.setattr(
        quota_shares,
        "choose_holders",
        lambda name, entry_ids, count: tuple(entry_ids),
    )


def replace_departed_holders_at_once(monkeypatch) -> None:
    monkeypatch.setattr(quota_members, "DEPARTED_S", 0.0)


def join_before_others_know(monkeypatch) -> None:
    monkeypatch.setattr(quota_members, "JOIN_S", 0.0)


def use_permits_of_any_age(monkeypatch) -> None:
    covers = permits.Permits.covers

    def cover_always(self, active_request, now):
        return covers(self, active_request, -math.inf)

    monkeypatch.setattr(permits.Permits, "covers", cover_always)


def call_all_back_at_the_same_time(monkeypatch) -> None:
    monkeypatch.setattr(
        tenant_use.TenantUse, "next_return_s", lambda self, window_s, now: 1.0
    )
    monkeypatch.setattr(quota_allocator, "RETURN_SPREAD", 0.0)


def wait_for_lost_answers(monkeypatch) -> None:
    monkeypatch.setattr(quota_allocator, "ASK_TIMEOUT_S", 10.0)


def ask_no_other_entries(monkeypatch) -> None:
    monkeypatch.setattr(quota_allocator, "ASK_TRIES_MAX", 0)


def admit_all_requests(monkeypatch) -> None:
    monkeypatch.setattr(
        permits.Permits, "admits", lambda self, active_request: True
    )


def take_expired_permits_back(monkeypatch) -> None:
    give_back = tenant_use.TenantUse.give_back
    monkeypatch.setattr(
        tenant_use.TenantUse,
        "give_back",
        lambda self, until, now: give_back(self, math.inf, now),
    )


def count_ended_requests_among_the_waiting(monkeypatch) -> None:
    monkeypatch.setattr(
        permits.Permits, "_dismiss", lambda self, active_request: None
    )


def send_without_permits(monkeypatch) -> None:
    monkeypatch.setattr(
        permits.Permits, "covers", lambda self, active_request, now: True
    )


def use_a_permit_for_all_attempts(monkeypatch) -> None:
    monkeypatch.setattr(
        permits.Permits, "spend", lambda self, active_request: None
    )


def use_up_permits_of_rejected_attempts(monkeypatch) -> None:
    monkeypatch.setattr(
        permits.Permits,
        "attempt_ended",
        lambda self, active_request, result: None,
    )


def keep_unused_permits(monkeypatch) -> None:
    monkeypatch.setattr(
        permits.Permits, "give_back", lambda self, active_request: None
    )


MUTANTS = [
    (
        start_with_full_buckets,
        test_quota_shares.test_all_buckets_together_stay_within_the_bound,
    ),
    (use_room_without_withdrawing_it, run_quotas_machine),
    (
        let_all_entries_hold_a_full_share,
        test_quota_loads.test_holders_that_are_cut_off_from_the_store_are_not_replaced_soon,
    ),
    (
        replace_departed_holders_at_once,
        test_quota_loads.test_holders_that_are_cut_off_from_the_store_are_not_replaced_soon,
    ),
    (
        join_before_others_know,
        test_quota_loads.test_entries_that_start_together_do_not_each_take_the_whole_quota,
    ),
    (
        use_permits_of_any_age,
        test_permits.test_a_request_whose_permit_has_expired_needs_another,
    ),
    (
        call_all_back_at_the_same_time,
        test_quota_loads.test_refused_callers_return_one_after_the_other,
    ),
    (wait_for_lost_answers, run_quotas_machine),
    (
        ask_no_other_entries,
        test_quota_loads.test_many_small_tenants_over_many_entries_are_let_through,
    ),
    (
        admit_all_requests,
        test_permits.test_a_request_over_the_quota_is_refused_at_once,
    ),
    (
        take_expired_permits_back,
        test_quota_exchange.test_an_expired_permit_cannot_be_returned,
    ),
    (
        count_ended_requests_among_the_waiting,
        lambda: (
            test_permits.test_an_admitted_request_that_is_sent_or_ends_no_longer_waits(
                0
            )
        ),
    ),
    (
        send_without_permits,
        test_permits.test_a_request_that_waited_is_refused_if_its_quota_is_used_up,
    ),
    (
        use_a_permit_for_all_attempts,
        test_permits.test_each_attempt_needs_a_permit,
    ),
    (
        use_up_permits_of_rejected_attempts,
        lambda: (
            test_permits.test_an_attempt_that_no_upstream_ran_uses_up_no_permit(
                "/read/1"
            )
        ),
    ),
    (
        keep_unused_permits,
        test_permits.test_permits_of_requests_that_are_not_sent_are_returned,
    ),
    (
        keep_withdrawn_keys,
        test_quota_exchange.test_a_withdrawn_key_gets_no_permit,
    ),
    (accept_any_key, run_credentials_machine),
    (keep_withdrawn_keys, run_credentials_machine),
    (
        pass_the_key_upstream,
        test_tenants.test_the_upstream_learns_the_tenant_and_not_the_key,
    ),
    (
        keep_the_tenant_of_the_caller,
        test_tenants.test_a_caller_cannot_name_its_tenant,
    ),
    (
        accept_keys_for_ever,
        test_tenants.test_keys_expire_at_an_entry_that_is_cut_off_from_the_store,
    ),
    (deny_by_old_configurations, run_unconfirmed),
]


@pytest.mark.parametrize(
    ("mutate", "proof"), MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_mutant_turns_its_proof_red(monkeypatch, mutate, proof):
    mutate(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup, TimeoutError)):
        proof()
