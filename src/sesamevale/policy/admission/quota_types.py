"""Values that the decisions on tenants' quotas exchange."""

from __future__ import annotations

import dataclasses

__all__ = [
    "Admitted",
    "Ask",
    "Decided",
    "Effect",
    "Grant",
    "Granted",
    "KeyWithdrawn",
    "Message",
    "OverQuota",
    "Transmit",
    "Unreachable",
    "Verdict",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Message: asks another entry for room of its share.

    Attributes:
        number: Number of the message, repeated by its answer.
        tenant: Name of the tenant.
        count: Requests that the sender would let through.
    """

    number: int
    tenant: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Message: answers an ``Ask``.

    Attributes:
        number: Number of the ask.
        count: Requests that the asking entry may let through; may be 0.
        left: Requests for which the sender has room left.
    """

    number: int
    count: int
    left: float


Message = Ask | Grant


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Verdict: room is expected once the request can be sent.

    It counts among the requests that wait until it is sent or dismissed.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Verdict: the request may be sent to an upstream.

    Attributes:
        until: Monotonic time in seconds at which the permit expires.
        is_own: Whether the room belongs to this entry, which takes it back if
            it is not used.
    """

    until: float
    is_own: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class OverQuota:
    """Verdict: the tenant has used up its quota.

    Attributes:
        retry_after_s: Time in seconds until room is expected.
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """Verdict: none of the entries that share the quota can be reached."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWithdrawn:
    """Verdict: the key of the request is no longer held by a tenant."""


Verdict = Admitted | Granted | OverQuota | Unreachable | KeyWithdrawn


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """Effect: a request for a permit has its verdict.

    Attributes:
        ticket: Identifies the request for a permit.
        verdict: The verdict.
    """

    ticket: int
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Transmit:
    """Effect: send a message to an entry.

    Attributes:
        host: IP address of the entry.
        port: UDP port of the entry.
        message: The message.
    """

    host: str
    port: int
    message: Message


Effect = Decided | Transmit
