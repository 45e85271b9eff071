"""Routes, upstreams and limits as the gateway's decisions know them."""

from __future__ import annotations

import dataclasses

__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "Service",
    "SplitPart",
    "UpstreamRecord",
]


@dataclasses.dataclass(frozen=True, slots=True)
class SplitPart:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What is done with the requests of one host below one path.

    Attributes:
        name: Name given by the operator.
        host: Host that is asked for, in lower case.
        prefix: Beginning of the path.
        repeatable: Whether a request may run more than once.
        timeout_s: Longest time a caller is kept waiting, in seconds.
        objective_s: Latency objective in seconds.
        priority: Rank; 0 is the most urgent.
        parts: Services and their weights.
        upstreams_max: Most upstreams that one request may be sent to.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and how its upstreams are probed.

    Attributes:
        name: Name of the service.
        health_path: Path of the health and load report.
        connections_max: Connections that one upstream accepts from all
            entries together.
    """

    name: str
    health_path: str
    connections_max: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

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
        limits: Limits towards callers.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """What the discovery says of one upstream.

    Attributes:
        upstream_id: Identifier of the upstream.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        data_center: Data centre that it is in.
        slots: Requests that it runs at a time.
        draining: Whether it is about to leave.
        warmup_s: How much longer it is slow after its start, in seconds.
        started_ms: Unix time of its start in milliseconds; 0 if not said.
        sequence: Number of its heartbeat; starts anew with each start.
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
