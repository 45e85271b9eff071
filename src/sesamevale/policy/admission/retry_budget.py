"""Share of one entry in the retry budget of a service.

In any window, all entries together may send retries up to a ratio of their
requests plus a fixed number. Each entry applies the ratio to its own requests
and uses an equal share of the fixed number, so that the limit on the sum holds
without communication between entries.
"""

from __future__ import annotations

import collections
import dataclasses

__all__ = ["RetryBudget", "RetryBudgetLimits"]

# Share of the fixed number that is left unused, because an entry that joins or
# restarts within a window gets its share of it again.
HEADROOM_SHARE = 0.4
# The same of the ratio. An entry that restarts has forgotten its requests
# together with its retries, so that its part of the ratio begins anew; the
# rest covers requests that are counted differently elsewhere.
RATIO_HEADROOM_SHARE = 0.1
# Share of the budget that is kept for the requests that cost most to turn away.
RESERVED_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Limits on the retries of all entries together.

    Attributes:
        ratio: Retries allowed for each request in a window.
        extra: Fixed number of retries allowed in a window in addition.
        window_s: Length of the sliding window in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """Sliding-window budget of one service at one entry.

    Args:
        limits: Limits on the retries of all entries together.
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self._limits = limits
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self._entry_count = 1
        self._entry_count_held_until = float("-inf")

    @property
    def entry_count(self) -> int:
        """Number of entries among which the fixed number is divided."""
        return self._entry_count

    def set_entry_count(self, count: int, now: float) -> None:
        """Sets the number of entries.

        A lower number is ignored until a window has passed since the present
        one was last set.
        """
        if count >= self._entry_count or now >= self._entry_count_held_until:
            self._entry_count = max(1, count)
            self._entry_count_held_until = now + self._limits.window_s

    def record_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now)

    def record_retry(self, now: float) -> None:
        """Counts a retry without checking the budget."""
        self._retries.append(now)

    def allowance(self, now: float) -> float:
        """Returns the number of retries that may still be sent now."""
        oldest = now - self._limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
        return self._share() - len(self._retries)

    def _share(self) -> float:
        by_ratio = self._limits.ratio * len(self._requests)
        fixed = self._limits.extra / self._entry_count
        return (1.0 - RATIO_HEADROOM_SHARE) * by_ratio + (
            1.0 - HEADROOM_SHARE
        ) * fixed

    def try_spend(self, now: float, *, may_use_reserve: bool = True) -> bool:
        """Counts a retry if the budget allows it; False if it does not.

        Args:
            now: Monotonic time in seconds.
            may_use_reserve: Whether the request may spend what is kept for
                those that cost most to turn away.
        """
        allowance = self.allowance(now)
        if not may_use_reserve:
            allowance -= RESERVED_SHARE * self._share()
        if allowance < 1.0:
            return False
        self._retries.append(now)
        return True
