"""Routes, upstreams and limits that the gateway's decisions are based on."""

from __future__ import annotations

import dataclasses

__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "Service",
    "SplitPart",
    "Tenant",
    "UpstreamRecord",
]


@dataclasses.dataclass(frozen=True, slots=True)
class SplitPart:
    """Part of a route's requests that is sent to one service.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other parts of the route.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Treatment of the requests for one host and one path prefix.

    Attributes:
        name: Name chosen by the operator.
        host: Requested host, in lower case.
        prefix: Prefix of the path.
        repeatable: Whether a request may run more than once.
        timeout_s: Longest time until a caller is answered, in seconds.
        objective_s: Latency objective in seconds.
        priority: Priority; 0 is the most urgent.
        parts: Services and their weights.
        upstreams_max: Largest number of upstreams that one request may be
            sent to.
        needs_key: Whether a request needs the key of a tenant, if the
            configuration has tenants.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    objective_s: float
    priority: int
    parts: tuple[SplitPart, ...]
    upstreams_max: int
    needs_key: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the settings that its upstreams share.

    Attributes:
        name: Name of the service.
        health_path: Path of the health and load report.
        connections_max: Largest number of connections that one upstream
            accepts from all entries together.
        warmup_s: Time in seconds for which an upstream is cold after a start.
        warmup_rate_per_s: Requests a second that a cold upstream accepts from
            all entries together; None if there is no such limit.
    """

    name: str
    health_path: str
    connections_max: int
    warmup_s: float = 0.0
    warmup_rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose requests carry one of its keys.

    Attributes:
        name: Name of the tenant.
        key_digests: Digests of its keys; the keys themselves are secret and
            are not kept.
        priority: Priority of its requests, which goes before that of the
            route; None if it has none.
        rate_per_s: Requests a second that all entries together let through;
            None if there is no limit.
        burst: Requests that may be let through at once in addition.
    """

    name: str
    key_digests: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers and their timing."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Number of the version; a higher one is newer.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        limits: Limits on callers.
        tenants: Tenants by name; without any, requests need no key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits
    tenants: dict[str, Tenant] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Record of one upstream in service discovery.

    Attributes:
        upstream_id: Identifier of the upstream.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        data_center: Data centre that it is in.
        slots: Requests that it runs at a time.
        draining: Whether it is about to leave.
        warmup_s: Remaining time of its warm-up after the start, in seconds.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        sequence: Sequence number of its heartbeat; restarts with the
            upstream.
        created: Revision of the store at which the record was created; 0 if
            unknown.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    data_center: str
    slots: int
    draining: bool
    warmup_s: float
    started_ms: int
    sequence: int
    created: int = 0
