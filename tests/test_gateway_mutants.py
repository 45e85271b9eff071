"""Mutants of the gateway: without a mechanism, its proof turns red."""

from __future__ import annotations

import pytest
from hypothesis import stateful

from sesamevale import http1
from sesamevale.entries import state_reader
from sesamevale.forwarding import service_task
from sesamevale.platform import store_client
from sesamevale.policy import active_configuration
from sesamevale.policy import discovered_upstreams
from sesamevale.policy import forwarding
from sesamevale.policy import load_sampling
from sesamevale.policy import read_scheduling
from sesamevale.policy import retry_budget
from sesamevale.policy import shared_state
from sesamevale.policy import upstream_state
from sesamevale.upstreams import http_link
from tests.builders import hypothesis_settings
from tests.entries import test_state_reader
from tests.forwarding import test_service_task
from tests.platform import test_source
from tests.policy import test_discovered_upstreams
from tests.policy import test_forwarding_machine
from tests.policy import test_load_sampling
from tests.policy import test_reading
from tests.policy import test_retry_budget_machine
from tests.policy import test_routes
from tests.policy import test_shared_state_machine


def run_machine(machine) -> None:
    settings = hypothesis_settings.machine_settings(200, 40)
    stateful.run_state_machine_as_test(machine, settings=settings)


def forget_that_it_may_have_run(monkeypatch) -> None:
    def refuse(self):
        return forwarding.Refuse(self.reason)

    monkeypatch.setattr(forwarding.Progress, "give_up", refuse)


def repeat_what_must_not_run_twice(monkeypatch) -> None:
    def again(self):
        return forwarding.Retry(uses_budget=True)

    monkeypatch.setattr(forwarding.Progress, "give_up", again)


def take_the_whole_budget(monkeypatch) -> None:
    def spend(self, now):
        self.record_retry(now)
        return True

    monkeypatch.setattr(retry_budget.RetryBudget, "try_spend", spend)


def forget_fences(monkeypatch) -> None:
    monkeypatch.setattr(
        discovered_upstreams, "_is_older", lambda entry, known: False
    )
    monkeypatch.setattr(
        discovered_upstreams, "_is_new_start", lambda entry, known: True
    )


def drop_lapsed_entries_at_once(monkeypatch) -> None:
    monkeypatch.setattr(discovered_upstreams, "RETURN_GRACE_S", 0.0)


def take_any_version(monkeypatch) -> None:
    def offer(self, found, now):
        self._current = found
        return True

    monkeypatch.setattr(
        active_configuration.ActiveConfiguration, "offer", offer
    )


def take_an_unsampled_upstream_for_calm(monkeypatch) -> None:
    monkeypatch.setattr(load_sampling, "INITIAL_AVERAGE_SLOWDOWN", 1.0)


def take_a_full_upstream_for_calm(monkeypatch) -> None:
    monkeypatch.setattr(
        upstream_state.Candidate, "has_free_slot", lambda self, now: True
    )


def trust_any_answer(monkeypatch) -> None:
    found = http1.get_header

    def get_header(headers, name):
        value = found(headers, name)
        if name == b"x-response-signature":
            return value or b"any"
        return None if name == b"content-encoding" else value

    monkeypatch.setattr(http_link.http1, "get_header", get_header)


def forget_that_it_was_sent(monkeypatch) -> None:
    monkeypatch.setattr(
        http_link.HttpLink, "has_sent", property(lambda self: False)
    )


def take_the_deadline_before_the_answer(monkeypatch) -> None:
    monkeypatch.setattr(
        http_link.HttpLink, "has_result", property(lambda self: False)
    )


def leave_cancelled_reads_alone(monkeypatch) -> None:
    monkeypatch.setattr(
        service_task.ServiceTask,
        "_stop_attempt",
        lambda self, active_request: False,
    )


def never_read_instead_of_the_reader(monkeypatch) -> None:
    monkeypatch.setattr(read_scheduling, "STALE_SHARE", 1000.0)


def pass_no_removals_on(monkeypatch) -> None:
    kept = shared_state.Mirror.apply

    def apply(self, update):
        before = dict(self._upstreams)
        contents = kept(self, update)
        self._upstreams = before | self._upstreams
        if contents is None:
            return None
        return shared_state.StoreContents(
            contents.configuration,
            tuple(self._upstreams.values()),
            contents.peers,
        )

    monkeypatch.setattr(shared_state.Mirror, "apply", apply)


def believe_that_a_large_configuration_stays(monkeypatch) -> None:
    async def unchanged(self, known):
        return store_client.Unchanged()

    monkeypatch.setattr(store_client.StoreClient, "refresh", unchanged)


def ask_no_seeds(monkeypatch) -> None:
    async def nothing(self):
        pass

    monkeypatch.setattr(state_reader.StateReader, "_ask_seeds", nothing)


def first_row(test, *arguments):
    return lambda: test(*arguments)


PROMISES = test_forwarding_machine.test_promises_hold_for_every_course
SPOILT = test_service_task.test_a_spoilt_answer_is_never_passed_on
UNSIGNED = test_service_task.ScriptedAnswer(signed=False)

MUTANTS = [
    (forget_that_it_may_have_run, PROMISES),
    (repeat_what_must_not_run_twice, PROMISES),
    (
        take_the_whole_budget,
        lambda: run_machine(test_retry_budget_machine.BudgetMachine),
    ),
    (
        forget_fences,
        test_discovered_upstreams.test_a_late_heartbeat_does_not_bring_a_leaving_upstream_back,
    ),
    (
        drop_lapsed_entries_at_once,
        test_discovered_upstreams.test_lapsed_entries_are_kept_right_after_an_outage,
    ),
    (
        take_any_version,
        test_routes.test_the_version_in_force_never_goes_down,
    ),
    (
        take_an_unsampled_upstream_for_calm,
        test_load_sampling.test_an_unsampled_upstream_is_not_taken_for_calm,
    ),
    (
        take_a_full_upstream_for_calm,
        test_load_sampling.test_a_request_that_can_be_in_time_waits_for_a_slot,
    ),
    (trust_any_answer, first_row(SPOILT, UNSIGNED)),
    (
        forget_that_it_was_sent,
        test_service_task.test_a_charge_in_time_out_may_have_run,
    ),
    (
        take_the_deadline_before_the_answer,
        test_service_task.test_an_answer_that_is_there_at_the_deadline_is_delivered,
    ),
    (
        leave_cancelled_reads_alone,
        test_service_task.test_a_read_that_nobody_waits_for_is_cancelled_at_the_upstream,
    ),
    (
        never_read_instead_of_the_reader,
        test_reading.test_knowledge_is_never_older_than_the_bound,
    ),
    (
        pass_no_removals_on,
        lambda: run_machine(test_shared_state_machine.MirrorMachine),
    ),
    (
        believe_that_a_large_configuration_stays,
        test_source.test_a_change_of_a_large_configuration_is_in_the_next_read,
    ),
    (
        ask_no_seeds,
        test_state_reader.test_an_entry_that_starts_without_the_store_asks_the_seeds,
    ),
]


@pytest.mark.parametrize(
    ("mutate", "proof"), MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_mutant_turns_its_proof_red(monkeypatch, mutate, proof):
    mutate(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup, TimeoutError)):
        proof()
