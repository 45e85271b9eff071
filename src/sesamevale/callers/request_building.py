"""Requests to the gateway, built from what callers have sent."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import http1
from sesamevale.callers import caller_keys
from sesamevale.forwarding import requests
from sesamevale.policy.configuration import credentials

if TYPE_CHECKING:
    import h11

    from sesamevale import bodies
    from sesamevale import routes
    from sesamevale.forwarding import router as routers

__all__ = ["build_request", "priority_of"]

BODY_FIELDS = frozenset(
    (http1.HeaderName.CONTENT_LENGTH, http1.HeaderName.TRANSFER_ENCODING)
)


def priority_of(route: routes.Route, identity: credentials.Identity) -> int:
    """Returns the priority of a request; 0 is the most urgent."""
    if isinstance(identity, credentials.Identified):
        tenant = identity.tenant
        if tenant is not None and tenant.priority is not None:
            return tenant.priority
    return route.priority


def build_request(
    router: routers.RequestRouter,
    head: h11.Request,
    route: routes.Route,
    identity: credentials.Identified,
    body: bodies.BodyBuffer,
    arrived: float,
) -> requests.Request:
    """Builds the request that is passed to the router.

    Args:
        router: Router that it is to be submitted to.
        head: Head as received.
        route: Route that matched.
        identity: Whose request it is.
        body: The whole body; empty if there is none.
        arrived: Monotonic time of arrival in seconds.
    """
    dialect = router.dialect
    received = tuple(head.headers)
    requested_ms = http1.get_integer_header(received, dialect.deadline_ms)
    caller_deadline = math.inf
    if requested_ms is not None:
        caller_deadline = arrived + requested_ms / 1000
    dropped = frozenset(
        (
            dialect.deadline_ms,
            dialect.expected_upstream,
            http1.HeaderName.CONTENT_LENGTH,
        )
    )
    headers = http1.strip_hop_by_hop(received, dropped)
    if router.credentials.has_tenants:
        headers = caller_keys.forwarded_fields(headers, dialect, identity)
    configuration = router.view.configuration
    assert configuration is not None
    has_body = any(name in BODY_FIELDS for name, _ in received)
    return requests.Request(
        number=router.next_request_number(),
        request_id=http1.get_header(received, dialect.request_id) or b"",
        route=route,
        service=router.choose_service(route),
        version=configuration.version,
        method=bytes(head.method),
        target=bytes(head.target),
        headers=headers,
        body=body if has_body else None,
        arrived=arrived,
        deadline=min(arrived + route.timeout_s, caller_deadline),
        caller_deadline=caller_deadline,
        answer=calls.AnswerChannel(),
        priority=priority_of(route, identity),
        tenant=identity.tenant,
        key_digest=identity.key_digest,
    )
