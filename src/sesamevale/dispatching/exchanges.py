"""Interfaces and messages between a dispatcher and its connections."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import calls
    from sesamevale import documents
    from sesamevale.policy.calls import attempts

__all__ = ["AttemptEnded", "Exchange", "Link", "ResultReceiver"]


class ResultReceiver(Protocol):
    """Receiver of the results of attempts."""

    def send(self, message: AttemptEnded) -> None:
        """Delivers a message to the receiver's inbox."""


class Link(Protocol):
    """A connection to an upstream or to another entry."""

    @property
    def open(self) -> bool:
        """Whether the connection can carry another exchange."""

    @property
    def idle_since(self) -> float:
        """Monotonic time in seconds at which the last exchange ended."""

    def send(self, message: Exchange) -> None:
        """Starts an exchange; one at a time."""

    def abort(self) -> None:
        """Closes the connection; a running exchange still reports a result."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Command to send one attempt of a call over a connection.

    Attributes:
        attempt_id: Number of the attempt, unique at the dispatcher.
        call: The call.
        service: Service that the call belongs to.
        retries: Retries that the other side may use.
        buffer_failures: Whether server errors are reported as the result
            instead of passed to the receiver of the answer.
        result_receiver: Receiver of the result.
    """

    attempt_id: int
    call: calls.Call
    service: documents.Service
    retries: int
    buffer_failures: bool
    result_receiver: ResultReceiver


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event that an attempt has ended.

    Attributes:
        attempt_id: Number of the attempt.
        result: Result of the attempt.
        link: Connection that was used.
    """

    attempt_id: int
    result: attempts.Result
    link: Link
