"""Counters and latency histograms of one entry."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import TYPE_CHECKING

import prometheus_client
from hdrh import histogram
from prometheus_client import core as prometheus_core

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

__all__ = ["LatencyHistogram", "MetricSample", "MetricsRecorder", "render"]

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


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
            reason: Why there was no answer, or the class of its status.
            total_seconds: Time from the arrival of the call to its end.
            added_seconds: The part of it that was not spent at upstreams.
        """
        self._outcomes[service, outcome, reason] += 1
        self._total[service].record(total_seconds)
        self._added[service].record(max(0.0, added_seconds))

    def add_source(self, source: Callable[[], Iterable[MetricSample]]) -> None:
        """Adds a function that returns samples at each scrape."""
        self._sources.append(source)

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Implements the collector interface of the Prometheus client."""
        yield from self._collect_latencies()
        yield self._collect_outcomes()
        for name, value in sorted(self._counters.items()):
            metric = prometheus_core.CounterMetricFamily(
                f"sesamevale_{name}", name.replace("_", " ")
            )
            metric.add_metric([], value)
            yield metric
        yield from self._collect_gauges()

    def _collect_latencies(self) -> Iterable[prometheus_core.Metric]:
        for name, latencies in (("call", self._total), ("added", self._added)):
            metric = prometheus_core.Metric(
                f"sesamevale_{name}_seconds", f"{name} time", "summary"
            )
            full_name = f"sesamevale_{name}_seconds"
            for service, latency in latencies.items():
                labels = {"service": service}
                for percentile in QUANTILES:
                    quantile = {"quantile": f"{percentile / 100:g}"}
                    value = latency.quantile_seconds(percentile)
                    metric.add_sample(full_name, labels | quantile, value)
                count_name = f"{full_name}_count"
                metric.add_sample(count_name, labels, latency.count)
                sum_name = f"{full_name}_sum"
                metric.add_sample(sum_name, labels, latency.sum_seconds)
            yield metric

    def _collect_outcomes(self) -> prometheus_core.Metric:
        metric = prometheus_core.CounterMetricFamily(
            "sesamevale_calls",
            "Calls by service, outcome and reason",
            labels=["service", "outcome", "reason"],
        )
        for labels, value in sorted(self._outcomes.items()):
            metric.add_metric(list(labels), value)
        return metric

    def _collect_gauges(self) -> Iterable[prometheus_core.Metric]:
        families: dict[str, prometheus_core.Metric] = {}
        for source in self._sources:
            for sample in source():
                kind = "counter" if sample.is_counter else "gauge"
                family = families.setdefault(
                    sample.name,
                    prometheus_core.Metric(sample.name, sample.help, kind),
                )
                suffix = "_total" if sample.is_counter else ""
                family.add_sample(
                    sample.name + suffix, sample.labels, sample.value
                )
        yield from families.values()


def render(recorder: MetricsRecorder) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(recorder)
    return prometheus_client.generate_latest(registry)
