"""State of the dispatch policy for each call, and its counters."""

from __future__ import annotations

import dataclasses

__all__ = ["AttemptState", "CallProperties", "CallState", "Counts"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallProperties:
    """Properties of a call that the dispatch policy depends on.

    Attributes:
        call_id: Number of the call.
        caller: Address of the caller; the queue serves callers in turn.
        priority: Priority; calls with lower numbers leave the queue first.
        deadline: Monotonic time in seconds.
        repeatable: Whether the call may run more than once.
        replayable: Whether its body is buffered for another attempt.
        hedge: Whether its rule allows hedges.
        retries: Retries that the call and the calls it causes may use.
        hops: Times that the call may still be relayed to another entry.
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
    """Counters of one dispatch policy; they only increase."""

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
    """An attempt in flight, at an upstream or at another entry.

    Attributes:
        attempt_id: Number of the attempt.
        call_id: Number of the call.
        upstream: Name of the upstream; None for a relay.
        entry_id: Identifier of the other entry; None unless it is a relay.
        started: Monotonic time in seconds.
        hedge: Whether it was started beside another attempt.
    """

    attempt_id: int
    call_id: int
    upstream: str | None
    entry_id: str | None
    started: float
    hedge: bool = False


@dataclasses.dataclass(slots=True)
class CallState:
    """A call that has not ended, with its attempts in flight.

    Attributes:
        properties: Properties of the call.
        retries: Retries that are left.
        attempts: Attempts in flight by number.
        tried: Upstreams and entries that the call was sent to.
        hedged: Whether a hedge was started.
        ended: Whether the call was ended; its attempts may still be aborting.
        may_have_run: Whether an attempt that has ended may have run.
    """

    properties: CallProperties
    retries: int
    attempts: dict[int, AttemptState] = dataclasses.field(default_factory=dict)
    tried: set[str] = dataclasses.field(default_factory=set)
    hedged: bool = False
    ended: bool = False
    may_have_run: bool = False
