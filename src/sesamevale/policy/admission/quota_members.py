"""Entries that share the quotas of tenants."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale.policy.membership import registered_peers

__all__ = ["QuotaMembers"]

# Time for which an entry that is no longer registered keeps its share. It may
# be cut off from the store and still let requests through.
DEPARTED_S = 30.0
# Time after the first read of the registrations for which an entry that was not
# among them uses no share. Those it read may be incomplete, and others have not
# read of it yet.
JOIN_S = 2.5
# Age of the registrations from which others may have replaced this entry.
STALE_S = 20.0


class QuotaMembers:
    """Who shares the quotas, by the registrations in the store.

    Args:
        entry_id: Identifier of this entry.
        data_center: Data centre of this entry.
    """

    def __init__(self, entry_id: str, data_center: str) -> None:
        self._entry_id = entry_id
        self._data_center = data_center
        self._registered: dict[str, registered_peers.Peer] = {}
        self._last_seen: dict[str, float] = {entry_id: math.inf}
        self._read_at = -math.inf
        self._joins_at = math.inf
        self._version = 0

    @property
    def entry_ids(self) -> frozenset[str]:
        """Entries that may hold a share."""
        return frozenset(self._last_seen)

    @property
    def version(self) -> int:
        """Number that increases with each change of ``entry_ids``."""
        return self._version

    def record_read(
        self,
        peers: Iterable[registered_peers.Peer],
        read_at: float,
        now: float,
    ) -> None:
        """Applies a complete read of the registrations.

        Args:
            peers: All registered entries.
            read_at: When they were read, in monotonic seconds.
            now: Monotonic time in seconds.
        """
        self._registered = {each.entry_id: each for each in peers}
        if self._read_at == -math.inf:
            is_known = self._entry_id in self._registered
            self._joins_at = now if is_known else now + JOIN_S
        self._read_at = read_at
        before = self.entry_ids
        for entry_id in self._registered:
            self._last_seen[entry_id] = now
        self._last_seen = {
            entry_id: seen
            for entry_id, seen in self._last_seen.items()
            if now - seen < DEPARTED_S
        }
        self._last_seen[self._entry_id] = math.inf
        if self.entry_ids != before:
            self._version += 1

    def has_joined(self, now: float) -> bool:
        """Whether this entry may use shares of its own."""
        return now >= self._joins_at

    def is_stale(self, now: float) -> bool:
        """Whether this entry may no longer be registered."""
        return now - self._read_at > STALE_S

    def peer(self, entry_id: str) -> registered_peers.Peer | None:
        """Returns another entry that can be asked; None if it departed."""
        if entry_id == self._entry_id:
            return None
        return self._registered.get(entry_id)

    def is_near(self, peer: registered_peers.Peer) -> bool:
        """Whether an entry is in the data centre of this one."""
        return peer.data_center == self._data_center
