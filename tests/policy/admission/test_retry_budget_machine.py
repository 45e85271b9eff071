"""Tests of the retry budget that several entries share in a window."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.admission import retry_budget

LIMITS = retry_budget.RetryBudgetLimits(ratio=0.2, extra=20.0, window_s=10.0)


def test_no_retry_is_allowed_without_a_budget():
    budget = retry_budget.RetryBudget(
        retry_budget.RetryBudgetLimits(0.0, 0.0, 10.0)
    )
    budget.record_request(0.0)
    assert not budget.try_spend(0.0)


def test_a_lower_entry_count_applies_a_window_later():
    budget = retry_budget.RetryBudget(LIMITS)
    budget.set_entry_count(4, 0.0)
    budget.set_entry_count(2, 5.0)
    assert budget.entry_count == 4
    budget.set_entry_count(2, 10.0)
    assert budget.entry_count == 2


def test_a_higher_entry_count_applies_at_once():
    budget = retry_budget.RetryBudget(LIMITS)
    budget.set_entry_count(2, 0.0)
    budget.set_entry_count(5, 0.1)
    assert budget.entry_count == 5


# Load: upstreams turn away half of what they get, so that the budget is short.
def test_part_of_the_budget_is_kept_for_what_costs_most_to_turn_away():
    budget = retry_budget.RetryBudget(LIMITS)
    for _ in range(200):
        budget.record_request(0.0)
    spent = 0
    while budget.try_spend(0.0, may_use_reserve=False):
        spent += 1
    kept = 0
    while budget.try_spend(0.0):
        kept += 1
    assert spent >= 1
    assert kept >= spent


class BudgetMachine(stateful.RuleBasedStateMachine):
    """The retries of all entries together stay within the limits."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.budgets = {}
        self.requests: list[float] = []
        self.retries: list[float] = []
        for name in "abc":
            self._start(name)

    def _start(self, name):
        self.budgets[name] = retry_budget.RetryBudget(LIMITS)
        for budget in self.budgets.values():
            budget.set_entry_count(3, self.now)

    @stateful.rule(seconds=strategies.floats(0.0, 4.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(
        name=strategies.sampled_from("abc"), count=strategies.integers(1, 20)
    )
    def request(self, name, count):
        for _ in range(count):
            self.budgets[name].record_request(self.now)
            self.requests.append(self.now)

    @stateful.rule(
        name=strategies.sampled_from("abc"),
        count=strategies.integers(1, 20),
        may_use_reserve=strategies.booleans(),
    )
    def retry(self, name, count, may_use_reserve):
        for _ in range(count):
            if self.budgets[name].try_spend(
                self.now, may_use_reserve=may_use_reserve
            ):
                self.retries.append(self.now)

    @stateful.invariant()
    def every_window_is_within_the_limits(self):
        for end in set(self.retries):
            window_start = end - LIMITS.window_s
            retries = sum(window_start < each <= end for each in self.retries)
            # A retry early in the window may use the allowance of requests in
            # the window before.
            requests_start = window_start - LIMITS.window_s
            requests = sum(
                requests_start < each <= end for each in self.requests
            )
            assert retries <= LIMITS.ratio * requests + LIMITS.extra


BudgetMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
TestBudget = BudgetMachine.TestCase
