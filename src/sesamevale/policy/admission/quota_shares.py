"""Division of a tenant's quota among entries.

A quota bounds the requests in a window over all entries together. It is
divided into equal shares of a few entries, its holders, which rendezvous
hashing chooses from the registered ones. Each holder keeps a token bucket of
its own, so the bound holds whatever messages are lost. There are so few holders
that each can let through a request at once; the other entries ask them.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sesamevale.policy.balancing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale import resources
    from sesamevale import routes

__all__ = ["PERMIT_S", "Share", "choose_holders", "divide"]

# Lifetime of a permit. A request that has not been sent by then needs another.
PERMIT_S = 0.25
# Part of the bound that is given out. The rest covers the moments at which
# entries differ on who shares a quota.
USED_PART = 0.95
# Capacity of a holder's bucket, in requests. Tolerance that the bound has
# beyond the rate makes room for more holders than a small rate would.
CAPACITY_MIN = 2.0


# Largest part of what the bound allows beyond the rate that is given out
# steadily, in place of a burst in each window. The rest can be used at once.
STEADY_PART = 0.4
# Part of a bucket that is full when a process starts. The process before it may
# have emptied its own bucket within the same window.
START_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Token bucket of one holder.

    Attributes:
        holder_count: Number of holders.
        rate_per_s: Rate at which the bucket is filled.
        capacity: Largest number of tokens; each lets one request through.
    """

    holder_count: int
    rate_per_s: float
    capacity: float

    @property
    def start_tokens(self) -> float:
        """Tokens in the bucket of a process that starts."""
        return START_PART * self.capacity


def divide(
    tenant: routes.Tenant, bounds: resources.QuotaBounds, entry_count: int
) -> Share:
    """Divides the quota of a tenant.

    All buckets together let through no more in any window than the bounds
    allow, even if all entries are killed and started again in it, and if
    permits are used as late as possible.

    Args:
        tenant: Tenant with a rate limit.
        bounds: Bounds of the quota.
        entry_count: Number of entries that may be holders; 1 or more.
    """
    assert tenant.rate_per_s is not None
    usual = tenant.rate_per_s * bounds.window_s + tenant.burst
    allowed = USED_PART * (usual * (1.0 + bounds.overage) + bounds.tolerance)
    span_s = bounds.window_s + PERMIT_S
    spare = allowed - tenant.rate_per_s * span_s
    rate = tenant.rate_per_s + min(
        tenant.burst / bounds.window_s, STEADY_PART * spare / span_s
    )
    least = min(allowed, CAPACITY_MIN * (1.0 + START_PART))
    at_once = max(allowed - rate * span_s, least)
    rate = min(rate, (allowed - at_once) / span_s)
    capacity = at_once / (1.0 + START_PART)
    count = max(1, min(entry_count, int(capacity / CAPACITY_MIN)))
    return Share(count, rate / count, capacity / count)


def choose_holders(
    name: str, entry_ids: Iterable[str], count: int
) -> tuple[str, ...]:
    """Returns the holders of a tenant's quota, in an order of their own.

    Args:
        name: Name of the tenant.
        entry_ids: Entries that may be holders.
        count: Number of holders.
    """

    def rank(entry_id: str) -> float:
        return rendezvous.score(name, entry_id)

    return tuple(sorted(entry_ids, key=rank, reverse=True)[:count])
