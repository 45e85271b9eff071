"""Builders of tenants whose sizes differ, and of their requests."""

from __future__ import annotations

import math

from sesamevale import resources
from sesamevale import routes

BOUNDS = resources.QuotaBounds()
# Exponent of the sizes: the largest of 88 has more than a quarter of all.
SKEW = 1.2
# Quotas as a multiple of the usual load.
HEADROOM = 1.6


def usual_loads(count: int, total_per_s: float) -> dict[str, float]:
    """Returns the usual requests a second by tenant."""
    weights = [(number + 1) ** -SKEW for number in range(count)]
    return {
        f"t-{number}": total_per_s * weight / math.fsum(weights)
        for number, weight in enumerate(weights)
    }


def tenants(loads: dict[str, float]) -> dict[str, routes.Tenant]:
    """Returns tenants with quotas above their usual loads."""
    return {
        name: routes.Tenant(
            name, (), rate_per_s=HEADROOM * load, burst=HEADROOM * load
        )
        for name, load in loads.items()
    }


def limited_tenant(name="t-0", rate_per_s=10.0, burst=10.0) -> routes.Tenant:
    return routes.Tenant(name, (), rate_per_s=rate_per_s, burst=burst)
