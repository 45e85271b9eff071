"""A service in simulated time whose requests have priorities and return."""

from __future__ import annotations

import dataclasses

from sesamevale.policy.admission import service_order
from sesamevale.policy.balancing import upstream_search
from tests.standins import simulated_service

# Time after which a caller that was refused comes back, as a share of the
# latency objective.
RETURN_AFTER_SHARE = 0.25


@dataclasses.dataclass(eq=False)
class RankedWork(simulated_service.Work):
    """One request with a priority.

    Attributes:
      priority: Priority; 0 is the most urgent.
      returns_left: How often its caller comes back after a refusal.
      held: Times for which an entry held it before each refusal, in seconds.
    """

    priority: int = 0
    returns_left: int = 1
    held: list[float] = dataclasses.field(default_factory=list)


class PriorityService(simulated_service.Service):
    """Upstreams, and entries that know the priorities of requests.

    Args:
      in_order: Whether the entries keep the order of service.
    """

    def __init__(self, entries, upstreams, slots, seed, *, in_order=True):
        super().__init__(entries, upstreams, slots, seed)
        if in_order:
            for each in self.balancers:
                each._order = service_order.ServiceOrder()

    def arrive_ranked(self, at, *, priority, left_s, objective_s):
        """Adds a request that reaches a random entry."""
        work = RankedWork(at, at + left_s, objective_s, priority=priority)
        self.work.append(work)
        self._at(at, lambda: self._begin(work))
        return work

    def _begin(self, work: RankedWork) -> None:
        balancer = self.rng.choice(self.balancers)
        now = self.now
        work.refused = None
        search = upstream_search.Search(
            simulated_service.ROUTE,
            work.arrived,
            work.objective_s,
            frozenset(),
            now,
            work.deadline,
            priority=work.priority,
            has_returned=now > work.arrived + simulated_service.Upstream.STEP_S,
        )
        if balancer.order is not None:
            balancer.order.record_arrival(work.priority, now)
        self._step(balancer, search, work)

    def _step(self, balancer, search, work) -> None:
        super()._step(balancer, search, work)
        if work.refused is None:
            return
        work.held.append(work.refused - search.started)
        back_at = self.now + RETURN_AFTER_SHARE * work.objective_s
        if work.returns_left and back_at < work.deadline:
            work.returns_left -= 1
            self._at(back_at, lambda: self._begin(work))

    def _send(self, balancer, best, work) -> None:
        if balancer.order is not None:
            balancer.order.record_served(work.priority, self.now)
        super()._send(balancer, best, work)
