"""Construction of the task of a service."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sesamevale.forwarding import service_task
from sesamevale.policy.admission import rate_shares
from sesamevale.policy.admission import retry_budget
from sesamevale.policy.admission import service_order
from sesamevale.policy.balancing import load_sampling
from sesamevale.policy.balancing import warmup_shares
from sesamevale.policy.signals import upstream_signals

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from sesamevale import event_log
    from sesamevale import gateway_messages
    from sesamevale import http1
    from sesamevale import metrics
    from sesamevale import routes
    from sesamevale.forwarding import permits
    from sesamevale.policy.admission import suspects

__all__ = ["build_task"]


def build_task(
    service: routes.Service,
    settings: gateway_messages.GatewaySettings,
    dialect: http1.Dialect,
    events: event_log.EventLog,
    recorder: metrics.MetricsRecorder,
    rng: random.Random,
    on_misplaced: Callable[[str], None],
    on_suspicions: Callable[[tuple[suspects.Suspicion, ...]], None],
    ask_permit: Callable[[permits.Message], None],
) -> service_task.ServiceTask:
    """Builds the task of one service with the decisions that it drives.

    Args:
        service: The service.
        settings: Settings of the entry.
        dialect: Names of the header fields.
        events: Log of decisions.
        recorder: Records metrics.
        rng: Source of randomness.
        on_misplaced: Called with the identifier of an upstream at whose
            address another upstream answers.
        on_suspicions: Called with requests under which upstreams have ended.
        ask_permit: Sends a message to the task that gives out permits.
    """
    shares = rate_shares.RateShares(
        settings.entry_id,
        settings.data_center,
        upstream_signals.UpstreamSignals(),
    )
    warmups = warmup_shares.WarmupShares(
        settings.entry_id, settings.data_center, settings.warmup
    )
    warmups.set_rate(service.warmup_rate_per_s, time.monotonic())
    return service_task.ServiceTask(
        service,
        load_sampling.LoadBalancer(
            settings.data_center,
            rng,
            shares,
            warmups,
            service_order.ServiceOrder() if settings.orders_service else None,
        ),
        retry_budget.RetryBudget(settings.retry_budget),
        dialect,
        events,
        recorder,
        on_misplaced,
        on_suspicions,
        settings.environment.encode(),
        ask_permit,
    )
