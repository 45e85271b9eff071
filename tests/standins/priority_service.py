"""A service in simulated time whose requests have priorities."""

from __future__ import annotations

import dataclasses

from sesamevale.policy.admission import service_order
from sesamevale.policy.balancing import upstream_search
from tests.standins import simulated_service


@dataclasses.dataclass(eq=False)
class RankedWork(simulated_service.Work):
    """One request with a priority."""

    priority: int = 0


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
        balancer = self.rng.choice(self.balancers)
        search = upstream_search.Search(
            simulated_service.ROUTE,
            at,
            objective_s,
            frozenset(),
            at,
            work.deadline,
            priority=priority,
        )

        def begin():
            if balancer.order is not None:
                balancer.order.record_arrival(priority, self.now)
            self._step(balancer, search, work)

        self._at(at, begin)
        return work

    def _send(self, balancer, best, work) -> None:
        if balancer.order is not None:
            balancer.order.record_served(work.priority, self.now)
        super()._send(balancer, best, work)
