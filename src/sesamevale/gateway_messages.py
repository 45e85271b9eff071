"""Settings of a gateway entry and the messages that it handles."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sesamevale import resources

if TYPE_CHECKING:
    from sesamevale import routes
    from sesamevale import settings as checked_settings
    from sesamevale.policy.admission import drain_schedule
    from sesamevale.policy.admission import retry_budget
    from sesamevale.policy.membership import registered_peers as peers
    from sesamevale.policy.membership import store_view

__all__ = [
    "ConfigurationRead",
    "EvacuationsRead",
    "GatewaySettings",
    "GraceEnded",
    "MembersChanged",
    "Message",
    "PeersRead",
    "Stopping",
    "StoreReachabilityChanged",
    "StoreViewChanged",
    "UpstreamIdMismatch",
    "UpstreamsRead",
]


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway entry.

    Attributes:
        entry_id: Identifier, unique among the entries of the environment.
        data_center: Data centre of this entry.
        environment: Name of the environment; entries of other environments
            are ignored.
        callers: Address on which callers are accepted.
        entry_port: UDP port for gossip; other entries fetch the contents of
            the store from the TCP port with the same number.
        quota_port: UDP port for messages on quotas; the distance from
            ``entry_port`` is the same at all entries.
        metrics_port: TCP port for metrics and status.
        retry_budget: Limits on the retries of all entries together.
        directory_lifetime_s: Lifetime of a directory answer at callers, in
            seconds.
        config_bound_s: Longest time until a version must be in force, in
            seconds.
        grace_s: Time from the stop signal to the end of the process, in
            seconds.
        quota: Bounds on the requests of tenants with a rate limit; None if
            the deployment has none.
        warmup: Bounds on the requests to cold upstreams; None if the
            deployment has none.
        key_lifetime_s: Time in seconds after the last confirmation of the
            configuration for which its keys are accepted.
        machine: Resources of the machine.
        orders_service: Whether requests that cost their callers less to be
            turned away leave scarce room to others.
    """

    entry_id: str
    data_center: str
    environment: str
    callers: checked_settings.Endpoint
    entry_port: int
    quota_port: int
    metrics_port: int
    retry_budget: retry_budget.RetryBudgetLimits
    directory_lifetime_s: float
    config_bound_s: float
    grace_s: float
    quota: resources.QuotaBounds | None = None
    warmup: resources.WarmupBounds | None = None
    key_lifetime_s: float = 900.0
    machine: resources.Machine = dataclasses.field(
        default_factory=resources.Machine
    )
    orders_service: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A configuration was read from the store.

    Attributes:
        configuration: The configuration.
        read_at: When the read was sent, in monotonic seconds.
    """

    configuration: routes.Configuration
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsRead:
    """The list of all upstreams was read from the store.

    Attributes:
        upstreams: The upstreams.
        read_at: When the read was sent, in monotonic seconds.
        grace_until: Until when missing upstreams may be used, in monotonic
            seconds.
        era: Era of the store; 0 if it names none.
    """

    upstreams: tuple[routes.UpstreamRecord, ...]
    read_at: float
    grace_until: float = float("-inf")
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsRead:
    """The list of evacuated data centres was read from the store.

    Attributes:
        data_centers: Data centres whose upstreams are to get nothing more.
        read_at: When the read was sent, in monotonic seconds.
    """

    data_centers: frozenset[str]
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeersRead:
    """The list of registered entries was read from the store.

    Attributes:
        peers: The entries, including this one.
        read_at: When the read was sent, in monotonic seconds.
        grace_until: Until when missing entries are kept, in monotonic
            seconds.
        era: Era of the store; 0 if it names none.
    """

    peers: tuple[peers.Peer, ...]
    read_at: float
    grace_until: float = float("-inf")
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GraceEnded:
    """What is missing since an outage of the store is gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreViewChanged:
    """The view of the store changed its state.

    Attributes:
        view: The view now.
    """

    view: store_view.Summary


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReachabilityChanged:
    """The store became unreachable or reachable again.

    Attributes:
        unreachable: Whether it is unreachable now.
        reason: Reason for the log.
    """

    unreachable: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """The members changed according to gossip."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamIdMismatch:
    """An upstream's address answered with the identifier of another one.

    Attributes:
        upstream_id: Identifier of the upstream that was expected.
    """

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """This entry has begun to stop.

    Attributes:
        schedule: Times of the shutdown.
    """

    schedule: drain_schedule.DrainSchedule


Message = (
    ConfigurationRead
    | UpstreamsRead
    | EvacuationsRead
    | PeersRead
    | GraceEnded
    | StoreViewChanged
    | StoreReachabilityChanged
    | MembersChanged
    | UpstreamIdMismatch
    | Stopping
)
