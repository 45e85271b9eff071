"""Upstreams to which an entry keeps connections.

A new connection holds a slot of its upstream for a moment and costs both sides
time. An entry that gets few requests among many upstreams would open one for
nearly every sample. So it samples those that it has been in contact with, once
they are enough for a good choice. The sets of the entries are random, so that
together they cover all upstreams several times.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from sesamevale.policy.balancing import upstream_state

__all__ = ["WorkingSet"]

# Time after the last contact for which a connection is taken to be open, in
# seconds. Upstreams close idle connections some seconds later.
CONNECTED_S = 6.0
# Least size of a set: samples of different upstreams for two rounds.
SIZE_MIN = 6
# Entries that have an upstream in their sets, on average.
COVERAGE = 4
# Share of the choices that leave the set, so that it changes and upstreams
# that have just joined are found.
EXPLORED_SHARE = 0.05
# Requests at the upstreams as a share of their slots from which all of them
# are sampled, as a good one is rare then.
SPREAD_FROM = 0.7


class WorkingSet:
    """Chooses the upstreams that are sampled.

    Args:
        rng: Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def record_contact(
        self, candidate: upstream_state.Candidate, now: float
    ) -> None:
        """Records that an upstream has been sampled or has got a request."""
        candidate.contacted_at = now

    def select(
        self,
        available: list[upstream_state.Candidate],
        entry_count: int,
        utilization: float,
        now: float,
    ) -> list[upstream_state.Candidate]:
        """Returns the upstreams to choose samples from.

        Args:
            available: Upstreams that may be sampled.
            entry_count: Entries that use them; 0 if unknown.
            utilization: Requests at the upstreams as a share of their slots.
            now: Monotonic time in seconds.
        """
        if entry_count == 0 or utilization >= SPREAD_FROM:
            return available
        oldest = now - CONNECTED_S
        connected = [each for each in available if each.contacted_at >= oldest]
        size = max(SIZE_MIN, math.ceil(COVERAGE * len(available) / entry_count))
        if len(connected) < size or self._rng.random() < EXPLORED_SHARE:
            return available
        return connected
