"""Effects that the dispatch policy asks the dispatcher to apply."""

from __future__ import annotations

import dataclasses
import enum

from sesamevale import outcomes

__all__ = [
    "AbortAttempt",
    "Bind",
    "DeliverAnswer",
    "Effect",
    "FailCall",
    "Relay",
    "SetTimer",
    "TimerKind",
]


class TimerKind(enum.Enum):
    """Purpose of a timer that the dispatch policy sets."""

    DEADLINE = "deadline"
    HEDGE = "hedge"
    SLOTS = "slots"


@dataclasses.dataclass(frozen=True, slots=True)
class Bind:
    """Effect: send a call to an upstream.

    Attributes:
        call_id: The call.
        attempt_id: Number of the new attempt.
        upstream: Name of the upstream.
        retries: Retries that the upstream and the layers behind it may use.
        buffer_failures: Whether server errors come back as ``BufferedFailure``.
    """

    call_id: int
    attempt_id: int
    upstream: str
    retries: int
    buffer_failures: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Effect: send a call to another entry.

    Attributes:
        call_id: The call.
        attempt_id: Number of the new attempt.
        entry_id: Identifier of the other entry.
        retries: Retries that the other entry may use.
    """

    call_id: int
    attempt_id: int
    entry_id: str
    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Effect: cancel an attempt; its result is still reported."""

    attempt_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class FailCall:
    """Effect: end a call without an answer, or without the rest of one."""

    call_id: int
    outcome: outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Effect: send the receiver an answer that was buffered."""

    call_id: int
    answer: outcomes.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Effect: call ``DispatchPolicy.timer_fired`` at a given time.

    Attributes:
        kind: Purpose of the timer.
        at: Monotonic time in seconds.
        call_id: The call; 0 if the timer belongs to no call.
    """

    kind: TimerKind
    at: float
    call_id: int = 0


Effect = Bind | Relay | AbortAttempt | FailCall | DeliverAnswer | SetTimer
