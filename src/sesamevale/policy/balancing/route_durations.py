"""What an entry has learned of the requests of each route."""

from __future__ import annotations

import dataclasses
import math

__all__ = ["RouteDurations"]

# Factor on the mean duration of a route that allows for its variation.
DURATION_MARGIN = 1.4
# Share of the mean duration of a route below which hardly any attempt ends.
SHORTEST_SHARE = 0.5
# Weight of a new duration in the moving average of a route.
DURATION_WEIGHT = 0.05
# The same after a time without successes, in which the route may have changed.
GAP_WEIGHT = 0.5
# Time after the last success of a route for which its mean duration is reason
# enough to refuse requests. Without a limit, a route whose time-out becomes
# shorter than its mean requires would be refused for good.
DURATION_MEMORY_S = 5.0


@dataclasses.dataclass(slots=True)
class _MeanDuration:
    """Moving average of the durations of a route's successful attempts.

    Attributes:
        seconds: The average, as if there had been no slowdown.
        updated_at: Monotonic time in seconds of the last success.
    """

    seconds: float
    updated_at: float

    def is_recent(self, now: float) -> bool:
        """Whether the last success is recent."""
        return now - self.updated_at <= DURATION_MEMORY_S


class RouteDurations:
    """Durations of the attempts of each route, and the patience of callers."""

    def __init__(self) -> None:
        self._means: dict[str, _MeanDuration] = {}
        self._longest_remaining_s: dict[str, float] = {}

    def record(
        self,
        route: str,
        seconds: float,
        expected_slowdown: float,
        now: float,
    ) -> None:
        """Records the duration of a successful attempt.

        Args:
            route: Name of the route.
            seconds: Time from sending the request to the answer.
            expected_slowdown: Duration that was expected on sending, as a
                multiple of the usual duration.
            now: Monotonic time in seconds.
        """
        usual = seconds / max(expected_slowdown, 1.0)
        known = self._means.setdefault(route, _MeanDuration(usual, now))
        weight = DURATION_WEIGHT if known.is_recent(now) else GAP_WEIGHT
        known.seconds += weight * (usual - known.seconds)
        known.updated_at = now

    def expected_s(self, route: str, slowdown: float = 1.0) -> float | None:
        """Returns the likely duration of an attempt, with a margin.

        Args:
            route: Name of the route.
            slowdown: Expected duration as a multiple of the usual one.

        Returns:
            The duration in seconds, or None if it is unknown.
        """
        known = self._means.get(route)
        if known is None:
            return None
        return known.seconds * slowdown * DURATION_MARGIN

    def may_end_by(
        self, deadline: float, route: str, slowdown: float, now: float
    ) -> bool:
        """Whether an attempt that starts now may end before its deadline.

        Args:
            deadline: Monotonic time in seconds.
            route: Name of the route.
            slowdown: Expected duration as a multiple of the usual one.
            now: Monotonic time in seconds.
        """
        known = self._means.get(route)
        if known is None or not known.is_recent(now):
            return True
        return now + SHORTEST_SHARE * known.seconds * slowdown <= deadline

    def estimate_first_arrival(
        self, route: str, arrived: float, remaining_s: float
    ) -> float:
        """Estimates when a caller first sent a request.

        A caller that retries has less time left than on its first attempt.
        The difference to the longest remaining time seen on the route is
        taken as the time since the first attempt.

        Args:
            route: Name of the route.
            arrived: Monotonic time in seconds at which this request arrived.
            remaining_s: Time in seconds until the caller gives up; infinite
                if unknown.

        Returns:
            Monotonic time in seconds.
        """
        if math.isinf(remaining_s):
            return arrived
        longest_s = max(self._longest_remaining_s.get(route, 0.0), remaining_s)
        self._longest_remaining_s[route] = longest_s
        return arrived - (longest_s - remaining_s)
