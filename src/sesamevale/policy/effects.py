"""What a dispatch decision wants done."""

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
    """Why a dispatch asks to be woken."""

    DEADLINE = "deadline"
    HEDGE = "hedge"
    SLOTS = "slots"


@dataclasses.dataclass(frozen=True, slots=True)
class Bind:
    """Send a call to an upstream.

    Attributes:
        call_id: The call.
        attempt_id: Number of the new attempt.
        upstream: Name of the upstream.
        retries: Retries that the upstream and all behind it may use.
        buffer_failures: Whether server errors come back as ``BufferedFailure``.
    """

    call_id: int
    attempt_id: int
    upstream: str
    retries: int
    buffer_failures: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Send a call to another entry."""

    call_id: int
    attempt_id: int
    entry_id: str
    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Cancel an attempt; its end is still reported."""

    attempt_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class FailCall:
    """Tell the receiver that no answer follows."""

    call_id: int
    outcome: outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Give the receiver an answer that was held back."""

    call_id: int
    answer: outcomes.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``DispatchPolicy.timer_fired`` at a monotonic time in seconds."""

    kind: TimerKind
    at: float
    call_id: int = 0


Effect = Bind | Relay | AbortAttempt | FailCall | DeliverAnswer | SetTimer
