"""Requests that tenants sent and had sent on, seen from outside."""

from __future__ import annotations

import bisect
import collections
import math

from sesamevale import resources
from sesamevale import routes

WINDOW_S = 5.0


class QuotaLog:
    """Records the requests of all entries together.

    Args:
      bounds: Bounds of the quotas.
    """

    def __init__(self, bounds: resources.QuotaBounds) -> None:
        self._bounds = bounds
        self.arrived: dict[str, list[float]] = collections.defaultdict(list)
        self.sent: dict[str, list[float]] = collections.defaultdict(list)
        # Times from which a limit is in force, by tenant.
        self._limits: dict[str, list[tuple[float, routes.Tenant]]] = {}

    def set_limit(self, tenant: routes.Tenant, binds_at: float) -> None:
        """Sets a limit that binds windows that begin at a time or later."""
        self._limits.setdefault(tenant.name, []).append((binds_at, tenant))

    def _allowed(self, name: str, start: float) -> float:
        """Returns the bound of a window; the largest limit in it counts."""
        limits = self._limits.get(name, [])
        in_force = [each for at, each in limits if at <= start][-1:]
        in_force += [each for at, each in limits if at > start]
        bounds = self._bounds
        return max(
            (
                math.inf
                if each.rate_per_s is None
                else (each.rate_per_s * bounds.window_s + each.burst)
                * (1.0 + bounds.overage)
                + bounds.tolerance
            )
            for each in in_force
        )

    def excess(self, since: float = 0.0) -> dict[str, float]:
        """Returns by how much the fullest window of each tenant is too full.

        Negative values are room that was left.
        """
        found = {}
        for name, times in self.sent.items():
            ordered = sorted(each for each in times if each >= since)
            found[name] = max(
                (
                    bisect.bisect_right(ordered, at + self._bounds.window_s)
                    - index
                    - self._allowed(name, at)
                    for index, at in enumerate(ordered)
                ),
                default=-math.inf,
            )
        return found

    def served_part(self, since: float = 0.0, until: float = math.inf) -> float:
        """Returns the part of what is owed that was sent on.

        A request is owed if a token bucket with the tenant's rate and burst
        has room for it.
        """
        owed = served = 0
        for name in self.arrived:
            wanted = self._owed(name, since, until)
            sent = [each for each in self.sent[name] if since <= each < until]
            owed += wanted
            served += min(wanted, len(sent))
        return served / owed if owed else 1.0

    def _owed(self, name: str, since: float, until: float) -> int:
        (_, tenant), *_ = self._limits[name]
        assert tenant.rate_per_s is not None
        tokens, last, owed = tenant.burst, 0.0, 0
        for at in sorted(self.arrived[name]):
            tokens = min(
                max(1.0, tenant.burst),
                tokens + (at - last) * tenant.rate_per_s,
            )
            last = at
            if tokens >= 1.0:
                tokens -= 1.0
                owed += since <= at < until
        return owed
