"""One ideal central queue, computed for recorded arrivals."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

__all__ = ["central_queue"]


def central_queue(
    arrivals: Sequence[tuple[float, float]],
    slots: int,
    slow_slots: int = 0,
    slow_factor: float = 1.0,
) -> list[float]:
    """Returns the time that each call would take.

    Calls wait in one queue, first come first served, and take a free slot at
    no cost; a fast one if there is one.

    Args:
        arrivals: Moment of arrival and work in seconds of each call.
        slots: Slots in all.
        slow_slots: Slots of these that are slow.
        slow_factor: How much longer work takes in a slow slot.
    """
    fast = [0.0] * (slots - slow_slots)
    slow = [0.0] * slow_slots
    times = []
    for arrival, work in sorted(arrivals):
        earliest_fast = fast[0]
        earliest_slow = slow[0] if slow else float("inf")
        use_slow = max(earliest_slow, arrival) < max(earliest_fast, arrival)
        pool, factor = (slow, slow_factor) if use_slow else (fast, 1.0)
        start = max(arrival, pool[0])
        end = start + work * factor
        heapq.heapreplace(pool, end)
        times.append(end - arrival)
    return times
