"""State that a dispatch keeps for each call, and its counters."""

from __future__ import annotations

import dataclasses

__all__ = ["AttemptState", "CallProperties", "CallState", "Counts"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallProperties:
    """What decisions need to know of a call.

    Attributes:
        call_id: Number of the call.
        caller: Address that shares of the queue are counted by.
        priority: Rank; 0 leaves the queue first.
        deadline: Monotonic time in seconds.
        repeatable: Whether the call may run more than once.
        replayable: Whether its body is at hand for another attempt.
        hedge: Whether its rule allows hedges.
        retries: Retries that it and all it causes may use.
        hops: Entries that it may still be relayed to.
    """

    call_id: int
    caller: str
    priority: int
    deadline: float
    repeatable: bool
    replayable: bool
    hedge: bool
    retries: int
    hops: int


@dataclasses.dataclass(slots=True)
class Counts:
    """Counters of one dispatch; they only grow."""

    submitted: int = 0
    bound: int = 0
    relayed: int = 0
    queued: int = 0
    hedged: int = 0
    hedge_wins: int = 0
    retried: int = 0
    shed_by_upstream: int = 0
    refused: int = 0
    unknown: int = 0


@dataclasses.dataclass(slots=True)
class AttemptState:
    """An attempt in flight, at an upstream or at another entry."""

    attempt_id: int
    call_id: int
    upstream: str | None
    entry_id: str | None
    started: float
    hedge: bool = False


@dataclasses.dataclass(slots=True)
class CallState:
    """A call that has not ended, with its attempts in flight."""

    properties: CallProperties
    retries: int
    attempts: dict[int, AttemptState] = dataclasses.field(default_factory=dict)
    tried: set[str] = dataclasses.field(default_factory=set)
    hedged: bool = False
    ended: bool = False
    may_have_run: bool = False
