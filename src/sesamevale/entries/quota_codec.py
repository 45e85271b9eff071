"""Encoding of the messages by which entries share quotas."""

from __future__ import annotations

import functools

from thrift import TSerialization

from sesamevale.entries import codec
from sesamevale.entries.wire import ttypes as wire
from sesamevale.policy.admission import quota_types as types

__all__ = ["decode", "encode"]

THOUSANDTHS = 1000
# Larger numbers do not fit into a field.
COUNT_MAX = 1_000_000


@functools.singledispatch
def _to_wire(message: types.Message) -> wire.QuotaDatagram:
    raise TypeError(f"no encoding for {type(message).__name__}")


@_to_wire.register
def _(message: types.Ask) -> wire.QuotaDatagram:
    return wire.QuotaDatagram(
        ask=wire.QuotaAsk(message.number, message.tenant, message.count)
    )


@_to_wire.register
def _(message: types.Grant) -> wire.QuotaDatagram:
    left = int(min(message.left, COUNT_MAX) * THOUSANDTHS)
    return wire.QuotaDatagram(
        grant=wire.QuotaGrant(message.number, message.count, left)
    )


def encode(message: types.Message) -> bytes:
    """Encodes a message as one datagram."""
    return TSerialization.serialize(_to_wire(message), codec.FACTORY)


def decode(content: bytes) -> types.Message | None:
    """Decodes a datagram; None if it is malformed."""
    try:
        datagram = TSerialization.deserialize(
            wire.QuotaDatagram(), content, codec.FACTORY
        )
        ask, grant = datagram.ask, datagram.grant
        if ask is not None:
            count = _count(ask.count)
            return types.Ask(int(ask.number), str(ask.tenant), count)
        if grant is not None:
            left = _count(grant.left_thousandths) / THOUSANDTHS
            return types.Grant(int(grant.number), _count(grant.count), left)
    except codec.DECODE_ERRORS:
        return None
    return None


def _count(value: object) -> int:
    """Returns a number that was received, which may be missing."""
    if not isinstance(value, int) or value < 0:
        raise ValueError("not a count")
    return value
