"""Settings of a process that the platform passes in a file.

The template ``deploy/settings.json.in`` maps them to the project's names.
"""

from __future__ import annotations

import os
import pathlib
from typing import Annotated

import pydantic

from sesamevale import gateway_messages
from sesamevale import resources
from sesamevale import settings as checked_settings
from sesamevale.policy.admission import retry_budget

__all__ = ["DeploymentSettings", "SettingsError", "load"]

PATH_VARIABLE = "SESAMEVALE_NODE_FILE"
METRICS_VARIABLE = "SESAMEVALE_METRICS_PORT"
DEFAULT_METRICS_PORT = 9464
ENVIRONMENT = "platform"
# Callers ask again after this time. It is short so that they soon stop using an
# entry that has failed, and is capped by the platform's limit on the lifetime.
DIRECTORY_LIFETIME_S = 1.0
# Bound on drains and changes if the platform sets none.
DEFAULT_BOUND_MS = 2000.0
# Withdrawn keys work no longer than this at a machine that is cut off from the
# store. An outage of the store that is shorter turns no caller away.
KEY_LIFETIME_S = 900.0


class SettingsError(Exception):
    """The settings are not valid; the message names the place."""


def _parse_endpoint(value: object) -> object:
    if isinstance(value, str):
        return checked_settings.Endpoint.parse(value)
    return value


Endpoint = Annotated[
    checked_settings.Endpoint, pydantic.BeforeValidator(_parse_endpoint)
]


class _Bounds(pydantic.BaseModel):
    """Bounds on the service level; a bound that is not in force is null."""

    drain_ms: float = DEFAULT_BOUND_MS
    config_apply_ms: float = DEFAULT_BOUND_MS
    grace_s: float = 6.0
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_extra: float = 0.0
    directory_lifetime_max_s: float = DIRECTORY_LIFETIME_S
    quota_window_s: float | None = None
    quota_overage: float = 0.1
    quota_tolerance: float = 20.0
    warmup_overage: float | None = None
    warmup_tolerance: float = 8.0
    evacuate_ms: float | None = None
    # Whether machines that cannot read the store drop withdrawn keys in time.
    strict_revoke: bool = False
    revoke_ms: float = 5000.0

    @property
    def key_lifetime_s(self) -> float:
        """Time for which keys are accepted without a read of the store."""
        return self.revoke_ms / 1000 if self.strict_revoke else KEY_LIFETIME_S

    @pydantic.model_validator(mode="before")
    @classmethod
    def _drop_nulls(cls, values: object) -> object:
        if not isinstance(values, dict):
            return values
        return {key: each for key, each in values.items() if each is not None}


class _Store(pydantic.BaseModel):
    address: Endpoint


class _Machine(pydantic.BaseModel):
    """Resources of the machine; one that is not limited is null."""

    memory_mb: float | None = pydantic.Field(default=None, gt=0)
    descriptors_max: int | None = pydantic.Field(default=None, gt=0)
    cpu_share: float | None = pydantic.Field(default=None, gt=0)
    cores: float | None = pydantic.Field(default=None, gt=0)
    link_mbps: float | None = pydantic.Field(default=None, gt=0)

    def to_machine(self) -> resources.Machine:
        """Returns the resources; defaults stand for those not limited."""
        usual = resources.Machine()
        memory_bytes = usual.memory_bytes
        if self.memory_mb is not None:
            memory_bytes = int(self.memory_mb * resources.MIB)
        link_bytes_per_s = usual.link_bytes_per_s
        if self.link_mbps is not None:
            link_bytes_per_s = self.link_mbps * 1e6 / 8
        return resources.Machine(
            memory_bytes=memory_bytes,
            descriptors_max=self.descriptors_max or usual.descriptors_max,
            cores=(self.cpu_share or 1.0) * (self.cores or usual.cores),
            link_bytes_per_s=link_bytes_per_s,
        )


class DeploymentSettings(pydantic.BaseModel):
    """Contents of the settings file."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")

    entry_id: str = pydantic.Field(min_length=1)
    data_center: str = pydantic.Field(min_length=1)
    host: str
    callers: Endpoint
    readiness: Endpoint
    directory: Endpoint
    entry_ports: tuple[int, int]
    bounds: _Bounds
    store: _Store
    machine: _Machine = pydantic.Field(default_factory=_Machine)
    # Whether requests leave scarce room to those that cost more to turn away.
    order_of_service: bool = False
    # Control addresses of the first machines; their entries use other ports.
    seed_addresses: tuple[Endpoint, ...] | None = pydantic.Field(
        alias="seeds", default=None
    )

    @pydantic.model_validator(mode="after")
    def _check_ports(self) -> DeploymentSettings:
        first, last = self.entry_ports
        if self.bounds.quota_window_s is not None and first == last:
            raise ValueError("quotas need a second port in entry_ports")
        return self

    @property
    def seeds(self) -> tuple[tuple[str, int], ...]:
        """Addresses of entries that may have state that this entry lacks.

        The ports of entries are the same on all machines.
        """
        found = self.seed_addresses or ()
        return tuple(
            (each.host, self.entry_ports[0])
            for each in found
            if each.host != self.host
        )

    @property
    def propagation_bound_s(self) -> float:
        """Longest time until a store change must be known, in seconds."""
        bounds = self.bounds
        bound_ms = min(bounds.drain_ms, bounds.config_apply_ms)
        if bounds.evacuate_ms is not None:
            bound_ms = min(bound_ms, bounds.evacuate_ms)
        return bound_ms / 1000

    @property
    def directory_lifetime_s(self) -> float:
        """Lifetime of a directory answer at callers, in seconds."""
        lifetime_max_s = self.bounds.directory_lifetime_max_s
        return min(DIRECTORY_LIFETIME_S, lifetime_max_s)

    def gateway_settings(self) -> gateway_messages.GatewaySettings:
        """Returns the settings of the gateway."""
        bounds = self.bounds
        return gateway_messages.GatewaySettings(
            entry_id=self.entry_id,
            data_center=self.data_center,
            environment=ENVIRONMENT,
            callers=self.callers,
            entry_port=self.entry_ports[0],
            quota_port=self.entry_ports[1],
            metrics_port=_metrics_port(),
            retry_budget=retry_budget.RetryBudgetLimits(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
            ),
            directory_lifetime_s=self.directory_lifetime_s,
            config_bound_s=bounds.config_apply_ms / 1000,
            grace_s=bounds.grace_s,
            quota=_quota(bounds),
            warmup=_warmup(bounds),
            key_lifetime_s=bounds.key_lifetime_s,
            machine=self.machine.to_machine(),
            orders_service=self.order_of_service,
        )


def _quota(bounds: _Bounds) -> resources.QuotaBounds | None:
    if bounds.quota_window_s is None:
        return None
    return resources.QuotaBounds(
        bounds.quota_window_s, bounds.quota_overage, bounds.quota_tolerance
    )


def _warmup(bounds: _Bounds) -> resources.WarmupBounds | None:
    if bounds.warmup_overage is None:
        return None
    return resources.WarmupBounds(
        bounds.warmup_overage, bounds.warmup_tolerance
    )


def load() -> DeploymentSettings:
    """Reads the settings file that the environment names.

    Raises:
        SettingsError: The file is missing or a setting is not valid.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise SettingsError(f"{PATH_VARIABLE} is not set")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        return DeploymentSettings.model_validate_json(text)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(each) for each in first["loc"])
        raise SettingsError(f"{path}: {place}: {first['msg']}") from error


def _metrics_port() -> int:
    text = os.environ.get(METRICS_VARIABLE, str(DEFAULT_METRICS_PORT))
    if not text.isdigit() or not 0 < int(text) < 65536:
        raise SettingsError(f"{METRICS_VARIABLE}: {text!r} is not a port")
    return int(text)
