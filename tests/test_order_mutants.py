"""Mutants of the order of service.

Each disables a mechanism, and its test must fail.
"""

from __future__ import annotations

import pytest
from hypothesis import stateful

from sesamevale.policy.admission import retry_budget
from sesamevale.policy.admission import service_order
from sesamevale.policy.balancing import upstream_state
from tests.builders import hypothesis_settings
from tests.policy.admission import test_retry_budget_machine
from tests.policy.admission import test_service_order
from tests.policy.balancing import test_order_patterns


def run_machine():
    stateful.run_state_machine_as_test(
        test_service_order.OrderMachine,
        settings=hypothesis_settings.machine_settings(60, 30),
    )


def serve_alike(monkeypatch) -> None:
    monkeypatch.setattr(service_order.ServiceOrder, "yields", lambda *_: False)


def starve_the_less_urgent(monkeypatch) -> None:
    monkeypatch.setattr(service_order, "SERVED_SHARE_MIN", 0.0)


def believe_old_reports(monkeypatch) -> None:
    monkeypatch.setattr(
        service_order.Pressure,
        "is_short",
        lambda self, now: self._is_short,
    )


def let_the_less_urgent_queue(monkeypatch) -> None:
    monkeypatch.setattr(
        upstream_state.Candidate, "has_spare_slot", lambda *_: True
    )


def hold_what_yields(monkeypatch) -> None:
    monkeypatch.setattr(service_order, "YIELDING_WAIT_SHARE", 0.5)


def keep_no_reserve(monkeypatch) -> None:
    monkeypatch.setattr(retry_budget, "RESERVED_SHARE", 0.0)


def keep_the_reserve_from_those_who_return(monkeypatch) -> None:
    original = service_order.ServiceOrder.may_use_reserve

    def may_use_reserve(self, standing, now):
        first = service_order.Standing(standing.priority)
        return original(self, first, now)

    monkeypatch.setattr(
        service_order.ServiceOrder, "may_use_reserve", may_use_reserve
    )


def urgent_in_time() -> None:
    test_order_patterns.test_urgent_requests_are_in_time_beside_too_many_others(
        45
    )


MUTANTS = [
    (serve_alike, run_machine),
    (serve_alike, urgent_in_time),
    (
        starve_the_less_urgent,
        test_service_order.test_a_few_urgent_requests_do_not_hold_up_a_starving_priority,
    ),
    (
        believe_old_reports,
        test_service_order.test_the_order_ends_with_the_reports,
    ),
    (let_the_less_urgent_queue, urgent_in_time),
    (
        hold_what_yields,
        test_order_patterns.test_what_is_refused_is_held_less_long,
    ),
    (
        keep_no_reserve,
        test_retry_budget_machine.test_part_of_the_budget_is_kept_for_what_costs_most_to_turn_away,
    ),
    (
        keep_the_reserve_from_those_who_return,
        test_service_order.test_the_reserve_is_for_the_urgent_and_for_those_who_returned,
    ),
]


@pytest.mark.parametrize(
    ("mutate", "proof"),
    MUTANTS,
    ids=[f"{number}-{each[0].__name__}" for number, each in enumerate(MUTANTS)],
)
def test_mutant_turns_its_proof_red(monkeypatch, mutate, proof):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        proof()
