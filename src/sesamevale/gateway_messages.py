"""Settings of a gateway entry and the messages that it takes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import routes
    from sesamevale import settings as checked_settings
    from sesamevale.policy import registered_peers as peers
    from sesamevale.policy import retry_budget

__all__ = [
    "ConfigurationRead",
    "GatewaySettings",
    "MembersChanged",
    "Message",
    "PeersRead",
    "Stopping",
    "StoreReachabilityChanged",
    "UpstreamIdMismatch",
    "UpstreamsRead",
]


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway entry.

    Attributes:
        entry_id: Identifier, unique among the entries.
        data_center: Data centre of this entry.
        environment: Name of the fleet; entries of others are ignored.
        callers: Address for callers.
        entry_port: UDP port for other entries.
        metrics_port: TCP port for metrics and status.
        retry_budget: What all entries together may repeat.
        directory_lifetime_s: How long callers keep a directory answer, in
            seconds.
        config_bound_s: Time within which a version must be in force, in
            seconds.
        grace_s: Time from the signal to stop to the end, in seconds.
    """

    entry_id: str
    data_center: str
    environment: str
    callers: checked_settings.Endpoint
    entry_port: int
    metrics_port: int
    retry_budget: retry_budget.RetryBudgetLimits
    directory_lifetime_s: float
    config_bound_s: float
    grace_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A configuration was read.

    Attributes:
        configuration: The configuration.
        read_at: When the read was sent, in monotonic seconds.
    """

    configuration: routes.Configuration
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsRead:
    """All upstreams were read.

    Attributes:
        upstreams: The upstreams.
        read_at: When the read was sent, in monotonic seconds.
    """

    upstreams: tuple[routes.UpstreamRecord, ...]
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeersRead:
    """Entries that are registered in the store.

    Attributes:
        peers: The entries, this one included.
        read_at: When the read was sent, in monotonic seconds.
    """

    peers: tuple[peers.Peer, ...]
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReachabilityChanged:
    """The store was lost or is back."""

    unreachable: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """The gossip has news of members."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamIdMismatch:
    """The address of an upstream answers for another one."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """This entry is leaving."""


Message = (
    ConfigurationRead
    | UpstreamsRead
    | PeersRead
    | StoreReachabilityChanged
    | MembersChanged
    | UpstreamIdMismatch
    | Stopping
)
