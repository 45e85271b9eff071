"""Distribution of a route's requests over services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import routes

__all__ = ["WeightedSplitter"]


class WeightedSplitter:
    """Smooth weighted round robin for each route.

    Each turn, every part gains its weight and the part with the most credit
    is taken and pays the sum of all weights. Shares are exact over any run
    of turns as long as the sum of the weights.
    """

    def __init__(self) -> None:
        self._credit: dict[str, dict[str, int]] = {}

    def choose(self, route: routes.Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credit = self._credit.setdefault(route.name, {})
        names = {part.service for part in route.parts}
        for stale in credit.keys() - names:
            del credit[stale]
        total = 0
        best = route.parts[0].service
        for part in route.parts:
            total += part.weight
            credit[part.service] = credit.get(part.service, 0) + part.weight
            if credit[part.service] > credit[best]:
                best = part.service
        credit[best] -= total
        return best

    def retain_routes(self, names: set[str]) -> None:
        """Drops the state of routes that are gone."""
        for stale in self._credit.keys() - names:
            del self._credit[stale]
