"""Validated values and answers of the platform's store."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated
from typing import Literal

import pydantic

__all__ = [
    "Conflict",
    "Heartbeat",
    "Item",
    "LeaseGranted",
    "Page",
    "PublishedConfig",
    "Registration",
    "Written",
    "UPSTREAM_ID",
]

PORT_MAX = 65535
# Larger integers cannot be used in arithmetic with floats everywhere.
INTEGER_MAX = 2**53
SLOTS_MAX = 1_000_000
WARMUP_MS_MAX = 1e9
VERSION_PATTERN = re.compile(r"r(\d{1,15})")


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError("the port is not a number")
    if not 0 < int(port) <= PORT_MAX:
        raise ValueError("the port is out of range")
    return value


Address = Annotated[
    str, pydantic.Strict(), pydantic.AfterValidator(_check_address)
]
Text = Annotated[str, pydantic.StringConstraints(min_length=1, strict=True)]
# Text that can be the value of a header field.
HeaderText = Annotated[
    str,
    pydantic.StringConstraints(max_length=200, pattern=r"^[!-~]+\z"),
]
Port = Annotated[int, pydantic.Field(gt=0, le=PORT_MAX)]
Count = Annotated[int, pydantic.Field(ge=0, le=INTEGER_MAX, strict=True)]
UPSTREAM_ID: pydantic.TypeAdapter[str] = pydantic.TypeAdapter(HeaderText)


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        frozen=True, extra="ignore", allow_inf_nan=False
    )


class Item(_Model):
    """One key of the store; ``value`` is standard base64."""

    key: str
    value: str
    revision: int
    created: int = 0
    lease: int = 0


class Page(_Model):
    """Answer to a range read.

    ``currentRev`` is the store's revision; pages are not a snapshot.
    """

    items: list[Item]
    more: bool = pydantic.Field(alias="hasMore")


class Conflict(_Model):
    """Answer to a transaction whose condition does not hold.

    ``items`` are the keys of the condition with their current values.
    """

    items: list[Item]


class Written(_Model):
    """Answer to a transaction that took effect."""

    revision: int


class LeaseGranted(_Model):
    """Answer to a request for a lease, or for its renewal."""

    lease: int = 0
    ttl_ms: int = pydantic.Field(alias="ttlMs")


class Heartbeat(_Model):
    """State that an upstream reports about itself."""

    service: Text
    address: Address
    data_center: Text = pydantic.Field(alias="zone")
    slots: Annotated[int, pydantic.Field(ge=1, le=SLOTS_MAX, strict=True)]
    state: Literal["ready", "draining"]
    warmup_left_ms: float = pydantic.Field(
        alias="warmupLeftMs", ge=0, le=WARMUP_MS_MAX
    )
    # Number of the heartbeat since the upstream started.
    sequence: Count = pydantic.Field(alias="seqNo")
    started_ms: Count = pydantic.Field(alias="born", default=0)


class _Part(_Model):
    service: Text
    weight: Annotated[int, pydantic.Field(ge=0)]


class _Route(_Model):
    name: Text
    prefix: Annotated[str, pydantic.StringConstraints(pattern=r"^/")]
    kind: Text
    timeout_ms: float = pydantic.Field(alias="timeoutMs", gt=0)
    objective_ms: float = pydantic.Field(
        alias="targetLatencyMs", gt=0, default=1000.0
    )
    priority: int = 0
    service: str | None = None
    parts: list[_Part] | None = pydantic.Field(
        alias="trafficSplit", default=None
    )
    upstreams_max: int = pydantic.Field(alias="maxAttempts", ge=1, default=1)
    is_open: bool = pydantic.Field(alias="authExempt", default=False)

    @pydantic.model_validator(mode="after")
    def _has_service(self) -> _Route:
        if not self.service and not self.parts:
            raise ValueError("route has neither service nor trafficSplit")
        return self


class _Host(_Model):
    host: Text
    routes: list[_Route] = pydantic.Field(alias="paths")


class _Service(_Model):
    name: Text
    health_path: str = pydantic.Field(alias="healthPath", default="/health")
    connections_max: int = pydantic.Field(
        alias="maxConnections", ge=1, default=100
    )
    warmup_s: float = pydantic.Field(alias="warmupS", ge=0, default=0.0)
    # 0 for no limit.
    warmup_rate_per_s: float = pydantic.Field(
        alias="warmupPerS", ge=0, default=0.0
    )


class _Tenant(_Model):
    name: HeaderText
    keys: list[Text] = pydantic.Field(
        alias="apiKeys", default_factory=list, repr=False
    )
    priority: int | None = None
    # 0 for no limit.
    rate_per_s: float = pydantic.Field(alias="ratePerS", ge=0, default=0.0)
    burst: float = pydantic.Field(ge=0, default=0.0)


class _Limits(_Model):
    header_bytes: int = pydantic.Field(alias="maxHeaderBytes", ge=1)
    body_bytes: int = pydantic.Field(alias="maxBodyBytes", ge=0)
    header_timeout_ms: float = pydantic.Field(alias="headerTimeoutMs", gt=0)
    idle_timeout_ms: float = pydantic.Field(alias="idleTimeoutMs", gt=0)


class PublishedConfig(_Model):
    """The operator's configuration."""

    version: Annotated[str, pydantic.StringConstraints(pattern=VERSION_PATTERN)]
    services: list[_Service]
    limits: _Limits
    hosts: list[_Host] = pydantic.Field(alias="virtualHosts")
    tenants: list[_Tenant] = pydantic.Field(default_factory=list)

    @pydantic.field_validator("tenants")
    @classmethod
    def _check_tenants(cls, tenants: list[_Tenant]) -> list[_Tenant]:
        if len({each.name for each in tenants}) < len(tenants):
            raise ValueError("two tenants have the same name")
        owners: dict[str, str] = {}
        for tenant in tenants:
            for key in tenant.keys:
                if owners.setdefault(key, tenant.name) != tenant.name:
                    raise ValueError("two tenants share a key")
        return tenants


class Registration(_Model):
    """Addresses that an entry registers for the other entries.

    ``incarnation`` is that of the process, ``era`` that of the store when it
    was written; 0 in registrations that do not say.
    """

    entry_id: Text
    data_center: Text
    host: Text
    caller_port: Port
    entry_port: Port
    incarnation: Count = 0
    era: Count = 0
