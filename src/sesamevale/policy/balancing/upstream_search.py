"""State and steps of the search for an upstream."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale.policy.balancing import upstream_state

__all__ = [
    "NoCandidates",
    "NoCapacity",
    "NoRoom",
    "Sample",
    "Search",
    "Send",
    "Step",
    "TooLate",
    "Wait",
]


@dataclasses.dataclass(slots=True)
class Search:
    """State of the search for the upstream of one attempt.

    Attributes:
        route: Name of the route.
        arrived: Estimated monotonic time in seconds at which the caller
            first sent the request.
        objective_s: Latency objective in seconds.
        excluded: Upstreams that were tried already.
        started: Monotonic time in seconds at which the search began.
        deadline: Monotonic time in seconds by which the answer must arrive.
        sampled_local: Whether this data centre was sampled since the last
            wait.
        sampled_remote: Whether the other data centres were sampled since the
            last wait.
        wait_count: Number of waits so far.
        must_yield: Whether requests that can still meet their objective are
            waiting; a request that cannot must then leave them the slots.
        priority: Priority of the request; 0 is the most urgent.
        has_returned: Whether its caller came back after an earlier attempt.
        ahead: Number of more urgent requests that wait. Room under the limits
            that upstreams name is theirs.
        looked: Upstreams that were looked at whether they are cold.
    """

    route: str
    arrived: float
    objective_s: float
    excluded: frozenset[str]
    started: float
    deadline: float = math.inf
    sampled_local: bool = False
    sampled_remote: bool = False
    wait_count: int = 0
    must_yield: bool = False
    priority: int = 0
    has_returned: bool = False
    ahead: int = 0
    looked: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Step: send the request to the best candidate."""

    best: upstream_state.RankedCandidate


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Step: sample the load of upstreams before the next decision."""

    upstreams: tuple[upstream_state.Candidate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Step: wait before the next decision.

    Attributes:
        after_s: Delay in seconds.
    """

    after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoCandidates:
    """Step: end the search because no upstream is left to try."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """Step: end the search because no upstream has a free slot in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """Step: end the search because the limits leave no room in time.

    Attributes:
        after_s: Time in seconds until there is room; infinity if this entry
            may not use any of the upstreams.
    """

    after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TooLate:
    """Step: end the search because no upstream can answer in time."""


Step = Send | Sample | Wait | NoCandidates | NoCapacity | NoRoom | TooLate
