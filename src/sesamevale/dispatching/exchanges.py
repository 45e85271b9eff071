"""Messages between a dispatcher and the connections that it uses."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import calls
    from sesamevale import documents
    from sesamevale.policy import attempts

__all__ = ["AttemptEnded", "Exchange", "Link", "ResultReceiver"]


class ResultReceiver(Protocol):
    """Receiver of the ends of attempts."""

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
        """Closes the connection; a running exchange ends as aborted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One attempt at a call over one connection.

    Attributes:
        attempt_id: Number of the attempt, unique at the dispatcher.
        call: The call.
        service: Service that the call belongs to.
        retries: Retries that the other side may use.
        buffer_failures: Whether server errors are reported instead of passed.
        result_receiver: Where the end of the attempt is reported.
    """

    attempt_id: int
    call: calls.Call
    service: documents.Service
    retries: int
    buffer_failures: bool
    result_receiver: ResultReceiver


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        attempt_id: Number of the attempt.
        result: How it ended.
        link: Connection that carried it.
    """

    attempt_id: int
    result: attempts.Result
    link: Link
