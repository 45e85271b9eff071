"""Response times of an ideal central queue for recorded arrivals."""

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
    """Returns the response times in seconds, in order of arrival.

    Calls wait in one queue, first come, first served. The next call starts in
    the slot that is free first, without delay; in a fast slot if a fast and a
    slow one are free.

    Args:
        arrivals: Time of arrival and work of each call in seconds.
        slots: Total number of slots.
        slow_slots: Number of these slots that are slow.
        slow_factor: Factor on the work of a call in a slow slot.
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
