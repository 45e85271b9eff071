"""Share of one entry in the retry budget of a service.

All entries together may send, in any window, a ratio of the requests plus a
fixed extra beyond the first of each request. Each entry keeps to the ratio of
its own requests and to an equal part of the extra, so that the sum holds
without any exchange of messages.
"""

from __future__ import annotations

import collections
import dataclasses

__all__ = ["RetryBudget", "RetryBudgetLimits"]

# Part of the budget that is left unused: entries that join or restart within
# a window count their part of the extra anew.
HEADROOM = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """What all entries together may send beyond first attempts.

    Attributes:
        ratio: Repeats for each request.
        extra: Repeats in a window besides.
        window_s: Length of the sliding window in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """Sliding-window budget of one service at one entry.

    Args:
        limits: What all entries together may spend.
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self._limits = limits
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()
        self._entry_count = 1
        self._most_entries_until = float("-inf")

    @property
    def entry_count(self) -> int:
        """Entries that the extra is divided by."""
        return self._entry_count

    def set_entry_count(self, count: int, now: float) -> None:
        """Takes the number of entries; a fall counts a window later."""
        if count >= self._entry_count or now >= self._most_entries_until:
            self._entry_count = max(1, count)
            self._most_entries_until = now + self._limits.window_s

    def record_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now)

    def record_retry(self, now: float) -> None:
        """Counts an attempt beyond the first that was not asked for."""
        self._repeats.append(now)

    def allowance(self, now: float) -> float:
        """Repeats that may still be sent now."""
        oldest = now - self._limits.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
        share = (
            self._limits.ratio * len(self._requests)
            + self._limits.extra / self._entry_count
        )
        return (1.0 - HEADROOM) * share - len(self._repeats)

    def try_spend(self, now: float) -> bool:
        """Spends one repeat if the budget allows it."""
        if self.allowance(now) < 1.0:
            return False
        self._repeats.append(now)
        return True
