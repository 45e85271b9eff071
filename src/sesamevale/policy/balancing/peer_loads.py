"""Estimated load of the other homes of a service."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from sesamevale.policy.calls import attempts

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

__all__ = ["PeerLoads"]

UNKNOWN_LOAD = attempts.PeerLoad(0, 0)


@dataclasses.dataclass(slots=True)
class _Peer:
    upstream_count: int
    load: attempts.PeerLoad = UNKNOWN_LOAD
    sent_since_report: int = 0
    outstanding: int = 0

    @property
    def headroom(self) -> int:
        """Estimated free slots less queued calls."""
        return self.load.free_slots - self.load.queued - self.sent_since_report


class PeerLoads:
    """Loads of the other homes.

    The estimate is the last report less the calls relayed since then.
    """

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    def set_homes(self, owners: Iterable[str]) -> None:
        """Replaces the homes and keeps the state of those that remain.

        Args:
            owners: Owner of each upstream that another entry owns.
        """
        counts = collections.Counter(owners)
        old = self._peers
        self._peers = {}
        for entry_id, upstreams in counts.items():
            peer = old.get(entry_id) or _Peer(upstreams)
            peer.upstream_count = upstreams
            self._peers[entry_id] = peer

    def record_report(self, entry_id: str, load: attempts.PeerLoad) -> None:
        """Records a load report of an entry."""
        peer = self._peers.get(entry_id)
        if peer is not None:
            peer.load = load
            peer.sent_since_report = 0

    def record_relay(self, entry_id: str) -> None:
        """Counts a relayed call as outstanding."""
        peer = self._peers.get(entry_id)
        if peer is not None:
            peer.outstanding += 1
            peer.sent_since_report += 1

    def record_relay_end(self, entry_id: str) -> None:
        """Counts a relayed call as ended."""
        peer = self._peers.get(entry_id)
        if peer is not None:
            peer.outstanding = max(0, peer.outstanding - 1)

    def best_home(self, excluded: Collection[str]) -> str | None:
        """Returns the home with the most headroom, if there is one.

        Among equals it is the one with the fewest outstanding relays per
        upstream.
        """
        allowed = [name for name in self._peers if name not in excluded]
        if not allowed:
            return None
        return max(allowed, key=self._rank)

    def idle_home(self, excluded: Collection[str]) -> str | None:
        """Returns a home that probably has a free slot, if there is one."""
        best = self.best_home(excluded)
        if best is None or self._peers[best].headroom <= 0:
            return None
        return best

    def _rank(self, entry_id: str) -> tuple[int, float, str]:
        peer = self._peers[entry_id]
        busy = peer.outstanding / peer.upstream_count
        return peer.headroom, -busy, entry_id
