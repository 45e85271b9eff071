"""Assignment of upstreams to the entries that own their slots.

Each upstream has one home entry. The home alone counts the calls in flight
and hands out the slots, so that two entries never send to one upstream while
another stands idle. A service has few homes (one by default), which makes the
queue in front of its upstreams a single one.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from sesamevale.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sesamevale import documents

__all__ = ["Candidate", "HomeMap", "assign"]

LOAD_SLACK = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that may own upstreams."""

    entry_id: str
    data_center: str


@dataclasses.dataclass(frozen=True, slots=True)
class HomeMap:
    """Owners of one service's upstreams.

    Attributes:
        owners: Entry identifier by upstream name.
    """

    owners: Mapping[str, str]

    @property
    def entries(self) -> tuple[str, ...]:
        """Entries that own at least one upstream, in stable order."""
        return tuple(sorted(set(self.owners.values())))

    def owned_by(self, entry_id: str) -> frozenset[str]:
        """Returns the upstreams that an entry owns."""
        return frozenset(
            upstream
            for upstream, owner in self.owners.items()
            if owner == entry_id
        )


def assign(
    services: Iterable[documents.Service], candidates: Iterable[Candidate]
) -> dict[str, HomeMap]:
    """Places every upstream of every service on one candidate.

    The result depends only on the arguments, so entries that agree on them
    agree on the homes. Large services are placed first, and no entry gets
    much more than its share of all slots.

    Args:
        services: Services of the environment.
        candidates: Entries that are alive and not draining.

    Returns:
        Homes by service name; empty if there is no candidate.
    """
    entries = sorted(candidates, key=lambda entry: entry.entry_id)
    ordered = sorted(services, key=lambda each: (-each.slots, each.name))
    if not entries:
        return {}
    total_slots = sum(service.slots for service in ordered)
    cap = LOAD_SLACK * total_slots / len(entries)
    load: collections.Counter[str] = collections.Counter()
    result = {}
    for service in ordered:
        chosen = _choose_homes(service, entries, load, cap)
        result[service.name] = _share_upstreams(service, chosen)
        share = service.slots / len(chosen)
        for entry in chosen:
            load[entry.entry_id] += round(share)
    return result


def _choose_homes(
    service: documents.Service,
    entries: list[Candidate],
    load: collections.Counter[str],
    cap: float,
) -> list[Candidate]:
    count = min(service.homes, len(entries))
    share = service.slots / count
    slots_by_data_center: collections.Counter[str] = collections.Counter()
    for upstream in service.upstreams:
        slots_by_data_center[upstream.data_center] += upstream.slots

    def rank(entry: Candidate) -> tuple[bool, float]:
        has_room = (
            load[entry.entry_id] + share <= cap or not load[entry.entry_id]
        )
        near = slots_by_data_center[entry.data_center] / service.slots
        weight = 1.0 + near
        return has_room, rendezvous.score(service.name, entry.entry_id, weight)

    return sorted(entries, key=rank, reverse=True)[:count]


def _share_upstreams(
    service: documents.Service, chosen: list[Candidate]
) -> HomeMap:
    slots: collections.Counter[str] = collections.Counter()
    owners = {}
    for upstream in sorted(service.upstreams, key=lambda each: each.name):
        owner = min(
            chosen,
            key=lambda entry: (
                slots[entry.entry_id],
                entry.data_center != upstream.data_center,
                entry.entry_id,
            ),
        )
        owners[upstream.name] = owner.entry_id
        slots[owner.entry_id] += upstream.slots
    return HomeMap(owners)
