"""Probe budget of one entry."""

from __future__ import annotations

import math

__all__ = ["ProbeBudget"]

# Capacity of the token bucket.
BURST_PROBES = 1.0


class ProbeBudget:
    """Token bucket with a fixed share of a service's probe budget.

    The share is the budget divided by the largest number of entries, so that
    the probes of all entries stay within the budget even when the entries
    disagree about which of them are alive.

    Args:
        probes_per_second: Budget of all entries together.
        entries_max: Largest number of entries.
        now: Monotonic time in seconds.
    """

    def __init__(
        self, probes_per_second: float, entries_max: int, now: float
    ) -> None:
        self._rate = probes_per_second / entries_max
        self._tokens = 0.0
        self._updated = now

    @property
    def rate(self) -> float:
        """Probes a second that this entry may send."""
        return self._rate

    def take(self, now: float) -> bool:
        """Counts a probe if the budget allows it; False if it does not."""
        earned = (now - self._updated) * self._rate
        self._tokens = min(BURST_PROBES, self._tokens + earned)
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def next_due(self, now: float) -> float:
        """Returns when the next probe is allowed, in monotonic seconds."""
        if self._rate <= 0.0:
            return math.inf
        missing = max(0.0, 1.0 - self._tokens)
        return max(now, self._updated + missing / self._rate)
