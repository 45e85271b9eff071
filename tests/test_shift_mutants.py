"""Mutants of moving traffic: evacuations and cold upstreams.

Each disables a mechanism, and its test must fail.
"""

from __future__ import annotations

import pytest
from hypothesis import stateful

from sesamevale.policy.admission import rate_shares
from sesamevale.policy.balancing import upstream_openings
from sesamevale.policy.balancing import warmup_shares
from sesamevale.policy.membership import evacuations
from sesamevale.policy.membership import shared_state
from tests.builders import hypothesis_settings
from tests.policy.balancing import test_shift_patterns
from tests.policy.balancing import test_warmup_shares
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


def run_warmup_machine():
    run_machine(test_warmup_shares.WarmupMachine)


def turn_forty_cold():
    test_warmup_shares.test_forty_upstreams_that_turn_cold_at_once_get_what_they_tolerate(
        58
    )


def limit_no_cold_upstream(monkeypatch):
    monkeypatch.setattr(warmup_shares.WarmupShares, "_implied", lambda self: ())


def never_look(monkeypatch):
    monkeypatch.setattr(
        warmup_shares.WarmupShares, "must_look", lambda self, record, now: False
    )


def count_no_requests_to_cold_upstreams(monkeypatch):
    monkeypatch.setattr(
        warmup_shares.WarmupShares,
        "record_request",
        lambda self, record, now: None,
    )


def give_all_entries_a_whole_share(monkeypatch):
    monkeypatch.setattr(
        rate_shares.RateShares,
        "_share_of",
        lambda self, record, limit, is_stale: limit.per_second,
    )


def never_doubt(monkeypatch):
    monkeypatch.setattr(
        warmup_shares.WarmupShares,
        "record_unanswered",
        lambda self, instance, now: None,
    )


def let_records_end_coldness(monkeypatch):
    def record_discovered(self, records, now):
        for record in records:
            instance = warmup_shares.upstream_signals.instance_of(record)
            if not record.warmup_s and instance in self._cold_until:
                self._end(instance, now)
        return []

    monkeypatch.setattr(
        warmup_shares.WarmupShares, "record_discovered", record_discovered
    )


def never_end_coldness(monkeypatch):
    monkeypatch.setattr(
        warmup_shares.WarmupShares, "_end", lambda self, instance, now: None
    )


def ignore_coldness_in_the_choice(monkeypatch):
    monkeypatch.setattr(
        upstream_openings.Openings,
        "select_open",
        lambda self, candidates, now: candidates,
    )


MUTANTS = [
    (limit_no_cold_upstream, turn_forty_cold),
    (never_look, turn_forty_cold),
    (
        ignore_coldness_in_the_choice,
        test_shift_patterns.test_upstreams_that_turn_cold_where_traffic_has_just_moved_to_hold,
    ),
    (
        never_doubt,
        test_warmup_shares.test_an_upstream_that_answers_no_look_gets_no_more_than_a_cold_one,
    ),
    (count_no_requests_to_cold_upstreams, run_warmup_machine),
    (give_all_entries_a_whole_share, turn_forty_cold),
    (
        let_records_end_coldness,
        test_warmup_shares.test_a_record_tells_of_coldness_but_never_of_its_end,
    ),
    (
        never_end_coldness,
        test_warmup_shares.test_a_sample_ends_coldness_and_an_answer_to_a_request_does_not,
    ),
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
