"""Configuration of one environment as plain data classes.

The validated form that operators write is in ``document_models``.
"""

from __future__ import annotations

import dataclasses
import re

__all__ = [
    "Environment",
    "Limits",
    "Rule",
    "Service",
    "ShedResponse",
    "Upstream",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One server that a service lists.

    Attributes:
        name: Name, unique within the service.
        host: IP address.
        port: TCP port.
        data_center: Data centre of the server.
        slots: Calls that the server runs concurrently.
        connections: Connections that the server accepts from all entries.
    """

    name: str
    host: str
    port: int
    data_center: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShedResponse:
    """Form of an upstream's answer to a call that it shed and did not run."""

    status: int
    header: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Treatment of one kind of request.

    Attributes:
        name: Name, unique within the service.
        methods: HTTP methods that the rule matches.
        path: Compiled pattern for the whole path.
        repeatable: Whether a call may run more than once.
        identity_required: Whether a call without an identity is refused.
        deadline_ms: Longest time from arrival to answer, in milliseconds.
        priority: Priority in the queue; 0 is served first.
        hedge: Whether a second attempt may run in parallel with a slow
            first one.
    """

    name: str
    methods: frozenset[str]
    path: re.Pattern[str]
    repeatable: bool
    identity_required: bool
    deadline_ms: int
    priority: int
    hedge: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service: its upstreams and the rules for its requests.

    Attributes:
        name: Name, unique within the environment.
        upstreams: Servers in document order.
        rules: Rules in the order in which they are tried.
        homes: Number of entries that share the ownership of the upstreams.
        shed: Form of an answer that means "shed, not run".
        drain_header: Header by which an upstream announces that it is
            leaving.
        probe_path: Path of the health endpoint.
        probes_per_second: Probe budget of all entries together.
        queue_limit: Largest number of calls that wait for a slot at one
            entry.
        hedge_share: Largest number of hedges, as a share of all calls.
        nested: Whether the upstreams call other services through entries.
        prefix: First segment of the paths that belong to the service.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    rules: tuple[Rule, ...]
    homes: int
    shed: ShedResponse
    drain_header: bytes
    probe_path: str
    probes_per_second: float
    queue_limit: int
    hedge_share: float
    nested: bool
    prefix: str

    @property
    def slots(self) -> int:
        """Total number of slots of all upstreams."""
        return sum(upstream.slots for upstream in self.upstreams)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits that protect an entry from its callers."""

    header_bytes: int
    body_bytes: int
    connections: int
    connections_per_address: int
    idle_ms: int
    header_read_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Contents of one accepted document.

    Attributes:
        name: Name of the environment, such as ``production``.
        revision: Number of the accepted change; grows with each change.
        services: Services by name.
        directory_lifetime_ms: Lifetime of a directory answer at a caller, in
            milliseconds.
        identity_window_ms: Time within which an identity may be repeated, in
            milliseconds.
        entries_max: Largest number of entries; divides the probe budget.
        retry_budget: Retries that one call may cause in all layers together.
        limits: Limits on callers.
    """

    name: str
    revision: int
    services: dict[str, Service]
    directory_lifetime_ms: int
    identity_window_ms: int
    entries_max: int
    retry_budget: int
    limits: Limits
