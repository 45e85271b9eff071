"""What one entry knows of the upstreams that it may choose."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import routes

__all__ = ["Candidate", "Load", "RankedCandidate"]

# A slowdown holds for a fraction of a second; within this time a figure of
# another request still stands for the upstream.
LOAD_MAX_AGE_S = 0.02
# Growth of the expected time as the slots fill up.
FULLNESS_WEIGHT = 0.7
# Weight of the last result in the share of failures.
FAILURE_WEIGHT = 0.2
# Factor on the expected time of an upstream that always fails.
FAILURE_FACTOR = 8.0
FAILURE_MEMORY_S = 4.0
# Time for which an upstream that cannot be reached is passed over; doubles.
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0
WARMUP_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that an upstream reports.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it can run at a time.
        slowdown: How long work takes on its machine now; 1 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class Candidate:
    """What one entry knows of one upstream besides its discovery entry."""

    __slots__ = (
        "_ejected_until",
        "_ejections",
        "_failed_at",
        "_failures",
        "_in_flight",
        "_sampled_at",
        "_since_sample",
        "load",
        "record",
        "warm_at",
    )

    def __init__(self, record: routes.UpstreamRecord, now: float) -> None:
        self.record = record
        self.load: Load | None = None
        self.warm_at = now + record.warmup_s
        self._sampled_at = -math.inf
        self._since_sample = 0
        self._in_flight = 0
        self._failures = 0.0
        self._failed_at = -math.inf
        self._ejected_until = -math.inf
        self._ejections = 0

    @property
    def in_flight(self) -> int:
        """Requests of this entry that are at the upstream."""
        return self._in_flight

    def is_fresh(self, now: float) -> bool:
        """Whether the load figure can still be relied on."""
        return (
            self.load is not None and now - self._sampled_at <= LOAD_MAX_AGE_S
        )

    def is_ejected(self, now: float) -> bool:
        """Whether the upstream is passed over while others can be used."""
        return now < self._ejected_until

    def record_load(self, load: Load, now: float) -> None:
        """Takes a load figure."""
        self.load = load
        self._sampled_at = now
        self._since_sample = 0

    def attempt_started(self) -> None:
        """Counts a request that is sent to the upstream."""
        self._in_flight += 1
        self._since_sample += 1

    def attempt_ended(self) -> None:
        """Counts a request that has left the upstream."""
        self._in_flight -= 1

    def record_success(self) -> None:
        """Takes a good answer."""
        self._failures *= 1.0 - FAILURE_WEIGHT
        self._ejections = 0

    def record_failure(self, now: float) -> None:
        """Takes a failed or spoilt answer."""
        self._failures += FAILURE_WEIGHT * (1.0 - self._failures)
        self._failed_at = now

    def record_unreachable(self, now: float) -> None:
        """Takes a refused or silent connection."""
        length = FIRST_EJECTION_S * 2.0**self._ejections
        self._ejections = min(self._ejections + 1, 8)
        self._ejected_until = now + min(length, LONGEST_EJECTION_S)

    def has_free_slot(self, now: float) -> bool:
        """Whether a slot seems to be free."""
        if self.load is not None and self.is_fresh(now):
            busy = self.load.running + self.load.waiting
            return busy + self._since_sample < max(1, self.load.slots)
        return self._in_flight < max(1, self.record.slots)

    def expected_slowdown(self, average_slowdown: float, now: float) -> float:
        """Expected time of a request, as a multiple of the usual.

        Args:
            average_slowdown: Taken for a machine without a fresh figure.
            now: Monotonic time in seconds.
        """
        slots = max(1, self.record.slots)
        busy = self._in_flight + 1
        slowdown = average_slowdown
        if self.load is not None and self.is_fresh(now):
            slots = max(1, self.load.slots)
            busy = self.load.running + self.load.waiting
            busy += self._since_sample + 1
            slowdown = self.load.slowdown
        fullness = min(1.0, busy / slots)
        factor = 1.0 + FULLNESS_WEIGHT * fullness**4
        factor += max(0, busy - slots) / slots
        if now < self.warm_at:
            factor *= WARMUP_FACTOR
        if now - self._failed_at < FAILURE_MEMORY_S:
            factor *= 1.0 + FAILURE_FACTOR * self._failures
        return slowdown * factor


@dataclasses.dataclass(frozen=True, slots=True)
class RankedCandidate:
    """The best candidate of a round.

    Attributes:
        candidate: The candidate.
        expected_slowdown: Its expected time as a multiple of the usual.
        is_good_enough: Whether no better one needs to be looked for.
    """

    candidate: Candidate
    expected_slowdown: float
    is_good_enough: bool
