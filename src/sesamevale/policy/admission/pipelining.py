"""Order of the requests that one connection sends before their answers."""

from __future__ import annotations

import collections
import dataclasses
from typing import Generic
from typing import Protocol
from typing import TypeVar

__all__ = ["Pipeline", "PipelineLimits", "PipelinedRequest"]


class PipelinedRequest(Protocol):
    """What the order of requests depends on."""

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""

    @property
    def held_bytes(self) -> int:
        """Bytes of the request and of its answer that are in memory."""


Request = TypeVar("Request", bound=PipelinedRequest)


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineLimits:
    """Limits on the requests of one connection that are served at a time.

    Attributes:
        requests_max: Most requests.
        bytes_max: Bytes that they hold in memory, above which no further
            request is started.
    """

    requests_max: int
    bytes_max: int


class Pipeline(Generic[Request]):
    """Started requests of one connection, oldest first.

    Their answers are sent in this order. A request that must not be repeated
    is started alone: if an answer before it closed the connection, its caller
    would send it again.

    Each request that was read whole is answered or refused in its place,
    whatever ends the connection: an answer closes it only if nothing has been
    read behind it.

    Args:
        limits: Limits on the requests.
    """

    def __init__(self, limits: PipelineLimits) -> None:
        self._limits = limits
        self._started: collections.deque[Request] = collections.deque()
        self._is_closed = False

    def __len__(self) -> int:
        return len(self._started)

    @property
    def requests(self) -> tuple[Request, ...]:
        """Requests that have been started and not been answered."""
        return tuple(self._started)

    @property
    def is_closed(self) -> bool:
        """Whether no further request is started on the connection."""
        return self._is_closed

    def must_refuse(self, *, is_stopping: bool) -> bool:
        """Whether a request that has just been read is refused in its place.

        One that arrives behind others at an entry that stops would keep the
        connection open.

        Args:
            is_stopping: Whether the entry stops.
        """
        return is_stopping and bool(self._started)

    def may_start(self, request: Request) -> bool:
        """Whether a request can be started beside those before it."""
        if self._is_closed:
            return False
        if not self._started:
            return True
        if not (request.is_repeatable and self._started[-1].is_repeatable):
            return False
        held_bytes = sum(each.held_bytes for each in self._started)
        return (
            len(self._started) < self._limits.requests_max
            and held_bytes <= self._limits.bytes_max
        )

    def start(self, request: Request) -> None:
        """Adds a request that has been started."""
        self._started.append(request)

    def end_oldest(self) -> None:
        """Removes the oldest request, whose answer has been sent."""
        self._started.popleft()

    def close_behind_oldest(self, *, has_read_more: bool) -> bool:
        """Closes the pipeline unless requests are behind the oldest one.

        The answer to the oldest request may close the connection only if this
        returns True, since the others would get no answer.

        Args:
            has_read_more: Whether a request that has not been started has been
                read, whole or in part.
        """
        if has_read_more or len(self._started) > 1:
            return False
        self._is_closed = True
        return True
