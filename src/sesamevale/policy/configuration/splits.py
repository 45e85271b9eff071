"""Distribution of a route's requests over services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import routes

__all__ = ["WeightedSplitter"]


class WeightedSplitter:
    """Smooth weighted round robin for each route.

    For each request, the weight of every part is added to its credit. The
    part with the highest credit is chosen, and the sum of all weights is
    subtracted from its credit. The shares are exact over any number of
    consecutive requests that equals the sum of the weights.
    """

    def __init__(self) -> None:
        self._credit: dict[str, dict[str, int]] = {}

    def choose(self, route: routes.Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credit = self._credit.setdefault(route.name, {})
        names = {part.service for part in route.parts}
        for removed in credit.keys() - names:
            del credit[removed]
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
        """Removes the state of all routes except the given ones."""
        for removed in self._credit.keys() - names:
            del self._credit[removed]
