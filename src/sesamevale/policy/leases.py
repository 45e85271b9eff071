"""Holder's side of a lease in the platform's service."""

from __future__ import annotations

import dataclasses
import enum
import math

__all__ = ["Grant", "LeaseHolder", "LeaseState", "Renew"]

RENEWALS_PER_TTL = 3.0
SAFETY_MARGIN_SHARE = 0.2


class LeaseState(enum.Enum):
    """What the holder may assume."""

    NONE = "none"
    HELD = "held"
    LAPSED = "lapsed"


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Ask the platform for a new lease."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Ask the platform to renew the lease."""

    request_id: int
    lease_id: int


class LeaseHolder:
    """Decides when a lease is held, on the holder's own clock.

    What the lease permits ends at a local deadline that is counted from the
    moment before the last successful request was sent. A holder that was
    paused past that deadline finds its lease lapsed at its next look.

    Args:
        ttl_s: Life of the lease in seconds without renewal.
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
        """Identifier of the lease last granted."""
        return self._lease_id

    def state(self, now: float) -> LeaseState:
        """Returns what may be assumed at a moment."""
        if self._lease_id is None:
            return LeaseState.NONE
        held = now < self._valid_until
        return LeaseState.HELD if held else LeaseState.LAPSED

    def remaining(self, now: float) -> float:
        """Seconds for which the lease certainly lasts."""
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
        """Takes the platform's answer to a grant."""
        sent_at = self._sent_at.pop(request_id, None)
        if sent_at is None:
            return
        self._lease_id = lease_id
        self._valid_until = self._deadline(sent_at)

    def renewed(self, request_id: int) -> None:
        """Takes the platform's answer to a renewal."""
        sent_at = self._sent_at.pop(request_id, None)
        if sent_at is None or self._lease_id is None:
            return
        self._valid_until = max(self._valid_until, self._deadline(sent_at))

    def lost(self) -> None:
        """Takes the platform's word that the lease is gone."""
        self._lease_id = None
        self._valid_until = -math.inf
        self._next_request = -math.inf
        self._sent_at.clear()

    def _deadline(self, sent_at: float) -> float:
        return sent_at + self._ttl_s * (1.0 - SAFETY_MARGIN_SHARE)
