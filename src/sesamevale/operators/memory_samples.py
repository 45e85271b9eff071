"""Metrics of what callers hold of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamevale import metrics

if TYPE_CHECKING:
    from sesamevale.policy.admission import memory_account

__all__ = ["samples"]


def samples(
    account: memory_account.MemoryAccount,
) -> list[metrics.MetricSample]:
    """Returns what callers hold and whom there was no room for."""
    held = [
        metrics.MetricSample(
            "sesamevale_held_bytes", "Held now", {"kind": str(kind)}, count
        )
        for kind, count in account.held_by_kind.items()
    ]
    turned_away = [
        metrics.MetricSample(
            "sesamevale_turned_away",
            "Connections and requests without room",
            {"cause": str(cause)},
            count,
            is_counter=True,
        )
        for cause, count in account.turned_away.items()
    ]
    capacity = metrics.MetricSample(
        "sesamevale_held_bytes_max",
        "Bound on the bytes held",
        {},
        account.limits.capacity_bytes,
    )
    return [*held, capacity, *turned_away]
