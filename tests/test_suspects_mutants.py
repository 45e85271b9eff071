"""Mutants of the suspicions: each disables a mechanism, and its test fails."""

from __future__ import annotations

import pytest

from sesamevale.entries import suspicion_exchange
from sesamevale.forwarding import inquiries
from sesamevale.policy.admission import suspects
from sesamevale.policy.membership import rumors
from tests.entries import test_suspicion_exchange
from tests.forwarding import test_crashing_requests
from tests.policy.admission import test_deadly_patterns
from tests.policy.admission import test_suspects
from tests.policy.admission import test_suspects_machine
from tests.policy.membership import test_rumors


def suspect_nobody(monkeypatch) -> None:
    monkeypatch.setattr(
        inquiries.Inquiries, "_record_end", lambda self, *found: None
    )


def suspect_all_that_is_cut(monkeypatch) -> None:
    async def is_listening(host, port):
        return False

    monkeypatch.setattr(inquiries.liveness, "is_listening", is_listening)


def refuse_attempts_that_may_have_run(monkeypatch) -> None:
    def give_up(self, attempt, is_listening):
        return inquiries.forwarding.Refuse(inquiries.outcomes.Reason.SUSPECT)

    monkeypatch.setattr(inquiries.Inquiries, "_decide", give_up)


def hear_nothing(monkeypatch) -> None:
    monkeypatch.setattr(
        inquiries.Inquiries, "hear", lambda self, suspicions: None
    )


def tell_nobody(monkeypatch) -> None:
    monkeypatch.setattr(
        suspicion_exchange.SuspicionExchange, "find", lambda *_: None
    )


def never_clear(monkeypatch) -> None:
    monkeypatch.setattr(suspects.Suspects, "_clear", lambda *_: False)


def blame_all_that_ran(monkeypatch) -> None:
    monkeypatch.setattr(suspects.Suspects, "_blames", lambda *_: True)


def blame_without_ends_in_common(monkeypatch) -> None:
    monkeypatch.setattr(suspects, "DEATHS_MAX", 100)
    monkeypatch.setattr(suspects, "SHARED_DEATHS_MAX", 100)


def try_again_all_at_once(monkeypatch) -> None:
    monkeypatch.setattr(suspects.Suspects, "_turn_of", lambda *_: 0.0)


def see_no_attack(monkeypatch) -> None:
    monkeypatch.setattr(suspects, "KIND_CULPRITS_MAX", 10_000)


def try_any_number_at_once(monkeypatch) -> None:
    monkeypatch.setattr(suspects.Suspects, "begin_trial", lambda *_: None)


def pass_nothing_on(monkeypatch) -> None:
    original = rumors.Rumors.add

    def add(self, found, *, is_own):
        fresh = original(self, found, is_own=is_own)
        if not is_own:
            self._news.clear()
        return fresh

    monkeypatch.setattr(rumors.Rumors, "add", add)
    monkeypatch.setattr(rumors, "REPEATED_AGE_MAX_S", -1.0)


def send_all_far(monkeypatch) -> None:
    original = rumors.Rumors.add

    def add(self, found, *, is_own):
        return original(self, found, is_own=True)

    monkeypatch.setattr(rumors.Rumors, "add", add)


MUTANTS = [
    (
        suspect_nobody,
        test_crashing_requests.test_a_request_that_crashes_its_upstreams_is_not_sent_on_and_on,
    ),
    (
        suspect_all_that_is_cut,
        test_crashing_requests.test_an_upstream_that_resets_connections_raises_no_suspicion,
    ),
    (
        refuse_attempts_that_may_have_run,
        test_crashing_requests.test_an_attempt_that_may_have_run_is_not_refused,
    ),
    (
        hear_nothing,
        test_crashing_requests.test_the_suspicion_is_known_at_other_entries,
    ),
    (
        tell_nobody,
        test_suspicion_exchange.test_a_suspicion_reaches_an_entry_of_another_data_center,
    ),
    (
        never_clear,
        test_suspects_machine.test_suspicions_follow_from_what_happened,
    ),
    (
        blame_all_that_ran,
        test_suspects_machine.test_suspicions_follow_from_what_happened,
    ),
    (
        blame_without_ends_in_common,
        lambda: test_deadly_patterns.test_one_deadly_thing_ends_few_upstreams(
            0.03, 1
        ),
    ),
    (
        try_again_all_at_once,
        test_suspects.test_entries_try_a_request_again_one_after_the_other,
    ),
    (
        see_no_attack,
        lambda: test_deadly_patterns.test_each_deadly_thing_ends_few_upstreams(
            0.03, 3
        ),
    ),
    (
        try_any_number_at_once,
        test_suspects.test_one_attempt_of_a_suspect_runs_at_a_time,
    ),
    (
        pass_nothing_on,
        lambda: (
            test_rumors.test_nearly_all_entries_hear_of_an_end_from_few_messages(
                58
            )
        ),
    ),
    (send_all_far, test_rumors.test_only_the_finder_tells_other_data_centers),
]


@pytest.mark.parametrize(
    ("mutate", "proof"), MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_mutant_turns_its_proof_red(monkeypatch, mutate, proof):
    mutate(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup, TimeoutError)):
        proof()
