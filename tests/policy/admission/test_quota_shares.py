"""Division of quotas: the sum of all shares stays within the bound."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from sesamevale import resources
from sesamevale.policy.admission import quota_shares
from tests.builders import quotas

RATES = strategies.floats(0.05, 5000.0)


@hypothesis.given(
    rate=RATES,
    burst=strategies.floats(0.0, 10_000.0),
    overage=strategies.floats(0.0, 0.5),
    tolerance=strategies.floats(5.0, 50.0),
    entries=strategies.integers(1, 700),
)
def test_all_buckets_together_stay_within_the_bound(
    rate, burst, overage, tolerance, entries
):
    """Entries that start, and permits that are used late, included."""
    bounds = resources.QuotaBounds(5.0, overage, tolerance)
    tenant = quotas.limited_tenant("t-0", rate, burst)
    share = quota_shares.divide(tenant, bounds, entries)
    assert 1 <= share.holder_count <= entries
    each = share.capacity + share.start_tokens
    each += share.rate_per_s * (bounds.window_s + quota_shares.PERMIT_S)
    allowed = (rate * 5.0 + burst) * (1.0 + overage) + tolerance
    assert share.holder_count * each <= allowed + 1e-6


@hypothesis.given(rate=RATES, entries=strategies.integers(1, 700))
def test_each_holder_can_let_through_a_request_and_all_the_rate(rate, entries):
    tenant = quotas.limited_tenant("t-0", rate, rate)
    share = quota_shares.divide(tenant, quotas.BOUNDS, entries)
    assert share.capacity >= quota_shares.CAPACITY_MIN
    assert share.start_tokens >= 1.0
    steady = share.rate_per_s * share.holder_count
    assert 0.999 * rate <= steady <= 1.201 * rate


def test_small_quotas_have_few_holders_and_large_ones_many():
    def holders(rate):
        tenant = quotas.limited_tenant("t-0", rate, rate)
        return quota_shares.divide(tenant, quotas.BOUNDS, 58).holder_count

    assert holders(1.0) <= holders(20.0) < holders(200.0)
    assert holders(1.0) < 10


def test_few_holders_change_when_an_entry_departs():
    entries = [f"e-{number}" for number in range(58)]
    for tenant in ("t-0", "t-1", "t-2"):
        before = quota_shares.choose_holders(tenant, entries, 6)
        gone = before[2]
        remaining = [each for each in entries if each != gone]
        after = quota_shares.choose_holders(tenant, remaining, 6)
        assert set(before) - set(after) == {gone}
