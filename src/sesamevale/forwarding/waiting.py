"""Requests that wait for an upstream with less load or a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale.forwarding import messages
    from sesamevale.policy.balancing import load_sampling

__all__ = ["any_can_meet_objective", "by_urgency", "count_ahead"]


def any_can_meet_objective(
    requests: Iterable[messages.ActiveRequest],
    balancer: load_sampling.LoadBalancer,
    now: float,
) -> bool:
    """Whether any waiting request can still meet its latency objective."""
    return any(
        each.is_waiting
        and each.search is not None
        and balancer.can_meet_objective(each.search, now)
        for each in requests
    )


def count_ahead(
    requests: Iterable[messages.ActiveRequest],
    request: messages.ActiveRequest,
) -> int:
    """Returns how many waiting requests get room before a request.

    They are ordered by priority, then by deadline.
    """

    def order(each: messages.ActiveRequest) -> tuple[int, float, int]:
        found = each.request
        return found.priority, found.deadline, found.number

    own = order(request)
    return sum(each.is_waiting and order(each) < own for each in requests)


def by_urgency(
    requests: Iterable[messages.ActiveRequest],
    balancer: load_sampling.LoadBalancer,
    now: float,
) -> list[messages.ActiveRequest]:
    """Returns the waiting requests, the most urgent first.

    They are ordered by priority, then by whether they can still meet their
    objective, then by age.
    """

    def urgency(each: messages.ActiveRequest) -> tuple[int, bool, float]:
        assert each.search is not None
        late = not balancer.can_meet_objective(each.search, now)
        return each.request.priority, late, each.search.arrived

    return sorted((each for each in requests if each.is_waiting), key=urgency)
