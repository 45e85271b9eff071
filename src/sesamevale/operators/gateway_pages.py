"""Pages of a gateway entry for operators: metrics and status."""

from __future__ import annotations

import collections
import dataclasses
import json
import time
from typing import TYPE_CHECKING

from sesamevale import metrics
from sesamevale.operators import admin_server
from sesamevale.operators import memory_samples

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import event_log
    from sesamevale.forwarding import router as routers
    from sesamevale.forwarding import service_task
    from sesamevale.policy.admission import memory_account
    from sesamevale.policy.admission import quota_allocator
    from sesamevale.policy.configuration import active_configuration
    from sesamevale.policy.membership import evacuations as evacuation_states
    from sesamevale.policy.signals import discovered_upstreams
    from sesamevale.policy.signals import upstream_signals

__all__ = ["GatewayPages"]


class GatewayPages:
    """Answers for the metrics and status of one entry; changes nothing.

    Args:
        entry_id: Identifier of the entry.
        router: Router with the tasks of all services.
        configuration: Configuration in force.
        upstreams: Upstreams that are known.
        evacuations: Evacuations in force.
        events: Log whose dropped lines are counted.
        recorder: Recorder of the metrics.
        account: Memory of the entry, if it is counted.
        quotas: Use of the quotas of tenants; None if there are none.
    """

    def __init__(
        self,
        entry_id: str,
        router: routers.RequestRouter,
        configuration: active_configuration.ActiveConfiguration,
        upstreams: discovered_upstreams.DiscoveredUpstreams,
        evacuations: evacuation_states.Evacuations,
        events: event_log.EventLog,
        recorder: metrics.MetricsRecorder,
        account: memory_account.MemoryAccount | None = None,
        quotas: quota_allocator.QuotaAllocator | None = None,
    ) -> None:
        self._entry_id = entry_id
        self._router = router
        self._configuration = configuration
        self._upstreams = upstreams
        self._evacuations = evacuations
        self._events = events
        self._recorder = recorder
        self._quotas = quotas
        recorder.add_source(self._gauges)
        if account is not None:
            recorder.add_source(lambda: memory_samples.samples(account))

    @property
    def handlers(self) -> dict[str, Callable[[str], admin_server.Page]]:
        """Handlers by path."""
        return {"/metrics": self._metrics, "/status": self._status}

    def _gauges(self) -> list[metrics.MetricSample]:
        def gauge(name: str, text: str, value: float) -> metrics.MetricSample:
            return metrics.MetricSample(f"sesamevale_{name}", text, {}, value)

        view = self._router.view
        age_s = time.monotonic() - view.confirmed_at
        return [
            gauge("ready", "Whether callers may come", float(view.is_ready)),
            gauge("config_version", "In force", self._configuration.version),
            gauge("config_age_seconds", "Since confirmed", age_s),
            gauge("requests_active", "Requests now", self._router.active_count),
            gauge("members", "Entries in use", len(view.members)),
            gauge(
                "evacuated_data_centers",
                "Whose upstreams get nothing",
                len(self._evacuations.data_centers),
            ),
            gauge("log_lines_dropped", "Not written", self._events.dropped),
            *self._signal_gauges(),
            *self._tenant_gauges(),
        ]

    def _tenant_gauges(self) -> list[metrics.MetricSample]:
        return [
            metrics.MetricSample(
                "sesamevale_tenant_requests",
                f"In the last {use['window_s']:g} s",
                {"tenant": name, "verdict": verdict},
                use[verdict],
            )
            for name, use in self._tenant_uses().items()
            for verdict in ("admitted", "refused")
        ]

    def _tenant_uses(self) -> dict[str, dict[str, float]]:
        """Returns the use of the quotas that this entry has met."""
        now = time.monotonic()
        uses = {} if self._quotas is None else self._quotas.uses
        return {
            name: dataclasses.asdict(use.usage(now))
            | {
                "rate_per_s": use.tenant.rate_per_s or 0.0,
                "burst": use.tenant.burst,
                "holders": len(use.holders),
                "left": use.left(now),
            }
            for name, use in uses.items()
        }

    def _signal_gauges(self) -> list[metrics.MetricSample]:
        now = time.monotonic()
        counts: collections.Counter[tuple[str, str]] = collections.Counter()
        for name, task in self._router.tasks.items():
            for each in _list_in_force(task, now):
                counts[name, each.signal] += 1
        return [
            metrics.MetricSample(
                "sesamevale_upstream_signals",
                "Signals in force",
                {"service": service, "signal": signal},
                count,
            )
            for (service, signal), count in counts.items()
        ]

    def _metrics(self, query: str) -> admin_server.Page:
        # Its import would delay the start of an entry.
        from sesamevale import metrics_page

        content_type = "text/plain; version=0.0.4; charset=utf-8"
        return admin_server.Page(
            200, content_type, metrics_page.render(self._recorder)
        )

    def _status(self, query: str) -> admin_server.Page:
        now = time.monotonic()
        view = self._router.view
        last_read = self._upstreams.last_read
        content = {
            "entry": self._entry_id,
            "ready": view.is_ready,
            "stopping": view.stopping,
            "config": self._configuration.version,
            "config_age_s": self._configuration.age_s(now),
            "upstreams_age_s": None if last_read is None else now - last_read,
            "evacuated": self._evacuations.ages_s(now),
            "members": [each.entry_id for each in view.members],
            "tenants": self._tenant_uses(),
            "services": {
                name: _service_status(task, now)
                for name, task in self._router.tasks.items()
            },
        }
        body = json.dumps(content, indent=1, default=str).encode()
        return admin_server.Page(200, "application/json", body)


def _list_in_force(
    task: service_task.ServiceTask, now: float
) -> list[upstream_signals.SignalStatus]:
    """Returns the signals in force at a service and its cold upstreams."""
    balancer = task.balancer
    return [
        *balancer.signals.list_in_force(now),
        *balancer.warmups.list_in_force(now),
    ]


def _signals(
    task: service_task.ServiceTask, now: float
) -> list[dict[str, object]]:
    """Returns what the upstreams of a service say of themselves."""
    found = []
    candidates, shares = task.balancer.candidates, task.balancer.shares
    for each in _list_in_force(task, now):
        status: dict[str, object] = dataclasses.asdict(each)
        candidate = candidates.get(each.upstream_id)
        used = None
        if each.signal == "limit" and candidate is not None:
            used = shares.used_share(candidate.record, now)
        if candidate is not None and used is not None:
            status["share"] = shares.rate_of(candidate.record, now)
            status["used"] = used
        if candidate is not None and each.signal in ("warmup", "doubtful"):
            status["share"] = task.balancer.warmups.rate_of(
                candidate.record, now
            )
        found.append(status)
    return found


def _order_status(
    task: service_task.ServiceTask, now: float
) -> dict[str, object] | None:
    """Returns whether requests yield for lack of room; None without order."""
    order = task.balancer.order
    if order is None:
        return None
    return {
        "pressure": order.pressure.level,
        "short": order.pressure.is_short(now),
        "served_share": order.served_shares(now),
    }


def _service_status(
    task: service_task.ServiceTask, now: float
) -> dict[str, object]:
    average = task.balancer.average
    return {
        "active": task.active_count,
        "average_slowdown": average.slowdown,
        "average_utilization": average.utilization,
        "order_of_service": _order_status(task, now),
        "signals": _signals(task, now),
        "upstreams": {
            upstream_id: {
                "data_center": candidate.record.data_center,
                "own": candidate.in_flight,
                "ejected": candidate.is_ejected(now),
            }
            for upstream_id, candidate in task.balancer.candidates.items()
        },
    }
