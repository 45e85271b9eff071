"""Mutants of the work with the store: each proof must fail with its mutant."""

from __future__ import annotations

import pytest

from sesamevale.entries import state_reader
from sesamevale.policy.membership import store_view
from tests.entries import test_store_absence
from tests.policy.membership import test_store_view


def take_any_gap_for_an_outage(monkeypatch) -> None:
    monkeypatch.setattr(
        store_view.StoreView, "_stood_still", lambda *arguments: True
    )


def never_see_the_store_away(monkeypatch) -> None:
    monkeypatch.setattr(
        store_view.StoreView, "_stood_still", lambda *arguments: False
    )


def let_the_grace_outlast_contact(monkeypatch) -> None:
    monkeypatch.setattr(store_view, "GRACE_AFTER_FAILURE_S", 100.0)
    monkeypatch.setattr(store_view, "RETURN_GRACE_S", 4.0)


def end_the_grace_with_a_read(monkeypatch) -> None:
    monkeypatch.setattr(
        state_reader.StateReader, "_end_grace", lambda self: None
    )


MUTANTS = [
    (
        take_any_gap_for_an_outage,
        test_store_view.test_an_entry_that_was_cut_off_gives_no_time,
    ),
    (
        never_see_the_store_away,
        test_store_view.test_a_store_that_was_away_gives_missing_upstreams_time_to_return,
    ),
    (
        let_the_grace_outlast_contact,
        test_store_view.test_a_store_that_was_away_gives_missing_upstreams_time_to_return,
    ),
    (
        end_the_grace_with_a_read,
        test_store_absence.test_the_grace_after_an_outage_ends_by_a_timer,
    ),
]


@pytest.mark.parametrize(
    ("mutate", "proof"), MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_mutant_turns_its_proof_red(monkeypatch, mutate, proof):
    mutate(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup, TimeoutError)):
        proof()
