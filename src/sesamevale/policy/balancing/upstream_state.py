"""State of the upstreams that an entry may choose."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from sesamevale.policy.signals import upstream_signals

if TYPE_CHECKING:
    from sesamevale import routes

__all__ = ["AverageLoad", "Candidate", "Load", "RankedCandidate"]

# A slowdown lasts a fraction of a second. A load report that is no older than
# this can be used for other requests too.
LOAD_MAX_AGE_S = 0.02
# Increase of the expected time when all slots are in use, as a share.
UTILIZATION_WEIGHT = 0.7
# Share of its slots in use up to which an upstream keeps its usual speed.
USUAL_SPEED_SHARE = 0.8
# Weight of the last result in the moving average of failures.
FAILURE_WEIGHT = 0.2
# Increase of the expected time of an upstream that always fails, as a multiple.
FAILURE_FACTOR = 8.0
# Time after the last failure for which failures count.
FAILURE_MEMORY_S = 4.0
# Ejection of an unreachable upstream. The time doubles with each ejection, up
# to the maximum.
FIRST_EJECTION_S = 0.5
EJECTION_MAX_S = 4.0
# Connections in a row that an upstream may reset before it is ejected. Some
# upstreams reset connections while they are full.
RESETS_MAX = 3
# Factor on the expected time of an upstream that is warming up.
WARMUP_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load report of an upstream.

    Attributes:
        running: Requests that it is running.
        waiting: Requests in its queue.
        slots: Requests that it can run at a time.
        slowdown: Current duration of work on its machine, as a multiple of
            the usual duration.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AverageLoad:
    """Average of the load reports of a service's upstreams.

    Attributes:
        slowdown: Average slowdown.
        utilization: Average number of requests at an upstream, as a share of
            its slots; above 1 if they queue.
    """

    slowdown: float
    utilization: float = 0.0


class Candidate:
    """State of one upstream at one entry.

    Args:
        record: Record of the upstream from service discovery.
        now: Monotonic time in seconds.
    """

    __slots__ = (
        "_ejected_until",
        "_ejection_count",
        "_failed_at",
        "_failure_share",
        "_in_flight",
        "_reset_count",
        "_sampled_at",
        "_sent_since_sample",
        "closed_until",
        "instance",
        "load",
        "opening_epoch",
        "record",
        "warm_at",
    )

    def __init__(self, record: routes.UpstreamRecord, now: float) -> None:
        self.record = record
        # Kept by ``upstream_openings.Openings``.
        self.opening_epoch = -1
        self.closed_until = -math.inf
        self.instance = upstream_signals.instance_of(record)
        self.load: Load | None = None
        self.warm_at = now + record.warmup_s
        self._sampled_at = -math.inf
        self._sent_since_sample = 0
        self._in_flight = 0
        self._failure_share = 0.0
        self._failed_at = -math.inf
        self._ejected_until = -math.inf
        self._ejection_count = 0
        self._reset_count = 0

    @property
    def in_flight(self) -> int:
        """Requests of this entry that the upstream has not answered yet."""
        return self._in_flight

    def is_fresh(self, now: float) -> bool:
        """Whether the last load report is recent enough to be used."""
        return (
            self.load is not None and now - self._sampled_at <= LOAD_MAX_AGE_S
        )

    def is_ejected(self, now: float) -> bool:
        """Whether the upstream is skipped while others can be used."""
        return now < self._ejected_until

    def record_load(self, load: Load, now: float) -> None:
        """Records a load report."""
        self._reset_count = 0
        self._set_load(load, now)

    def attempt_started(self) -> None:
        """Counts a request that is sent to the upstream."""
        self._in_flight += 1
        self._sent_since_sample += 1

    def attempt_ended(self) -> None:
        """Counts a request that is no longer at the upstream."""
        self._in_flight -= 1

    def record_success(self) -> None:
        """Records a successful answer."""
        self._failure_share *= 1.0 - FAILURE_WEIGHT
        self._ejection_count = 0

    def record_failure(self, now: float) -> None:
        """Records a failed or invalid answer."""
        self._failure_share += FAILURE_WEIGHT * (1.0 - self._failure_share)
        self._failed_at = now

    def record_reset(self, now: float) -> None:
        """Records a connection that was reset before an answer.

        The upstream is taken to be full, unless that happens repeatedly.
        """
        self._reset_count += 1
        if self._reset_count >= RESETS_MAX:
            self.record_unreachable(now)
            return
        slots = max(1, self.record.slots)
        slowdown = 1.0 if self.load is None else self.load.slowdown
        self._set_load(Load(slots, 0, slots, slowdown), now)

    def _set_load(self, load: Load, now: float) -> None:
        self.load = load
        self._sampled_at = now
        self._sent_since_sample = 0

    def record_unreachable(self, now: float) -> None:
        """Records a connection that was refused or not answered."""
        duration_s = FIRST_EJECTION_S * 2.0**self._ejection_count
        self._ejection_count = min(self._ejection_count + 1, 8)
        self._ejected_until = now + min(duration_s, EJECTION_MAX_S)

    def has_free_slot(self, average: AverageLoad, now: float) -> bool:
        """Whether the upstream is estimated to have a free slot.

        Args:
            average: Load assumed without a fresh load report.
            now: Monotonic time in seconds.
        """
        busy, slots = self._busy_slots(average, now)
        return busy < slots

    def has_spare_slot(self, average: AverageLoad, now: float) -> bool:
        """Whether the upstream keeps its usual speed with another request.

        Args:
            average: Load assumed without a fresh load report.
            now: Monotonic time in seconds.
        """
        busy, slots = self._busy_slots(average, now)
        return busy + 1 <= max(1.0, USUAL_SPEED_SHARE * slots)

    def _busy_slots(
        self, average: AverageLoad, now: float
    ) -> tuple[float, int]:
        """Returns the estimated number of its requests, and its slots."""
        if self.load is not None and self.is_fresh(now):
            busy = self.load.running + self.load.waiting
            return busy + self._sent_since_sample, max(1, self.load.slots)
        slots = max(1, self.record.slots)
        return max(self._in_flight, average.utilization * slots), slots

    def expected_slowdown(self, average: AverageLoad, now: float) -> float:
        """Returns the expected duration, as a multiple of the usual one.

        Args:
            average: Load assumed without a fresh load report.
            now: Monotonic time in seconds.
        """
        busy, slots = self._busy_slots(average, now)
        busy += 1
        slowdown = average.slowdown
        if self.load is not None and self.is_fresh(now):
            slowdown = self.load.slowdown
        utilization = min(1.0, busy / slots)
        factor = 1.0 + UTILIZATION_WEIGHT * utilization**4
        factor += max(0, busy - slots) / slots
        if now < self.warm_at:
            factor *= WARMUP_FACTOR
        if now - self._failed_at < FAILURE_MEMORY_S:
            factor *= 1.0 + FAILURE_FACTOR * self._failure_share
        return slowdown * factor


@dataclasses.dataclass(frozen=True, slots=True)
class RankedCandidate:
    """The best candidate and its expected slowdown.

    Attributes:
        candidate: The candidate.
        expected_slowdown: Expected duration of a request there, as a multiple
            of the usual one.
        is_good_enough: Whether the search can stop at this candidate.
    """

    candidate: Candidate
    expected_slowdown: float
    is_good_enough: bool
