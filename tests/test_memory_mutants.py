"""Mutants of the memory account and of what asks it for room."""

from __future__ import annotations

import sys

import pytest
from hypothesis import stateful

from sesamevale import bodies
from sesamevale.callers import body_reader
from sesamevale.policy.admission import memory_account
from sesamevale.policy.admission import memory_limits
from tests import test_bodies
from tests.builders import hypothesis_settings
from tests.callers import test_body_reader
from tests.policy.admission import test_memory_account

Account = memory_account.MemoryAccount
Holding = memory_account.Holding


def run_machine() -> None:
    settings = hypothesis_settings.machine_settings(200, 40)
    stateful.run_state_machine_as_test(
        test_memory_account.AccountMachine, settings=settings
    )


def admit_whatever_comes(monkeypatch) -> None:
    monkeypatch.setattr(Account, "_make_room", lambda *_, **__: True)


def keep_what_ended(monkeypatch) -> None:
    monkeypatch.setattr(Account, "_forget", lambda *_: None)


def turn_nobody_away(monkeypatch) -> None:
    monkeypatch.setattr(Account, "_candidates", lambda *_: [])


def turn_requests_away_that_may_run(monkeypatch) -> None:
    original = Account._note_phase

    def note(self, holding):
        original(self, holding)
        if holding.is_open:
            self._waiting.add(holding)

    monkeypatch.setattr(Account, "_note_phase", note)


def count_any_byte_as_progress(monkeypatch) -> None:
    monkeypatch.setattr(memory_account, "PROGRESS_BYTES", 1)


def forget_priorities(monkeypatch) -> None:
    original = Account._candidates
    monkeypatch.setattr(
        Account,
        "_candidates",
        lambda self, priority, now: original(self, 9, now),
    )


def keep_no_room_for_small_requests(monkeypatch) -> None:
    monkeypatch.setattr(memory_limits, "SMALL_SHARE", 0.0)


def give_out_all_memory(monkeypatch) -> None:
    monkeypatch.setattr(memory_limits, "GIVEN_OUT_SHARE", 2.0)


def use_all_descriptors_for_callers(monkeypatch) -> None:
    monkeypatch.setattr(memory_limits, "CALLER_SHARE", 1.0)


def read_bodies_without_giving_turns(monkeypatch) -> None:
    monkeypatch.setattr(body_reader, "EVENTS_PER_TURN", sys.maxsize)


def hold_bodies_without_a_claim(monkeypatch) -> None:
    monkeypatch.setattr(body_reader, "INCLUDED_BYTES", sys.maxsize)


def keep_released_bodies(monkeypatch) -> None:
    monkeypatch.setattr(bodies.BodyBuffer, "release", lambda self: None)


MUTANTS = [
    (
        read_bodies_without_giving_turns,
        test_body_reader.test_tiny_chunks_leave_turns_to_other_tasks,
    ),
    (
        hold_bodies_without_a_claim,
        test_body_reader.test_a_body_without_room_is_refused_before_it_is_read,
    ),
    (keep_released_bodies, test_bodies.test_a_released_body_holds_nothing),
    (admit_whatever_comes, run_machine),
    (keep_what_ended, run_machine),
    (
        turn_nobody_away,
        test_memory_account.test_stalled_bodies_give_way_to_one_that_arrives,
    ),
    (
        turn_requests_away_that_may_run,
        test_memory_account.test_a_request_that_may_run_never_gives_way,
    ),
    (
        count_any_byte_as_progress,
        test_memory_account.test_a_trickle_is_no_progress,
    ),
    (
        forget_priorities,
        test_memory_account.test_a_body_gives_way_to_a_more_urgent_one,
    ),
    (
        keep_no_room_for_small_requests,
        test_memory_account.test_a_small_request_finds_room_beside_large_ones,
    ),
    (
        give_out_all_memory,
        lambda: (
            test_memory_account.test_a_machine_has_room_for_the_longest_body_beside_its_process(
                690
            )
        ),
    ),
    (
        use_all_descriptors_for_callers,
        lambda: (
            test_memory_account.test_connections_and_requests_stay_within_the_descriptors(
                500
            )
        ),
    ),
]


@pytest.mark.parametrize(
    ("mutate", "proof"), MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_mutant_turns_its_proof_red(monkeypatch, mutate, proof):
    mutate(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup)):
        proof()
