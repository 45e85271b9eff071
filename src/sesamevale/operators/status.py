"""Status of one entry for operators, as JSON."""

from __future__ import annotations

import json
import time
from typing import Any
from typing import TYPE_CHECKING

from sesamevale import metrics

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale.dispatching import at_most_once
    from sesamevale.dispatching import dispatcher
    from sesamevale.dispatching import router as routers
    from sesamevale.entries import gossip

__all__ = ["metric_samples", "render"]


def render(
    router: routers.CallRouter,
    members: gossip.Gossip,
    register: at_most_once.RegisterTask,
    revision: int,
    recorder: metrics.MetricsRecorder,
) -> bytes:
    """Returns the status of this entry as JSON.

    Args:
        router: Router, with the calls, homes and dispatchers.
        members: Gossip task, with the membership.
        register: Register of actions.
        revision: Document revision in force.
        recorder: Recorder, with the counters.
    """
    view = router.view
    revisions = members.view.revisions | {view.own.entry_id: revision}
    content = {
        "entry": view.own.entry_id,
        "incarnation": view.own.incarnation,
        "data_center": view.own.data_center,
        "environment": view.environment.name if view.environment else None,
        "revision": revision,
        "draining": view.draining,
        "active_calls": router.active,
        "register": {
            "actions": len(register.action_register),
            "kept_bytes": register.action_register.kept_bytes,
        },
        "members": [
            {
                "entry": member.entry_id,
                "incarnation": member.incarnation,
                "status": member.status.name.lower(),
                "data_center": member.data_center,
                "host": member.host,
                "caller_port": member.caller_port,
                "revision": revisions.get(member.entry_id, 0),
            }
            for _, member in sorted(members.view.members.items())
        ],
        "services": {
            name: _service_status(task, router)
            for name, task in sorted(router.dispatchers.items())
        },
        "counters": dict(sorted(recorder.counters.items())),
    }
    return json.dumps(content).encode()


def metric_samples(
    router: routers.CallRouter, register: at_most_once.RegisterTask
) -> Iterable[metrics.MetricSample]:
    """Returns the gauges and counters of the dispatchers and register."""
    yield metrics.MetricSample(
        "sesamevale_register_actions",
        "Actions that the register keeps",
        {},
        len(register.action_register),
    )
    for name, task in router.dispatchers.items():
        labels = {"service": name}
        policy = task.policy
        yield metrics.MetricSample(
            "sesamevale_queued_calls",
            "Calls in queue",
            labels,
            policy.queued,
        )
        yield metrics.MetricSample(
            "sesamevale_active_calls", "Calls active", labels, policy.active
        )
        counts = policy.counts
        for field in counts.__dataclass_fields__:
            yield metrics.MetricSample(
                f"sesamevale_dispatch_{field}",
                f"Dispatch counter {field}",
                labels,
                getattr(counts, field),
                is_counter=True,
            )


def _service_status(
    task: dispatcher.Dispatcher, router: routers.CallRouter
) -> dict[str, Any]:
    now = time.monotonic()
    policy = task.policy
    home_map = router.view.home_maps.get(task.service.name)
    counts = policy.counts
    return {
        "homes": list(home_map.entries) if home_map is not None else [],
        "queued": policy.queued,
        "active": policy.active,
        "counts": {
            field: getattr(counts, field)
            for field in counts.__dataclass_fields__
        },
        "upstreams": [
            {
                "name": name,
                "host": state.upstream.host,
                "port": state.upstream.port,
                "owned": name in policy.owned,
                "in_flight": state.in_flight,
                "slots": state.upstream.slots,
                "allowed": state.allowed_slots(now),
                "leaving": state.listed_leaving or now < state.leaving_until,
                "ejected": now < state.ejected_until,
            }
            for name, state in sorted(policy.pool.states.items())
        ],
    }
