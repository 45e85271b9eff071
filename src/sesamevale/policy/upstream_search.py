"""Search for an upstream: its state and its steps."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale.policy import upstream_state

__all__ = [
    "NoCandidates",
    "NoCapacity",
    "Sample",
    "Search",
    "Send",
    "Step",
    "Wait",
]


@dataclasses.dataclass(slots=True)
class Search:
    """State of the choice of an upstream for one attempt.

    Attributes:
        route: Name of the route.
        arrived: Monotonic time in seconds at which the caller first asked.
        objective_s: Latency objective in seconds.
        excluded: Upstreams that were tried already.
        started: Monotonic time in seconds at which the search began.
        sampled_local: Whether this data centre was sampled just now.
        sampled_remote: Whether the others were sampled.
        wait_count: Times that the search has waited.
        must_yield: Whether requests that can still be in time wait too.
    """

    route: str
    arrived: float
    objective_s: float
    excluded: frozenset[str]
    started: float
    sampled_local: bool = False
    sampled_remote: bool = False
    wait_count: int = 0
    must_yield: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request."""

    best: upstream_state.RankedCandidate


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Ask upstreams for their load, then decide again."""

    upstreams: tuple[upstream_state.Candidate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Decide again after some seconds."""

    after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoCandidates:
    """There is no upstream left to try."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """No upstream has a free slot in time."""


Step = Send | Sample | Wait | NoCandidates | NoCapacity
