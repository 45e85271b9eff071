"""Requests of callers that the gateway forwards."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import bodies
    from sesamevale import calls
    from sesamevale import memory_room
    from sesamevale import routes

__all__ = ["Request"]


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller.

    Attributes:
        number: Number, unique within this process.
        request_id: Identifier of the caller's attempt; empty if there is
            none.
        route: Route that matched.
        service: Service that the request goes to.
        version: Version of the configuration that the route belongs to.
        method: HTTP method.
        target: Request target as received.
        headers: Header fields that are forwarded.
        body: The whole body, or None if the request has none.
        arrived: Monotonic time of arrival in seconds.
        deadline: Monotonic time in seconds by which it must be answered.
        caller_deadline: Monotonic time in seconds at which the caller stops
            waiting; infinite if it did not state one.
        answer: Channel that receives the answer.
        traceparent: W3C trace context, if the request is traced.
        upstream_seconds: Total duration of its attempts.
        priority: Priority of its tenant or else of its route; 0 is the most
            urgent.
        tenant: Tenant whose key it carried; None without one.
        key_digest: Digest of that key.
        claim: Memory that it holds; None if it isn't counted.
    """

    number: int
    request_id: bytes
    route: routes.Route
    service: str
    version: int
    method: bytes
    target: bytes
    headers: calls.Headers
    body: bodies.BodyBuffer | None
    arrived: float
    deadline: float
    caller_deadline: float
    answer: calls.AnswerChannel
    traceparent: bytes | None = None
    upstream_seconds: float = 0.0
    priority: int = 0
    tenant: routes.Tenant | None = None
    key_digest: str | None = dataclasses.field(default=None, repr=False)
    claim: memory_room.Claim | None = None
