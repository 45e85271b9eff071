"""Decodes the store's items into the gateway's types."""

from __future__ import annotations

import base64
import binascii
import dataclasses
from typing import TYPE_CHECKING

import pydantic

from sesamevale import routes
from sesamevale.platform import models
from sesamevale.policy.configuration import credentials
from sesamevale.policy.membership import own_registration
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.membership import shared_state

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "CONFIG_KEY",
    "REGISTRATION_PREFIX",
    "Decoder",
    "Decoded",
    "decode_record",
    "encode_value",
]

CONFIG_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
REGISTRATION_PREFIX = "sesamevale/entries/"
# Value of ``kind`` for routes whose requests may run more than once.
REPEATABLE_KIND = "safe"
EVACUATION_PREFIX = "op/evacuate/"


@dataclasses.dataclass(frozen=True, slots=True)
class Decoded:
    """Result of decoding one read of the store.

    Attributes:
        contents: Values of the valid items.
        rejected: Error message of each item that is not valid, by key.
    """

    contents: shared_state.StoreContents
    rejected: dict[str, str]


def encode_value(model: pydantic.BaseModel) -> str:
    """Encodes a model as a value of the store: JSON in base64."""
    return base64.b64encode(model.model_dump_json().encode()).decode()


class Decoder:
    """Decodes items; caches each result until the item's revision changes.

    Revisions are given out again in each era of the store.
    """

    def __init__(self) -> None:
        self._era = 0
        self._decoded: dict[str, tuple[int, object]] = {}

    def decode(self, items: Iterable[models.Item], era: int = 0) -> Decoded:
        """Decodes the items of one complete read.

        Args:
            items: The items.
            era: Era of the store at the read; 0 if it names none.
        """
        if era != self._era:
            self._era = era
            self._decoded = {}
        decoded: dict[str, tuple[int, object]] = {}
        for item in items:
            cached = self._decoded.get(item.key)
            if cached is None or cached[0] != item.revision:
                cached = (item.revision, _decode(item))
            decoded[item.key] = cached
        self._decoded = decoded
        values = [value for _, value in decoded.values()]
        found = [
            each for each in values if isinstance(each, routes.Configuration)
        ]
        contents = shared_state.StoreContents(
            evacuated=frozenset(
                key.removeprefix(EVACUATION_PREFIX)
                for key in decoded
                if key.startswith(EVACUATION_PREFIX)
            ),
            configuration=found[0] if found else None,
            upstreams=tuple(
                each
                for each in values
                if isinstance(each, routes.UpstreamRecord)
            ),
            peers=tuple(
                each
                for each in values
                if isinstance(each, registered_peers.Peer)
            ),
            era=era,
        )
        rejected = {
            key: value
            for key, (_, value) in decoded.items()
            if isinstance(value, str)
        }
        return Decoded(contents, rejected)


def _decode(item: models.Item) -> object:
    """Returns the decoded value, an error message, or None for other keys."""
    try:
        content = base64.b64decode(item.value, validate=True)
        if item.key == CONFIG_KEY:
            return _configuration(
                models.PublishedConfig.model_validate_json(content)
            )
        if item.key.startswith(UPSTREAM_PREFIX):
            upstream_id = item.key.removeprefix(UPSTREAM_PREFIX)
            return _upstream(
                models.UPSTREAM_ID.validate_python(upstream_id),
                models.Heartbeat.model_validate_json(content),
                item.created,
            )
        if item.key.startswith(REGISTRATION_PREFIX):
            found = models.Registration.model_validate_json(content)
            return _peer(found, item)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(each) for each in first["loc"])
        return f"{place}: {first['msg']}"
    except (binascii.Error, ValueError) as error:
        return str(error)
    return None


def decode_record(item: models.Item) -> own_registration.Record:
    """Returns what the key of an entry holds, whatever its value."""
    decoded = _decode(item)
    if isinstance(decoded, registered_peers.Peer) and decoded.record:
        return decoded.record
    return own_registration.Record(lease=item.lease, revision=item.revision)


def _peer(
    found: models.Registration, item: models.Item
) -> registered_peers.Peer:
    record = own_registration.Record(
        found.incarnation, item.lease, item.revision, found.era
    )
    return registered_peers.Peer(
        found.entry_id,
        found.data_center,
        found.host,
        found.caller_port,
        found.entry_port,
        record,
    )


def _upstream(
    upstream_id: str, heartbeat: models.Heartbeat, created: int
) -> routes.UpstreamRecord:
    host, _, port = heartbeat.address.rpartition(":")
    return routes.UpstreamRecord(
        upstream_id=upstream_id,
        service=heartbeat.service,
        host=host,
        port=int(port),
        data_center=heartbeat.data_center,
        slots=heartbeat.slots,
        draining=heartbeat.state == "draining",
        warmup_s=heartbeat.warmup_left_ms / 1000,
        started_ms=heartbeat.started_ms,
        sequence=heartbeat.sequence,
        created=created,
    )


def _configuration(found: models.PublishedConfig) -> routes.Configuration:
    by_host: dict[str, tuple[routes.Route, ...]] = {}
    for each in found.hosts:
        host = each.host.lower()
        host_routes = [_route(host, route) for route in each.routes]
        host_routes += by_host.get(host, ())
        host_routes.sort(key=lambda route: -len(route.prefix))
        by_host[host] = tuple(host_routes)
    limits = found.limits
    return routes.Configuration(
        version=int(found.version[1:]),
        routes=by_host,
        services={
            each.name: routes.Service(
                each.name,
                each.health_path,
                each.connections_max,
                each.warmup_s,
                each.warmup_rate_per_s or None,
            )
            for each in found.services
        },
        limits=routes.CallerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        tenants={
            each.name: routes.Tenant(
                each.name,
                tuple(credentials.digest_of(key.encode()) for key in each.keys),
                each.priority,
                each.rate_per_s or None,
                each.burst,
            )
            for each in found.tenants
        },
    )


def _route(host: str, found: models._Route) -> routes.Route:
    if found.parts:
        parts = tuple(
            routes.SplitPart(part.service, part.weight) for part in found.parts
        )
    else:
        assert found.service is not None
        parts = (routes.SplitPart(found.service, 1),)
    return routes.Route(
        name=found.name,
        host=host,
        prefix=found.prefix,
        repeatable=found.kind == REPEATABLE_KIND,
        timeout_s=found.timeout_ms / 1000,
        objective_s=found.objective_ms / 1000,
        priority=found.priority,
        parts=parts,
        upstreams_max=found.upstreams_max,
        needs_key=not found.is_open,
    )
