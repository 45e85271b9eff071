"""Mutants of the work with the store: each proof must fail with its mutant."""

from __future__ import annotations

import math

import pytest
from hypothesis import stateful

from sesamevale.entries import state_reader
from sesamevale.platform import decoding
from sesamevale.platform import store_client
from sesamevale.policy.membership import entry_count
from sesamevale.policy.membership import own_registration
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.membership import shared_state
from sesamevale.policy.membership import store_view
from sesamevale.policy.signals import discovered_upstreams
from tests.builders import hypothesis_settings
from tests.entries import test_store_absence
from tests.platform import test_store
from tests.platform import test_store_reader
from tests.policy import test_routes
from tests.policy.membership import test_drills_machine
from tests.policy.membership import test_entry_count
from tests.policy.membership import test_own_registration_machine
from tests.policy.membership import test_shared_state_machine
from tests.policy.membership import test_store_view


def take_any_gap_for_an_outage(monkeypatch) -> None:
    monkeypatch.setattr(
        store_view.StoreView, "_have_lapsed", lambda *arguments: True
    )


def never_see_the_store_away(monkeypatch) -> None:
    monkeypatch.setattr(
        store_view.StoreView, "_have_lapsed", lambda *arguments: False
    )


def count_any_lapse(monkeypatch) -> None:
    monkeypatch.setattr(store_view, "RETURNED_LOWEST", 1)
    monkeypatch.setattr(store_view, "RETURNED_SHARE", 0.0)


def let_the_grace_outlast_contact(monkeypatch) -> None:
    monkeypatch.setattr(store_view, "GRACE_AFTER_FAILURE_S", 100.0)
    monkeypatch.setattr(store_view, "RETURN_GRACE_S", 4.0)


def end_the_grace_with_a_read(monkeypatch) -> None:
    monkeypatch.setattr(
        state_reader.StateReader, "_end_grace", lambda self: None
    )


def run_registration_machine() -> None:
    settings = hypothesis_settings.machine_settings(200, 40)
    stateful.run_state_machine_as_test(
        test_own_registration_machine.RegistrationMachine, settings=settings
    )


def run_drill_machine() -> None:
    settings = hypothesis_settings.machine_settings(200, 40)
    stateful.run_state_machine_as_test(
        test_drills_machine.DrillMachine, settings=settings
    )


def never_look_at_the_own_registration(monkeypatch) -> None:
    monkeypatch.setattr(
        own_registration.OwnRegistration,
        "record_read",
        lambda self, found, era, read_at, now: self.record_era(era, now),
    )


def write_over_later_processes(monkeypatch) -> None:
    original = own_registration.OwnRegistration._compare

    def compare(self, found):
        original(self, found)
        self._is_taken = False

    monkeypatch.setattr(own_registration.OwnRegistration, "_compare", compare)


def keep_leases_of_earlier_eras(monkeypatch) -> None:
    def record_era(self, era, now):
        self._era = max(era, self._era)

    monkeypatch.setattr(
        own_registration.OwnRegistration, "record_era", record_era
    )


def judge_by_reads_before_the_last_change(monkeypatch) -> None:
    original = own_registration.OwnRegistration.record_read

    def record_read(self, found, era, read_at, now):
        self._changed_at = -math.inf
        original(self, found, era, read_at, now)

    monkeypatch.setattr(
        own_registration.OwnRegistration, "record_read", record_read
    )


def write_without_condition(monkeypatch) -> None:
    original = store_client.StoreClient._call

    async def call(self, method, path, query=None, body=None):
        if body and body.get("writes"):
            body = body | {"precondition": []}
        return await original(self, method, path, query, body)

    monkeypatch.setattr(store_client.StoreClient, "_call", call)


def divide_as_if_everybody_counted(monkeypatch) -> None:
    monkeypatch.setattr(entry_count, "DOUBT_FACTOR", 1)


def judge_reads_by_time_alone(monkeypatch) -> None:
    def is_newer(era, read_at, known_era, known_read_at):
        return known_read_at is None or read_at > known_read_at

    monkeypatch.setattr(store_view, "is_newer", is_newer)


def take_copied_upstreams_back(monkeypatch) -> None:
    monkeypatch.setattr(
        discovered_upstreams, "_may_be_copied", lambda *arguments: False
    )


def cache_by_revision_alone(monkeypatch) -> None:
    original = decoding.Decoder.decode
    monkeypatch.setattr(
        decoding.Decoder,
        "decode",
        lambda self, items, era=0: original(self, items),
    )


def count_entries_of_earlier_eras(monkeypatch) -> None:
    monkeypatch.setattr(registered_peers, "_is_of_era", lambda *arguments: True)


def pass_older_configurations_on(monkeypatch) -> None:
    monkeypatch.setattr(
        shared_state.SharedState, "_record_era", lambda self, era: None
    )


def forget_evacuations_with_the_store(monkeypatch) -> None:
    monkeypatch.setattr(
        state_reader.StateReader,
        "_evacuated",
        property(lambda self: frozenset(), lambda self, value: None),
        raising=False,
    )


MUTANTS = [
    (
        judge_reads_by_time_alone,
        test_shared_state_machine.test_a_read_of_an_earlier_era_that_arrives_late_is_ignored,
    ),
    (take_copied_upstreams_back, run_drill_machine),
    (
        cache_by_revision_alone,
        test_store_reader.test_values_with_a_revision_given_out_again_are_decoded_again,
    ),
    (
        count_entries_of_earlier_eras,
        test_routes.test_registrations_of_an_earlier_era_do_not_count,
    ),
    (
        pass_older_configurations_on,
        test_shared_state_machine.test_a_configuration_does_not_go_back_with_the_store,
    ),
    (
        forget_evacuations_with_the_store,
        test_store_absence.test_an_evacuation_that_the_store_lost_holds_for_the_grace,
    ),
    (never_look_at_the_own_registration, run_registration_machine),
    (
        write_over_later_processes,
        test_own_registration_machine.test_a_later_process_of_the_entry_is_left_alone,
    ),
    (
        keep_leases_of_earlier_eras,
        test_own_registration_machine.test_a_lease_is_not_kept_over_a_change_of_the_era,
    ),
    (
        judge_by_reads_before_the_last_change,
        test_own_registration_machine.test_a_read_from_before_a_write_is_no_evidence,
    ),
    (
        write_without_condition,
        test_store.test_a_late_write_does_not_replace_a_later_registration,
    ),
    (
        divide_as_if_everybody_counted,
        test_entry_count.test_the_shares_of_all_entries_stay_within_the_budget,
    ),
    (
        take_any_gap_for_an_outage,
        test_store_view.test_an_entry_that_was_cut_off_gives_no_time,
    ),
    (
        never_see_the_store_away,
        test_store_view.test_a_store_that_was_away_gives_missing_upstreams_time_to_return,
    ),
    (
        count_any_lapse,
        test_store_view.test_a_single_upstream_that_lapsed_is_no_absence_of_the_store,
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
