"""Mutants of tenants and quotas: each must make its test fail."""

from __future__ import annotations

import pytest

from sesamevale.callers import caller_keys
from sesamevale.forwarding import router
from sesamevale.policy.configuration import credentials
from tests import test_gateway_mutants
from tests.callers import test_tenants
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


MUTANTS = [
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
