"""Order of service when a service has too little room.

What is delayed or turned away is what costs its callers least. Requests are
compared by their priority, by whether they can still meet their latency
objective, by whether they came back after a refusal, and by the work that they
need.

No entry sees the requests that wait at the others, so each decides at the door
by what it knows of the service: how full the upstreams are that it samples,
and which requests it gets itself. While there is too little room, requests
that cost less to turn away *yield*: they take a slot that is free, but they
neither queue at an upstream nor use up what is left of the retry budget. Those
that cost most queue at the upstreams, so a slot that becomes free is theirs,
whichever entry they came to.
"""

from __future__ import annotations

import collections
import dataclasses
import math

__all__ = ["Pressure", "ServiceOrder", "Standing"]

# Time constant of the average of the load reports, in seconds.
PRESSURE_MEMORY_S = 0.5
# Greatest weight of one load report in the average.
REPORT_WEIGHT_MAX = 0.2
# Requests at the upstreams, as a share of their slots, from which there is too
# little room, and below which there is enough again. Hysteresis keeps the order
# from changing with every report.
SHORT_FROM = 0.9
ENOUGH_BELOW = 0.75
# Time for which requests count as recent.
DEMAND_MEMORY_S = 2.0
# Share of the recent requests from which others yield to a priority.
DEMAND_SHARE_MIN = 0.05
# Share of its requests that each priority is served without yielding, so that
# none is starved.
SERVED_SHARE_MIN = 0.4
# Share of the latency objective for which a request that yields waits.
YIELDING_WAIT_SHARE = 0.125


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What it costs a caller if its request is turned away.

    Attributes:
        priority: Priority of the request; 0 is the most urgent.
        can_meet_objective: Whether it can still be answered within its latency
            objective.
        has_returned: Whether its caller came back after a refusal.
        work_s: Usual duration of its work in seconds; 0 if unknown.
        deadline: Monotonic time in seconds at which its caller gives up.
    """

    priority: int
    can_meet_objective: bool = True
    has_returned: bool = False
    work_s: float = 0.0
    deadline: float = math.inf

    @property
    def order(self) -> tuple[int, bool, bool, float, float]:
        """Sort key; what costs most to turn away comes first.

        Of requests that are alike in the rest, the one that needs less work
        comes first, since more of those are served in the same room.
        """
        return (
            self.priority,
            not self.can_meet_objective,
            not self.has_returned,
            self.work_s,
            self.deadline,
        )


class Pressure:
    """Whether the upstreams of a service have too little room.

    It follows the load reports of all upstreams that this entry samples, so it
    includes the requests of the other entries.
    """

    def __init__(self) -> None:
        self._level = 0.0
        self._reported_at = -math.inf
        self._is_short = False

    @property
    def level(self) -> float:
        """Requests at the upstreams as a share of their slots."""
        return self._level

    def record_load(self, utilization: float, now: float) -> None:
        """Records the load report of an upstream.

        Args:
            utilization: Its requests as a share of its slots; above 1 if some
                of them wait.
            now: Monotonic time in seconds.
        """
        elapsed_s = now - self._reported_at
        weight = 1.0 - math.exp(-max(0.0, elapsed_s) / PRESSURE_MEMORY_S)
        weight = min(REPORT_WEIGHT_MAX, max(0.02, weight))
        self._level += weight * (utilization - self._level)
        self._reported_at = now
        if self._level >= SHORT_FROM:
            self._is_short = True
        elif self._level < ENOUGH_BELOW:
            self._is_short = False

    def is_short(self, now: float) -> bool:
        """Whether there is too little room, as far as it is known."""
        known = now - self._reported_at <= 4 * PRESSURE_MEMORY_S
        return self._is_short and known


class _Demand:
    """Recent requests of one priority, and how many of them were served."""

    __slots__ = ("arrivals", "served")

    def __init__(self) -> None:
        self.arrivals: collections.deque[float] = collections.deque()
        self.served: collections.deque[float] = collections.deque()

    def expire(self, before: float) -> None:
        for times in (self.arrivals, self.served):
            while times and times[0] < before:
                times.popleft()

    @property
    def is_starving(self) -> bool:
        return len(self.served) < SERVED_SHARE_MIN * len(self.arrivals)


class ServiceOrder:
    """Decides which requests of one service yield to others at one entry."""

    def __init__(self) -> None:
        self._pressure = Pressure()
        self._demands: dict[int, _Demand] = {}

    @property
    def pressure(self) -> Pressure:
        """How full the upstreams are."""
        return self._pressure

    def record_arrival(self, priority: int, now: float) -> None:
        """Counts a request that arrives."""
        demand = self._demands.setdefault(priority, _Demand())
        demand.arrivals.append(now)
        demand.expire(now - DEMAND_MEMORY_S)

    def record_served(self, priority: int, now: float) -> None:
        """Counts a request that is sent to an upstream."""
        demand = self._demands.setdefault(priority, _Demand())
        demand.served.append(now)
        demand.expire(now - DEMAND_MEMORY_S)

    def served_shares(self, now: float) -> dict[int, float]:
        """Returns the share of the recent requests served, by priority."""
        found = {}
        for priority, demand in sorted(self._demands.items()):
            demand.expire(now - DEMAND_MEMORY_S)
            if demand.arrivals:
                found[priority] = len(demand.served) / len(demand.arrivals)
        return found

    def yields(self, standing: Standing, now: float) -> bool:
        """Whether a request must leave scarce room to others.

        A service whose requests are all of one priority serves them alike.

        Args:
            standing: What turning it away costs.
            now: Monotonic time in seconds.
        """
        if not self._pressure.is_short(now):
            return False
        before = now - DEMAND_MEMORY_S
        more_urgent = less_urgent = total = 0
        for priority, demand in self._demands.items():
            demand.expire(before)
            count = len(demand.arrivals)
            total += count
            if priority < standing.priority:
                more_urgent += count
            elif priority > standing.priority:
                less_urgent += count
        enough = max(1.0, DEMAND_SHARE_MIN * total)
        if more_urgent >= enough:
            return not self._is_starving(standing.priority)
        return less_urgent >= enough and not standing.can_meet_objective

    def may_use_reserve(self, standing: Standing, now: float) -> bool:
        """Whether a request may spend what is kept of the retry budget.

        A caller that is refused for the first time can come back, which spends
        nothing of the budget. One that has returned may not come again.

        Args:
            standing: What turning it away costs.
            now: Monotonic time in seconds.
        """
        return standing.has_returned or self._outranks(standing.priority, now)

    def _outranks(self, priority: int, now: float) -> bool:
        """Whether there are requests of a less urgent priority."""
        before = now - DEMAND_MEMORY_S
        for each, demand in self._demands.items():
            demand.expire(before)
            if each > priority and demand.arrivals:
                return True
        return False

    def _is_starving(self, priority: int) -> bool:
        demand = self._demands.get(priority)
        return demand is not None and demand.is_starving
