"""Division of a budget while some entries are not counted by the others."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from sesamevale.policy.admission import retry_budget
from sesamevale.policy.membership import entry_count


# Guards against entries that each took the whole fixed part of the budget
# because none of them was registered.
@hypothesis.given(total=strategies.integers(2, 120), data=strategies.data())
def test_the_shares_of_all_entries_stay_within_the_budget(total, data):
    """Pattern: any number of entries have lost their registration."""
    lost = data.draw(strategies.integers(0, total - 1))
    limits = retry_budget.RetryBudgetLimits(0.2, 58.0, 10.0)
    shares = 0.0
    for number in range(total):
        is_lost = number < lost
        others = total - 1 if is_lost else total - lost - 1
        budget = retry_budget.RetryBudget(limits)
        budget.set_entry_count(
            entry_count.sharing(1, others, in_doubt=is_lost), 0.0
        )
        shares += budget.allowance(0.0)
    assert shares <= limits.extra


def test_an_entry_without_doubt_takes_its_whole_share():
    assert entry_count.sharing(2, 3, in_doubt=False) == 5
