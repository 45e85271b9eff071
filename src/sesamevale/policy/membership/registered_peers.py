"""Entries that are registered in the store.

Entries of one data centre monitor each other by gossip. Traffic between data
centres is charged for, so entries of other data centres are known only by
their registrations, whose leases expire soon after the entry has stopped.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sesamevale.policy.membership import own_registration

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale.policy.membership import membership_types

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
        record: What the store holds for it; None if it is not from there.
    """

    entry_id: str
    data_center: str
    host: str
    caller_port: int
    entry_port: int
    record: own_registration.Record | None = None

    @classmethod
    def of(cls, member: membership_types.Member) -> Peer:
        """Returns the addresses of a member."""
        return cls(
            member.entry_id,
            member.data_center,
            member.host,
            member.caller_port,
            member.peer_port,
        )


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
        self._missing: frozenset[str] = frozenset()
        self._is_registered = False

    @property
    def last_read(self) -> float | None:
        """Monotonic time of the last read in seconds; None before it."""
        return self._last_read

    @property
    def is_registered(self) -> bool:
        """Whether the last read showed this entry."""
        return self._is_registered

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

    def record_read(
        self,
        found: Iterable[Peer],
        now: float,
        grace_until: float = float("-inf"),
        era: int = 0,
    ) -> None:
        """Applies a complete read of the registrations.

        Args:
            found: All entries that are registered.
            now: When the read was sent, in monotonic seconds.
            grace_until: Until when missing entries are kept; they are dropped
                by ``drop_missing``.
            era: Era of the store; what was written in an earlier one may be
                of an entry that has ended, and counts as missing.
        """
        self._last_read = now
        registered = {
            each.entry_id: dataclasses.replace(each, record=None)
            for each in found
            if _is_of_era(each.record, era)
        }
        self._is_registered = self._entry_id in registered
        self._missing = frozenset()
        if now < grace_until:
            self._missing = frozenset(self._known.keys() - registered.keys())
            registered = self._known | registered
        self._known = registered

    def drop_missing(self) -> None:
        """Drops the entries that were kept although they are missing."""
        for entry_id in self._missing:
            del self._known[entry_id]
        self._missing = frozenset()


def _is_of_era(record: own_registration.Record | None, era: int) -> bool:
    """Whether a registration was written in an era, or does not say when."""
    return record is None or record.era == 0 or record.era >= era
