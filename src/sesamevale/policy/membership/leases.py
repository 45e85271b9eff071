"""State machine of the holder of a lease in the platform's service."""

from __future__ import annotations

import dataclasses
import enum
import math

__all__ = ["Grant", "LeaseHolder", "LeaseState", "Renew"]

RENEWALS_PER_TTL = 3.0
# Share of the lifetime by which the holder stops using the lease early.
SAFETY_MARGIN_SHARE = 0.2


class LeaseState(enum.Enum):
    """State of a lease on the holder's clock."""

    NONE = "none"
    HELD = "held"
    LAPSED = "lapsed"


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Request for a new lease."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Request to renew the lease."""

    request_id: int
    lease_id: int


class LeaseHolder:
    """Decides when a lease is held, on the holder's own clock.

    The lease is valid until a local deadline that is counted from just
    before the last successful request was sent. A holder that was paused past
    that deadline gets ``LeaseState.LAPSED`` from its next call of ``state``.

    All times are monotonic times in seconds.

    Args:
        ttl_s: Lifetime of the lease in seconds without renewal.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._lease_id: int | None = None
        self._valid_until = -math.inf
        self._next_request = -math.inf
        self._request_id = 0
        self._sent_at: dict[int, float] = {}

    @property
    def lease_id(self) -> int | None:
        """Identifier of the current lease; None if there is none."""
        return self._lease_id

    def state(self, now: float) -> LeaseState:
        """Returns the state of the lease at a time."""
        if self._lease_id is None:
            return LeaseState.NONE
        held = now < self._valid_until
        return LeaseState.HELD if held else LeaseState.LAPSED

    def remaining(self, now: float) -> float:
        """Returns the seconds for which the lease is certainly valid."""
        return max(0.0, self._valid_until - now)

    def poll(self, now: float) -> Grant | Renew | None:
        """Returns the request to send now, if one is due."""
        if now < self._next_request:
            return None
        self._next_request = now + self._ttl_s / RENEWALS_PER_TTL
        self._request_id += 1
        self._sent_at = {self._request_id: now}
        if self._lease_id is None:
            return Grant(self._request_id)
        return Renew(self._request_id, self._lease_id)

    def granted(self, request_id: int, lease_id: int) -> None:
        """Records that the platform has granted a lease."""
        sent_at = self._sent_at.pop(request_id, None)
        if sent_at is None:
            return
        self._lease_id = lease_id
        self._valid_until = self._deadline(sent_at)

    def renewed(self, request_id: int) -> None:
        """Records that the platform has renewed the lease."""
        sent_at = self._sent_at.pop(request_id, None)
        if sent_at is None or self._lease_id is None:
            return
        self._valid_until = max(self._valid_until, self._deadline(sent_at))

    def lost(self) -> None:
        """Records that the platform no longer has the lease."""
        self._lease_id = None
        self._valid_until = -math.inf
        self._next_request = -math.inf
        self._sent_at.clear()

    def _deadline(self, sent_at: float) -> float:
        return sent_at + self._ttl_s * (1.0 - SAFETY_MARGIN_SHARE)
