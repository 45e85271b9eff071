"""Encoding of suspicions that entries pass on to each other.

A message is a hash of the environment and one row of fixed size a suspicion.
Ages instead of times are sent, since the clocks of machines differ.
"""

from __future__ import annotations

import dataclasses
import struct

from sesamevale.policy.admission import suspects

__all__ = ["Rumor", "decode", "encode"]

HEADER = struct.Struct("!I")
# Request, kind, upstream and age.
ROW = struct.Struct("!QIIH")
AGE_UNITS_PER_S = 100
AGE_UNITS_MAX = 0xFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class Rumor:
    """Suspicions that an entry passes on.

    Attributes:
        environment: Environment that the sender serves.
        rows: The suspicions as the sender knows them.
    """

    environment: str
    rows: tuple[suspects.Suspicion, ...]


def encode(rumor: Rumor, now: float) -> bytes:
    """Encodes a message.

    Args:
        rumor: The message.
        now: Monotonic time in seconds.
    """
    data = HEADER.pack(suspects.kind_of(rumor.environment))
    for each in rumor.rows:
        age = round(max(0.0, now - each.at) * AGE_UNITS_PER_S)
        data += ROW.pack(
            each.request, each.kind, each.upstream, min(AGE_UNITS_MAX, age)
        )
    return data


def decode(
    content: bytes, environment: str, now: float
) -> tuple[suspects.Suspicion, ...]:
    """Decodes a message; empty if it is malformed or of another environment.

    Args:
        content: The message.
        environment: Environment that this entry serves.
        now: Monotonic time in seconds.
    """
    if len(content) < HEADER.size or (len(content) - HEADER.size) % ROW.size:
        return ()
    if HEADER.unpack_from(content)[0] != suspects.kind_of(environment):
        return ()
    return tuple(
        suspects.Suspicion(request, kind, upstream, now - age / AGE_UNITS_PER_S)
        for request, kind, upstream, age in ROW.iter_unpack(
            content[HEADER.size :]
        )
    )
