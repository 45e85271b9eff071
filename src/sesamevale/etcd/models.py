"""Validated messages of the etcd v3 JSON mapping."""

from __future__ import annotations

import base64
from typing import Annotated

import pydantic

__all__ = [
    "Event",
    "KeepAliveReply",
    "KeyValue",
    "LeaseReply",
    "RangeReply",
    "RevokeReply",
    "TxnReply",
    "WatchReply",
    "encode_base64",
    "prefix_end",
]


def _decode_base64(value: object) -> object:
    if isinstance(value, str):
        return base64.b64decode(value, validate=True)
    return value


Base64Bytes = Annotated[bytes, pydantic.BeforeValidator(_decode_base64)]


def encode_base64(content: bytes) -> str:
    """Encodes bytes as base64, as the JSON mapping requires."""
    return base64.b64encode(content).decode("ascii")


def prefix_end(prefix: bytes) -> bytes:
    """Returns the exclusive end of the range of all keys with a prefix."""
    end = bytearray(prefix)
    while end and end[-1] == 255:
        end.pop()
    if end:
        end[-1] += 1
    return bytes(end) or b"\0"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class Header(_Model):
    """Header of every reply."""

    revision: int = 0


class KeyValue(_Model):
    """One key with its value."""

    key: Base64Bytes
    value: Base64Bytes = b""
    mod_revision: int = 0
    lease: int = 0


class RangeReply(_Model):
    """Reply to a range request."""

    header: Header = Header()
    kvs: tuple[KeyValue, ...] = ()


class TxnReply(_Model):
    """Reply to a transaction."""

    header: Header = Header()
    succeeded: bool = False


class LeaseReply(_Model):
    """Reply to a lease grant."""

    ID: int
    TTL: int = 0


class RevokeReply(_Model):
    """Reply to a lease revocation."""

    header: Header = Header()


class _KeepAliveResult(_Model):
    ID: int = 0
    TTL: int = 0


class KeepAliveReply(_Model):
    """Reply to a lease renewal; a TTL of 0 means that it no longer exists."""

    result: _KeepAliveResult


class Event(_Model):
    """One change of a watched key."""

    type: str = "PUT"
    kv: KeyValue


class _WatchResult(_Model):
    header: Header = Header()
    created: bool = False
    canceled: bool = False
    events: tuple[Event, ...] = ()


class WatchReply(_Model):
    """One message of a watch."""

    result: _WatchResult
