"""Mutants of moving traffic: evacuations and cold upstreams.

Each disables a mechanism, and its test must fail.
"""

from __future__ import annotations

import pytest
from hypothesis import stateful

from sesamevale.policy.membership import evacuations
from sesamevale.policy.membership import shared_state
from tests.builders import hypothesis_settings
from tests.policy.membership import test_evacuations_machine


def run_machine(machine):
    stateful.run_state_machine_as_test(
        machine, settings=hypothesis_settings.machine_settings(60, 30)
    )


def run_evacuations_machine():
    run_machine(test_evacuations_machine.EvacuationsMachine)


def use_evacuated_upstreams(monkeypatch):
    monkeypatch.setattr(
        evacuations.Evacuations, "select_usable", lambda self, records: records
    )


def never_take_back(monkeypatch):
    original = evacuations.Evacuations.record_read

    def record_read(self, data_centers, now):
        return original(self, {*data_centers, *self.data_centers}, now)

    monkeypatch.setattr(evacuations.Evacuations, "record_read", record_read)


def pass_on_no_end_of_evacuations(monkeypatch):
    original = shared_state.SharedState.changes_since

    def changes_since(self, epoch, revision, now):
        update = original(self, epoch, revision, now)
        if update is None or update.is_full:
            return update
        return shared_state.dataclasses.replace(
            update, evacuated=update.evacuated or None
        )

    monkeypatch.setattr(
        shared_state.SharedState, "changes_since", changes_since
    )


MUTANTS = [
    (use_evacuated_upstreams, run_evacuations_machine),
    (never_take_back, run_evacuations_machine),
    (
        pass_on_no_end_of_evacuations,
        test_evacuations_machine.test_the_end_of_an_evacuation_is_passed_on,
    ),
]


@pytest.mark.parametrize(
    ("mutate", "proof"), MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_mutant_turns_its_proof_red(monkeypatch, mutate, proof):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        proof()
