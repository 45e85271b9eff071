"""Parts of a gateway entry, built from its settings."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sesamevale import incarnations
from sesamevale.entries import gossip
from sesamevale.entries import quota_exchange
from sesamevale.policy.admission import drain_schedule
from sesamevale.policy.membership import membership
from sesamevale.policy.membership import membership_types

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from sesamevale import gateway_messages
    from sesamevale import metrics
    from sesamevale.policy.admission import suspects

__all__ = ["new_gossip", "new_member", "new_quotas", "plan_drain"]


def new_member(
    settings: gateway_messages.GatewaySettings, rng: random.Random
) -> membership_types.Member:
    """Returns this entry as a member with a new incarnation."""
    return membership_types.Member(
        entry_id=settings.entry_id,
        incarnation=incarnations.new(rng),
        refutation=0,
        status=membership_types.Status.JOINING,
        data_center=settings.data_center,
        host=settings.callers.host,
        caller_port=settings.callers.port,
        peer_port=settings.entry_port,
    )


def new_gossip(
    settings: gateway_messages.GatewaySettings,
    own_member: membership_types.Member,
    rng: random.Random,
    on_change: Callable[[], None],
    recorder: metrics.MetricsRecorder,
    on_suspicions: Callable[[tuple[suspects.Suspicion, ...]], None],
) -> gossip.Gossip:
    """Returns the task that gossips with the entries of the data centre."""
    view = membership.Membership(
        own_member, settings.environment, membership.Timing(), rng
    )
    return gossip.Gossip(
        view,
        settings.callers.host,
        settings.entry_port,
        on_change,
        lambda: None,
        recorder,
        on_suspicions,
    )


def plan_drain(
    settings: gateway_messages.GatewaySettings,
) -> drain_schedule.DrainSchedule:
    """Returns the times of a drain that begins now."""
    return drain_schedule.DrainSchedule.plan(
        time.monotonic(), settings.grace_s, settings.directory_lifetime_s
    )


def new_quotas(
    settings: gateway_messages.GatewaySettings,
    rng: random.Random,
    recorder: metrics.MetricsRecorder,
) -> quota_exchange.QuotaExchange:
    """Returns the task that shares the quotas of tenants."""
    return quota_exchange.QuotaExchange(
        settings.entry_id,
        settings.data_center,
        settings.callers.host,
        settings.quota_port,
        settings.quota_port - settings.entry_port,
        settings.quota,
        rng,
        recorder,
    )
