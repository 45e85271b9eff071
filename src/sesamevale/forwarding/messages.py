"""Messages to a service task, and the state of a request there."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sesamevale.policy.balancing import upstream_search
from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.calls import forwarding

if TYPE_CHECKING:
    import asyncio

    from sesamevale import routes
    from sesamevale.forwarding import requests
    from sesamevale.policy.admission import drain_schedule
    from sesamevale.policy.admission import quota_types
    from sesamevale.policy.admission import suspects
    from sesamevale.policy.membership import registered_peers
    from sesamevale.upstreams import http_link
    from sesamevale.upstreams import link_messages

__all__ = [
    "ActiveRequest",
    "AttemptEnded",
    "CallerGone",
    "CloseExpiredConnections",
    "DeadlineExpired",
    "EndRequests",
    "InquiryEnded",
    "Message",
    "PermitDecided",
    "RoundTimeout",
    "SampleEnded",
    "SetEntryCount",
    "SetRegisteredEntries",
    "SetService",
    "SetUpstreams",
    "StartDrain",
    "StreamEnded",
    "Submit",
    "SuspicionsHeard",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Forwards a request.

    Attributes:
        request: The request.
    """

    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller of a request no longer waits for its answer.

    Attributes:
        number: Number of the request.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SetUpstreams:
    """Replaces the upstreams that may be used.

    Attributes:
        records: Upstreams of the service that may be used from now on.
    """

    records: tuple[routes.UpstreamRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SetService:
    """Replaces the settings of the service.

    Attributes:
        service: The new settings.
    """

    service: routes.Service


@dataclasses.dataclass(frozen=True, slots=True)
class SetEntryCount:
    """Sets the number of entries that share budgets and connections.

    Attributes:
        count: Number of entries.
    """

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class SetRegisteredEntries:
    """Sets the entries that share the limits of upstreams.

    Attributes:
        peers: All registered entries.
        read_at: When they were read, in monotonic seconds.
    """

    peers: tuple[registered_peers.Peer, ...]
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SampleEnded:
    """Sampling the load of an upstream has ended.

    Attributes:
        candidate: The upstream.
        link: Connection that was used.
        result: Result of the sample.
    """

    candidate: upstream_state.Candidate
    link: http_link.HttpLink
    result: link_messages.SampleResult


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        number: Number of the request.
        attempt: Number of the attempt within the request.
        result: Result of the attempt.
    """

    number: int
    attempt: int
    result: forwarding.Result


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDecided:
    """Whether an attempt of a tenant's request may begin has been decided.

    Attributes:
        request: The request.
        verdict: The verdict.
    """

    request: requests.Request
    verdict: quota_types.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """The upstream has ended an answer that is streamed to the caller.

    Attributes:
        number: Number of the request.
        complete: Whether the answer is complete.
    """

    number: int
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RoundTimeout:
    """The time of a round of the search for an upstream is over.

    The round waited for samples, or for an upstream with less load or a free
    slot.

    Attributes:
        number: Number of the request.
        round: Number of the round within the request.
    """

    number: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExpired:
    """The deadline of a request has passed.

    Attributes:
        number: Number of the request.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class InquiryEnded:
    """It is known whether an upstream that cut off attempts still listens.

    Attributes:
        candidate: The upstream.
        is_listening: Whether it listens.
    """

    candidate: upstream_state.Candidate
    is_listening: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionsHeard:
    """Other entries have seen upstreams end under requests.

    Attributes:
        suspicions: What they have seen.
    """

    suspicions: tuple[suspects.Suspicion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartDrain:
    """Starts no attempt that is expected to outlast the drain of the entry.

    Attributes:
        schedule: Times of the drain.
    """

    schedule: drain_schedule.DrainSchedule


@dataclasses.dataclass(frozen=True, slots=True)
class EndRequests:
    """Ends all requests with their outcomes, since the entry exits."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseExpiredConnections:
    """Closes idle connections that upstreams may be about to close."""


Message = (
    Submit
    | CallerGone
    | SetUpstreams
    | SetService
    | SetEntryCount
    | SetRegisteredEntries
    | SampleEnded
    | AttemptEnded
    | PermitDecided
    | StreamEnded
    | RoundTimeout
    | DeadlineExpired
    | InquiryEnded
    | SuspicionsHeard
    | StartDrain
    | EndRequests
    | CloseExpiredConnections
)


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """State of one request.

    Attributes:
        request: The request.
        progress: Results of its attempts so far.
        tried: Identifiers of the upstreams of earlier attempts.
        round: Number of the current round, also increased by each attempt and
            by the deadline; a timeout of an earlier round is ignored.
        search: Search for the upstream of the current attempt.
        is_waiting: Whether it waits for an upstream with less load or a free
            slot.
        pending_samples: Identifiers of the upstreams whose samples the
            current round waits for.
        candidate: Upstream of the current attempt.
        expected_slowdown: Expected duration there, as a multiple of the usual
            one.
        sent_at: Monotonic time in seconds at which the attempt began.
        link: Connection of the current attempt.
        attempts: Number of the latest attempt, also increased if it is
            cancelled; a result of an earlier number is ignored.
        is_abandoned: Whether the caller no longer waits for the answer.
        is_streaming: Whether the current attempt streams its answer.
        timer: Timer of the deadline.
        permit: Permit for the next attempt of a tenant's request.
        used_permit: Permit of the current attempt.
        is_admitted: Whether it counts among the admitted requests of its
            tenant that wait.
        awaits_permit: Whether a permit has been asked for.
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
    is_streaming: bool = False
    timer: asyncio.TimerHandle | None = None
    permit: quota_types.Granted | None = None
    used_permit: quota_types.Granted | None = None
    is_admitted: bool = False
    awaits_permit: bool = False
