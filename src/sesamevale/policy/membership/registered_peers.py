"""Entries that are registered in the store.

Entries of one data centre monitor each other by gossip. Traffic between data
centres is charged for, so entries of other data centres are known only by
their registrations, whose leases expire soon after the entry has stopped.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sesamevale.policy.signals import discovered_upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Peer", "RegisteredPeers"]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Registered entry.

    Attributes:
        entry_id: Identifier.
        data_center: Data centre that the entry is in.
        host: IP address.
        caller_port: TCP port for callers.
        entry_port: UDP port for other entries.
    """

    entry_id: str
    data_center: str
    host: str
    caller_port: int
    entry_port: int


class RegisteredPeers:
    """Registered entries, kept through outages of the store.

    Args:
        entry_id: Identifier of this entry.
        data_center: Data centre of this entry.
    """

    def __init__(self, entry_id: str, data_center: str) -> None:
        self._entry_id = entry_id
        self._data_center = data_center
        self._known: dict[str, Peer] = {}
        self._last_read: float | None = None
        self._grace_until = float("-inf")

    @property
    def last_read(self) -> float | None:
        """Monotonic time of the last read in seconds; None before it."""
        return self._last_read

    @property
    def registered(self) -> tuple[Peer, ...]:
        """All registered entries, this one included."""
        return tuple(self._known.values())

    @property
    def same_data_center(self) -> tuple[Peer, ...]:
        """Other entries of this data centre."""
        return tuple(
            each
            for each in self._known.values()
            if each.data_center == self._data_center
            and each.entry_id != self._entry_id
        )

    @property
    def other_data_centers(self) -> tuple[Peer, ...]:
        """Entries of other data centres."""
        return tuple(
            each
            for each in self._known.values()
            if each.data_center != self._data_center
        )

    def record_read(self, found: Iterable[Peer], now: float) -> None:
        """Applies a complete read of the registrations.

        Args:
            found: All entries that are registered.
            now: When the read was sent, in monotonic seconds.
        """
        last = self._last_read
        if last is not None and now - last > discovered_upstreams.OUTAGE_GAP_S:
            self._grace_until = now + discovered_upstreams.RETURN_GRACE_S
        self._last_read = now
        registered = {each.entry_id: each for each in found}
        if now < self._grace_until:
            registered = self._known | registered
        self._known = registered
