"""Contents of the entry directory."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale.policy.balancing import homes
    from sesamevale.policy.membership import membership_types

__all__ = ["DirectoryEntry", "build"]

HOME_WEIGHT = 100
OTHER_WEIGHT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """One entry that callers may use.

    Attributes:
        entry_id: Identifier.
        host: IP address for callers.
        port: TCP port for callers.
        data_center: Data centre that the entry is in.
        weight: Relative share of calls that it should get; 0 means only if
            no other entry can be used.
    """

    entry_id: str
    host: str
    port: int
    data_center: str
    weight: int


def build(
    members: Iterable[membership_types.Member], home_map: homes.HomeMap | None
) -> list[DirectoryEntry]:
    """Lists the entries that callers may use, by decreasing weight.

    Args:
        members: Entries that are alive and not draining.
        home_map: Homes of the service that the caller asked for, if any.
    """
    owners = home_map.entries if home_map is not None else ()
    entries = []
    for member in members:
        weight = OTHER_WEIGHT
        if not owners or member.entry_id in owners:
            weight = HOME_WEIGHT
        entries.append(
            DirectoryEntry(
                member.entry_id,
                member.host,
                member.caller_port,
                member.data_center,
                weight,
            )
        )
    return sorted(entries, key=lambda entry: (-entry.weight, entry.entry_id))
