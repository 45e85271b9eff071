"""Validated settings of the daemon."""

from __future__ import annotations

import ipaddress
import re
from typing import Literal

import pydantic

__all__ = ["Endpoint", "Problem", "Settings", "check"]

ENDPOINT_PATTERN = re.compile(r"(?P<host>[0-9a-fA-F.:\[\]]+):(?P<port>\d{1,5})")


class Endpoint(pydantic.BaseModel):
    """IP address and port."""

    model_config = pydantic.ConfigDict(frozen=True)

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Endpoint:
        """Parses ``IP-ADDRESS:PORT``.

        Raises:
            ValueError: The text has a different form.
        """
        matched = ENDPOINT_PATTERN.fullmatch(text)
        if matched is None:
            raise ValueError("must be IP-ADDRESS:PORT")
        host = matched["host"].strip("[]")
        ipaddress.ip_address(host)
        port = int(matched["port"])
        if not 0 < port < 65536:
            raise ValueError("must have a port from 1 to 65535")
        return cls(host=host, port=port)


class Settings(pydantic.BaseModel):
    """Settings of one entry, from flags and environment variables."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    entry_id: str = pydantic.Field(pattern=r"^[A-Za-z0-9_.-]{1,64}$")
    data_center: str = pydantic.Field(pattern=r"^[a-z0-9-]{1,63}$")
    environment: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    callers: Endpoint
    peers_listen: Endpoint
    admin: Endpoint
    platform: tuple[Endpoint, ...] = ()
    document: str = ""
    seeds: tuple[Endpoint, ...] = ()
    vm_prefix: str = "vms/"
    drain_seconds: float = pydantic.Field(30.0, ge=0.0, le=3600.0)
    register_actions: int = pydantic.Field(20_000, ge=1, le=10_000_000)
    register_mebibytes: int = pydantic.Field(8, ge=1, le=4096)
    trace_sample: float = pydantic.Field(0.0, ge=0.0, le=1.0)
    trace_export: Literal["none", "console"] = "none"
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    log_format: Literal["text", "json"] = "text"

    @pydantic.field_validator("callers", "peers_listen", "admin", mode="before")
    @classmethod
    def _parse_endpoint(cls, value: object) -> object:
        return Endpoint.parse(value) if isinstance(value, str) else value

    @pydantic.field_validator("platform", "seeds", mode="before")
    @classmethod
    def _parse_endpoints(cls, value: object) -> object:
        if not isinstance(value, str):
            return value
        texts = [text.strip() for text in value.split(",")]
        return tuple(Endpoint.parse(text) for text in texts if text)

    @pydantic.model_validator(mode="after")
    def _check_source(self) -> Settings:
        if not self.platform and not self.document:
            raise ValueError("--platform or --document is required")
        return self


class Problem(pydantic.BaseModel):
    """One setting that is not valid.

    Attributes:
        flag: Flag of the setting; empty if it concerns several.
        message: Description of the problem.
    """

    flag: str
    message: str

    def __str__(self) -> str:
        return f"{self.flag}: {self.message}" if self.flag else self.message


def check(values: dict[str, str]) -> Settings | list[Problem]:
    """Validates settings.

    Args:
        values: Text by setting name; settings that are not given are absent.

    Returns:
        The settings, or all problems found.
    """
    try:
        return Settings.model_validate(values)
    except pydantic.ValidationError as error:
        return [
            Problem(flag=_flag_name(each["loc"]), message=_message(each))
            for each in error.errors()
        ]


def _flag_name(location: tuple[int | str, ...]) -> str:
    if not location:
        return ""
    return "--" + str(location[0]).replace("_", "-")


def _message(error: object) -> str:
    assert isinstance(error, dict)
    found = error.get("input")
    message = str(error["msg"]).removeprefix("Value error, ")
    if error["type"] == "missing":
        return "is required"
    if isinstance(found, str):
        return f"{message} (found {found!r})"
    return message
