"""Assignment of upstreams to the entries that own their slots.

Each upstream has one home entry. The home alone counts the calls in flight
and assigns the slots, so that two entries never send to one upstream while
another is idle. A service has few homes (one by default), so there is a single
queue in front of its upstreams.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from sesamevale.policy.balancing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sesamevale import documents

__all__ = ["Candidate", "HomeMap", "assign"]

# Largest load of an entry as a multiple of its even share of all slots.
LOAD_LIMIT_FACTOR = 1.25


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
    """Assigns every upstream of every service to one candidate.

    The result depends only on the arguments, so entries with the same view
    compute the same homes. The pairs of service and entry are assigned in the
    order of their rendezvous scores unless the entry would pass its load
    limit. So an entry that leaves or returns moves few homes other than its
    own, and no entry gets much more than its share of all slots.

    Args:
        services: Services of the environment.
        candidates: Entries that are alive and not draining.

    Returns:
        Homes by service name; empty if there is no candidate.
    """
    entries = sorted(candidates, key=lambda entry: entry.entry_id)
    ordered = sorted(services, key=lambda each: each.name)
    if not entries:
        return {}
    assignment = _HomeAssignment(ordered, entries)
    for _, service, entry in _ranked_pairs(ordered, entries):
        assignment.assign_within_limit(service, entry)
    return {
        service.name: _share_upstreams(service, assignment.complete(service))
        for service in ordered
    }


class _HomeAssignment:
    """Homes of each service while they are assigned."""

    def __init__(
        self, services: list[documents.Service], entries: list[Candidate]
    ) -> None:
        self._entries = entries
        self._chosen: dict[str, list[Candidate]] = collections.defaultdict(list)
        self._load: collections.Counter[str] = collections.Counter()
        total_slots = sum(service.slots for service in services)
        self._load_limit = LOAD_LIMIT_FACTOR * total_slots / len(entries)

    def assign_within_limit(
        self, service: documents.Service, entry: Candidate
    ) -> None:
        """Makes an entry a home if the service needs one.

        The entry is skipped if it would pass the load limit, unless it is
        not a home of any service yet.
        """
        share = service.slots / self._home_count(service)
        load = self._load[entry.entry_id]
        if load and load + share > self._load_limit:
            return
        if len(self._chosen[service.name]) < self._home_count(service):
            self._assign(service, entry)

    def complete(self, service: documents.Service) -> list[Candidate]:
        """Returns the homes of a service.

        Homes that are still missing go to the least loaded entries.
        """
        chosen = self._chosen[service.name]
        while len(chosen) < self._home_count(service):
            free = [entry for entry in self._entries if entry not in chosen]
            key = service.name
            entry = min(
                free,
                key=lambda each: (
                    self._load[each.entry_id],
                    -rendezvous.score(key, each.entry_id),
                ),
            )
            self._assign(service, entry)
        return chosen

    def _home_count(self, service: documents.Service) -> int:
        return min(service.homes, len(self._entries))

    def _assign(self, service: documents.Service, entry: Candidate) -> None:
        self._chosen[service.name].append(entry)
        share = service.slots / self._home_count(service)
        self._load[entry.entry_id] += round(share)


def _ranked_pairs(
    services: list[documents.Service], entries: list[Candidate]
) -> list[tuple[float, documents.Service, Candidate]]:
    """Returns all pairs of service and entry, highest score first.

    An entry in a data centre with many of the service's slots has a higher
    weight.
    """
    pairs = []
    for service in services:
        slot_shares = _share_by_data_center(service)
        for entry in entries:
            weight = 1.0 + slot_shares[entry.data_center]
            score = rendezvous.score(service.name, entry.entry_id, weight)
            pairs.append((score, service, entry))
    pairs.sort(key=lambda pair: pair[0], reverse=True)
    return pairs


def _share_by_data_center(
    service: documents.Service,
) -> collections.defaultdict[str, float]:
    """Returns the share of the service's slots in each data centre."""
    shares: collections.defaultdict[str, float] = collections.defaultdict(float)
    for upstream in service.upstreams:
        shares[upstream.data_center] += upstream.slots / service.slots
    return shares


def _share_upstreams(
    service: documents.Service, chosen: list[Candidate]
) -> HomeMap:
    """Divides the slots evenly between the homes of a service.

    Among homes with equal slots one in the upstream's data centre is used.
    """
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
