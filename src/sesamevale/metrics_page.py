"""Metrics page in the text format of Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import core as prometheus_core

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale import metrics

__all__ = ["render"]

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def render(recorder: metrics.MetricsRecorder) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(_Collector(recorder))
    return prometheus_client.generate_latest(registry)


class _Collector:
    """Converts the metrics of one entry at each scrape.

    Args:
        recorder: Recorder of the metrics.
    """

    def __init__(self, recorder: metrics.MetricsRecorder) -> None:
        self._recorder = recorder

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Implements the collector interface of the Prometheus client."""
        yield from self._collect_latencies()
        yield self._collect_outcomes()
        for name, value in sorted(self._recorder.counters.items()):
            metric = prometheus_core.CounterMetricFamily(
                f"sesamevale_{name}", name.replace("_", " ")
            )
            metric.add_metric([], value)
            yield metric
        yield from self._collect_samples()

    def _collect_latencies(self) -> Iterable[prometheus_core.Metric]:
        for name, latencies in (
            ("call", self._recorder.total_latencies),
            ("added", self._recorder.added_latencies),
        ):
            metric = prometheus_core.Metric(
                f"sesamevale_{name}_seconds", f"{name} time", "summary"
            )
            full_name = f"sesamevale_{name}_seconds"
            for service, latency in latencies.items():
                labels = {"service": service}
                for percentile in PERCENTILES:
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
        for labels, value in sorted(self._recorder.outcomes.items()):
            metric.add_metric(list(labels), value)
        return metric

    def _collect_samples(self) -> Iterable[prometheus_core.Metric]:
        families: dict[str, prometheus_core.Metric] = {}
        for sample in self._recorder.samples:
            kind = "counter" if sample.is_counter else "gauge"
            family = families.setdefault(
                sample.name,
                prometheus_core.Metric(sample.name, sample.help, kind),
            )
            suffix = "_total" if sample.is_counter else ""
            family.add_sample(sample.name + suffix, sample.labels, sample.value)
        yield from families.values()
