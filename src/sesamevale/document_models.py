"""Validated form of the configuration documents that operators write."""

from __future__ import annotations

import ipaddress
import json
from typing import Annotated
from typing import Any
from typing import Self

import pydantic

from sesamevale import documents
from sesamevale.policy.configuration import matching

__all__ = [
    "DocumentModel",
    "SERVICE_PREFIX",
    "SETTINGS_PART",
    "default_limits",
    "from_parts",
    "schema",
    "to_parts",
]

SETTINGS_PART = "settings"
SERVICE_PREFIX = "service/"
SERVICES_MAX = 256
UPSTREAMS_MAX = 4096

Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
]
HeaderName = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9-]{0,64}$")
]
Method = Annotated[str, pydantic.StringConstraints(pattern=r"^[A-Z]{1,16}$")]
PathPattern = Annotated[
    str, pydantic.StringConstraints(pattern=r"^/[!-~]{0,255}$")
]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class UpstreamModel(_Model):
    """One server of a service."""

    name: Name
    host: str = pydantic.Field(description="IP address")
    port: int = pydantic.Field(ge=1, le=65535)
    data_center: Name
    slots: int = pydantic.Field(ge=1, le=1024)
    connections: int = pydantic.Field(200, ge=1, le=100_000)

    @pydantic.field_validator("host")
    @classmethod
    def _check_host(cls, value: str) -> str:
        try:
            ipaddress.ip_address(value)
        except ValueError:
            raise ValueError("is not an IP address") from None
        return value


class RuleModel(_Model):
    """Treatment of one kind of request."""

    name: Name
    methods: tuple[Method, ...] = pydantic.Field(min_length=1)
    path: PathPattern
    repeatable: bool
    identity_required: bool = True
    deadline_ms: int = pydantic.Field(ge=10, le=600_000)
    priority: int = pydantic.Field(1, ge=0, le=9)
    hedge: bool = False

    @pydantic.model_validator(mode="after")
    def _check_hedge(self) -> Self:
        if self.hedge and not self.repeatable:
            raise ValueError("hedge needs repeatable = true")
        return self


class ShedModel(_Model):
    """Form of an answer that means "shed, not run"."""

    status: int = pydantic.Field(503, ge=400, le=599)
    header: HeaderName = "x-shed"
    value: str = "not-run"


class ServiceModel(_Model):
    """One service."""

    prefix: Name | None = pydantic.Field(
        None, description="first path segment; the service's name if absent"
    )
    homes: int = pydantic.Field(1, ge=1, le=64)
    queue_limit: int = pydantic.Field(500, ge=0, le=100_000)
    hedge_share: float = pydantic.Field(0.0, ge=0.0, le=0.25)
    nested: bool = False
    probe_path: PathPattern = "/healthz"
    probes_per_second: float = pydantic.Field(1.0, ge=0.0, le=1000.0)
    drain_header: HeaderName = "x-draining"
    shed: ShedModel = ShedModel()
    upstreams: tuple[UpstreamModel, ...] = pydantic.Field(
        max_length=UPSTREAMS_MAX
    )
    rules: tuple[RuleModel, ...] = pydantic.Field(min_length=1)

    @pydantic.model_validator(mode="after")
    def _check_names(self) -> Self:
        _reject_duplicates("upstream", [each.name for each in self.upstreams])
        _reject_duplicates("rule", [each.name for each in self.rules])
        addresses = [f"{each.host}:{each.port}" for each in self.upstreams]
        _reject_duplicates("upstream address", addresses)
        return self


class LimitsModel(_Model):
    """Limits on callers."""

    header_bytes: int = pydantic.Field(16_384, ge=1024, le=1_048_576)
    body_bytes: int = pydantic.Field(8_388_608, ge=0, le=1_073_741_824)
    connections: int = pydantic.Field(2000, ge=1, le=100_000)
    connections_per_address: int = pydantic.Field(1000, ge=1, le=100_000)
    idle_ms: int = pydantic.Field(60_000, ge=100, le=3_600_000)
    header_read_ms: int = pydantic.Field(5000, ge=100, le=60_000)


class SettingsModel(_Model):
    """Settings of the whole environment."""

    directory_lifetime_ms: int = pydantic.Field(5000, ge=100, le=600_000)
    identity_window_ms: int = pydantic.Field(600_000, ge=1000, le=86_400_000)
    entries_max: int = pydantic.Field(8, ge=1, le=1024)
    retry_budget: int = pydantic.Field(2, ge=0, le=10)
    limits: LimitsModel = LimitsModel()


class DocumentModel(_Model):
    """A whole document."""

    environment: Name
    settings: SettingsModel = SettingsModel()
    services: dict[Name, ServiceModel] = pydantic.Field(max_length=SERVICES_MAX)

    @pydantic.model_validator(mode="after")
    def _check_prefixes(self) -> Self:
        prefixes = [
            service.prefix or name for name, service in self.services.items()
        ]
        _reject_duplicates("prefix", prefixes)
        return self


def _reject_duplicates(kind: str, values: list[str]) -> None:
    duplicates = sorted({each for each in values if values.count(each) > 1})
    if duplicates:
        raise ValueError(f"{kind} used twice: {', '.join(duplicates)}")


def schema() -> dict[str, Any]:
    """Returns the JSON schema of documents."""
    return DocumentModel.model_json_schema()


def to_parts(model: DocumentModel) -> dict[str, bytes]:
    """Returns a document as parts that are stored separately."""
    parts = {SETTINGS_PART: _canonical_json(model.settings)}
    for name, service in model.services.items():
        parts[SERVICE_PREFIX + name] = _canonical_json(service)
    return parts


def from_parts(
    environment: str, revision: int, parts: dict[str, bytes]
) -> documents.Environment:
    """Builds the data classes from stored parts.

    Args:
        environment: Name of the environment.
        revision: Revision of the accepted document.
        parts: Content by part name.

    Raises:
        pydantic.ValidationError: A part is not valid.
        KeyError: The settings are missing.
    """
    settings = SettingsModel.model_validate_json(parts[SETTINGS_PART])
    services = {}
    for name, content in sorted(parts.items()):
        if name.startswith(SERVICE_PREFIX):
            service = name.removeprefix(SERVICE_PREFIX)
            model = ServiceModel.model_validate_json(content)
            services[service] = _service(service, model)
    return documents.Environment(
        name=environment,
        revision=revision,
        services=services,
        directory_lifetime_ms=settings.directory_lifetime_ms,
        identity_window_ms=settings.identity_window_ms,
        entries_max=settings.entries_max,
        retry_budget=settings.retry_budget,
        limits=documents.Limits(**settings.limits.model_dump()),
    )


def default_limits() -> documents.Limits:
    """Returns the limits that apply before a document is in force."""
    return documents.Limits(**LimitsModel().model_dump())


def _canonical_json(model: pydantic.BaseModel) -> bytes:
    content = model.model_dump(mode="json")
    return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()


def _service(name: str, model: ServiceModel) -> documents.Service:
    return documents.Service(
        name=name,
        upstreams=tuple(
            documents.Upstream(**each.model_dump()) for each in model.upstreams
        ),
        rules=tuple(_rule(each) for each in model.rules),
        homes=model.homes,
        shed=documents.ShedResponse(
            model.shed.status,
            model.shed.header.encode(),
            model.shed.value.encode(),
        ),
        drain_header=model.drain_header.encode(),
        probe_path=model.probe_path,
        probes_per_second=model.probes_per_second,
        queue_limit=model.queue_limit,
        hedge_share=model.hedge_share,
        nested=model.nested,
        prefix=model.prefix or name,
    )


def _rule(model: RuleModel) -> documents.Rule:
    return documents.Rule(
        name=model.name,
        methods=frozenset(model.methods),
        path=matching.compile_pattern(model.path),
        repeatable=model.repeatable,
        identity_required=model.identity_required,
        deadline_ms=model.deadline_ms,
        priority=model.priority,
        hedge=model.hedge,
    )
