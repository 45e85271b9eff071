"""Messages to the task of one service, and its state of one request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sesamevale.policy import forwarding
from sesamevale.policy import upstream_search
from sesamevale.policy import upstream_state

if TYPE_CHECKING:
    import asyncio

    from sesamevale import routes
    from sesamevale.forwarding import requests
    from sesamevale.upstreams import http_link
    from sesamevale.upstreams import link_messages

__all__ = [
    "ActiveRequest",
    "AttemptEnded",
    "CallerGone",
    "CloseExpiredConnections",
    "DeadlineExpired",
    "Message",
    "RoundTimeout",
    "SampleEnded",
    "SetEntryCount",
    "SetService",
    "SetUpstreams",
    "Submit",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """A new request."""

    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """Nobody waits for the answer of a request any more."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SetUpstreams:
    """Upstreams that may be used from now on."""

    records: tuple[routes.UpstreamRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SetService:
    """A new version of the service."""

    service: routes.Service


@dataclasses.dataclass(frozen=True, slots=True)
class SetEntryCount:
    """Number of entries that share the retry budget."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class SampleEnded:
    """An upstream was asked for its load."""

    candidate: upstream_state.Candidate
    link: http_link.HttpLink
    result: link_messages.SampleResult


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The exchange of an attempt has ended."""

    number: int
    attempt: int
    result: forwarding.Result


@dataclasses.dataclass(frozen=True, slots=True)
class RoundTimeout:
    """The longest wait for the samples of a round has passed."""

    number: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExpired:
    """The time of a request is over."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloseExpiredConnections:
    """Time to close connections that have been idle for long."""


Message = (
    Submit
    | CallerGone
    | SetUpstreams
    | SetService
    | SetEntryCount
    | SampleEnded
    | AttemptEnded
    | RoundTimeout
    | DeadlineExpired
    | CloseExpiredConnections
)


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """State of one request.

    Attributes:
        request: The request.
        progress: What has been learnt of it.
        tried: Upstreams that it was sent to or could not be sent to.
        round: Number of decisions so far.
        search: Choice of an upstream for the current attempt.
        is_waiting: Whether it waits for an upstream to become calm or free.
        pending_samples: Upstreams whose samples the round waits for.
        candidate: Upstream of the current attempt.
        expected_slowdown: Expected time there, as a multiple of the usual.
        sent_at: Monotonic time in seconds at which the attempt began.
        link: Connection of the current attempt.
        attempts: Number of attempts so far.
        is_abandoned: Whether the caller has left.
        timer: Deadline.
    """

    request: requests.Request
    progress: forwarding.Progress
    tried: frozenset[str] = frozenset()
    round: int = 0
    search: upstream_search.Search | None = None
    is_waiting: bool = False
    pending_samples: set[str] = dataclasses.field(default_factory=set)
    candidate: upstream_state.Candidate | None = None
    expected_slowdown: float = 1.0
    sent_at: float = 0.0
    link: http_link.HttpLink | None = None
    attempts: int = 0
    is_abandoned: bool = False
    timer: asyncio.TimerHandle | None = None
