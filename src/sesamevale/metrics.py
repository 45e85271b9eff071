"""Counters and latency histograms of one entry."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import TYPE_CHECKING

from hdrh import histogram

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

__all__ = ["LatencyHistogram", "MetricSample", "MetricsRecorder"]

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class MetricSample:
    """One value that is read at each scrape."""

    name: str
    help: str
    labels: dict[str, str]
    value: float
    is_counter: bool = False


class LatencyHistogram:
    """Histogram and sum of latencies."""

    __slots__ = ("_histogram", "_sum_us")

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self._sum_us = 0

    @property
    def count(self) -> int:
        """Number of durations recorded."""
        return self._histogram.get_total_count()

    @property
    def sum_seconds(self) -> float:
        """Sum of all durations in seconds."""
        return self._sum_us / 1e6

    def record(self, seconds: float) -> None:
        """Records a duration in seconds."""
        microseconds = max(LOWEST_US, int(seconds * 1e6))
        self._sum_us += microseconds
        self._histogram.record_value(microseconds)

    def quantile_seconds(self, percentile: float) -> float:
        """Returns the latency in seconds at a percentile from 0 to 100."""
        return self._histogram.get_value_at_percentile(percentile) / 1e6


class MetricsRecorder:
    """Records the counters and latencies of one entry.

    Args:
        clock: Source of monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._total: dict[str, LatencyHistogram] = collections.defaultdict(
            LatencyHistogram
        )
        self._added: dict[str, LatencyHistogram] = collections.defaultdict(
            LatencyHistogram
        )
        self._outcomes: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._counters: collections.Counter[str] = collections.Counter()
        self._sources: list[Callable[[], Iterable[MetricSample]]] = []

    @property
    def counters(self) -> collections.Counter[str]:
        """Counters without labels, by name."""
        return self._counters

    @property
    def total_latencies(self) -> dict[str, LatencyHistogram]:
        """Durations of the calls of each service."""
        return self._total

    @property
    def added_latencies(self) -> dict[str, LatencyHistogram]:
        """Durations of them without the attempts at upstreams."""
        return self._added

    @property
    def samples(self) -> list[MetricSample]:
        """Values of all sources at this moment."""
        return [sample for source in self._sources for sample in source()]

    @property
    def outcomes(self) -> collections.Counter[tuple[str, str, str]]:
        """Number of calls by service, outcome and reason."""
        return self._outcomes

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter without labels."""
        self._counters[name] += amount

    def call_ended(
        self,
        service: str,
        outcome: str,
        reason: str,
        total_seconds: float,
        added_seconds: float,
    ) -> None:
        """Records the end of a call.

        Args:
            service: Name of the service.
            outcome: Name of the outcome.
            reason: Why there was no complete answer; for an answered call,
                the class of its status, such as ``2xx``.
            total_seconds: Time from the arrival of the call to its end.
            added_seconds: Total time without the time of the attempts at
                upstreams and other entries. It is negative if attempts
                overlap, and then recorded as 0.
        """
        self._outcomes[service, outcome, reason] += 1
        self._total[service].record(total_seconds)
        self._added[service].record(max(0.0, added_seconds))

    def add_source(self, source: Callable[[], Iterable[MetricSample]]) -> None:
        """Adds a function that returns samples at each scrape."""
        self._sources.append(source)
