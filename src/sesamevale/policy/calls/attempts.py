"""Results of the attempts of a call."""

from __future__ import annotations

import dataclasses

from sesamevale import outcomes

__all__ = [
    "Aborted",
    "BufferedFailure",
    "Completed",
    "Lost",
    "NotSent",
    "PeerLoad",
    "PeerOutcomeUnknown",
    "PeerRefused",
    "Result",
    "ShedByUpstream",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Free slots and queue length that an entry reports to the others."""

    free_slots: int
    queued: int


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The whole answer was passed to the receiver.

    Attributes:
        seconds: Time from sending to the end of the answer.
        failed: Whether the status was a server error.
        leaving: Whether the upstream reported that it is leaving.
        load: Load that a peer reported with the answer.
    """

    seconds: float
    failed: bool = False
    leaving: bool = False
    load: PeerLoad | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedFailure:
    """A server error was read whole and not passed to the receiver.

    Attributes:
        answer: The answer.
        seconds: Time from sending to the end of the answer.
        leaving: Whether the upstream reported that it is leaving.
        retries_left: Retries that the layers behind it did not use; None if
            the upstream did not report it.
    """

    answer: outcomes.Answer
    seconds: float
    leaving: bool = False
    retries_left: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ShedByUpstream:
    """The upstream reported that it did not run the call."""

    retry_after_ms: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No part of the call was sent."""

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The call was sent and no complete answer was received.

    Attributes:
        partly_delivered: Whether part of the answer was passed to the
            receiver.
    """

    partly_delivered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRefused:
    """Another entry answered "not run"."""

    reason: outcomes.Reason
    retry_after_ms: int
    load: PeerLoad


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOutcomeUnknown:
    """Another entry answered that the call may have run."""

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Aborted:
    """The attempt was cancelled by this entry."""


Result = (
    Completed
    | BufferedFailure
    | ShedByUpstream
    | NotSent
    | Lost
    | PeerRefused
    | PeerOutcomeUnknown
    | Aborted
)
