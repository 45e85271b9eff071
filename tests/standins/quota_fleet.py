"""Entries that share quotas, in simulated time and without a network."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random

from sesamevale import routes
from sesamevale.policy.admission import quota_allocator
from sesamevale.policy.admission import quota_types as types
from sesamevale.policy.membership import registered_peers
from tests.builders import quotas
from tests.standins import quota_log

LEASE_S = 6.0
REGISTRATION_S = 0.6
READ_INTERVAL_S = 0.7
NEAR_DELAY_S = 0.0003
FAR_DELAY_S = 0.0015
# Time in which an upstream is found if one is free.
SEARCH_S = 0.004
# Time from a permit until the request is sent.
SEND_S = 0.0002
PORT = 7000


@dataclasses.dataclass
class FleetEntry:
    """One entry and what it is cut off from."""

    name: str
    data_center: str
    allocator: quota_allocator.QuotaAllocator
    process: int
    is_frozen: bool = False
    frozen_s: float = 0.0
    frozen_at: float = 0.0
    # Whether it reads the store and keeps its registration.
    reaches_store: bool = True
    # Whether messages from and to other entries pass.
    sends: bool = True
    receives: bool = True
    delayed: list = dataclasses.field(default_factory=list)


class QuotaFleet:
    """Runs the allocators of all entries.

    Args:
      count: Number of entries.
      tenants: Tenants by name.
      data_centers: Number of data centres.
      loss: Part of the messages that are lost.
      seed: Seed of the random numbers.
    """

    def __init__(self, count, tenants, *, data_centers=4, loss=0.0, seed=1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.log = quota_log.QuotaLog(quotas.BOUNDS)
        self.tenants: dict[str, routes.Tenant] = dict(tenants)
        for each in tenants.values():
            self.log.set_limit(each, 0.0)
        self.entries: dict[str, FleetEntry] = {}
        self.verdicts: collections.Counter = collections.Counter()
        self.retry_after: list[float] = []
        # Refusals of requests that had been admitted.
        self.late_refusals = 0
        self.message_count = 0
        self.far_message_count = 0
        self._leases: dict[str, float] = {}
        self._waiting: dict[int, str] = {}
        self._numbers = itertools.count()
        self._events: list = []
        for number in range(count):
            name = f"e-{number}"
            self.start_entry(name, f"dc-{number % data_centers}")

    # Events

    def at(self, time, action, *arguments):
        heapq.heappush(
            self._events, (time, next(self._numbers), action, arguments)
        )

    def advance(self, seconds):
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def _clock(self, entry):
        """Returns the entry's steady clock, which skips frozen times."""
        return self.now - entry.frozen_s

    # Life of entries

    def start_entry(self, name, data_center):
        allocator = quota_allocator.QuotaAllocator(
            name, data_center, quotas.BOUNDS, self.rng
        )
        process = next(self._numbers)
        entry = FleetEntry(name, data_center, allocator, process)
        self.entries[name] = entry
        allocator.set_tenants(self.tenants, self.now)
        jitter = self.rng.random()
        self.at(self.now + REGISTRATION_S * jitter, self._renew, entry)
        self.at(self.now + 0.1 * jitter, self._read_store, entry)

    def kill(self, name, *, planned=False):
        self.entries.pop(name)
        if planned:
            self._leases.pop(name, None)

    def _lives(self, entry):
        return self.entries.get(entry.name) is entry

    def _renew(self, entry):
        if not self._lives(entry):
            return
        if entry.reaches_store and not entry.is_frozen:
            self._leases[entry.name] = self.now + LEASE_S
        self.at(self.now + LEASE_S / 2, self._renew, entry)

    def _read_store(self, entry):
        if not self._lives(entry):
            return
        self.at(self.now + READ_INTERVAL_S, self._read_store, entry)
        if entry.is_frozen or not entry.reaches_store:
            return
        peers = [
            registered_peers.Peer(
                name, self._data_center_of(name), name, 1, PORT
            )
            for name, until in self._leases.items()
            if until > self.now
        ]
        clock = self._clock(entry)
        entry.allocator.set_members(peers, clock, clock)

    def _data_center_of(self, name):
        entry = self.entries.get(name)
        return "dc-0" if entry is None else entry.data_center

    def freeze(self, name):
        entry = self.entries[name]
        entry.is_frozen, entry.frozen_at = True, self.now

    def thaw(self, name):
        entry = self.entries[name]
        entry.is_frozen = False
        entry.frozen_s += self.now - entry.frozen_at
        delayed, entry.delayed = entry.delayed, []
        for action, arguments in delayed:
            action(*arguments)

    def set_tenant(self, tenant, binds_at):
        """Puts a changed tenant into force at each entry within a while."""
        self.tenants = self.tenants | {tenant.name: tenant}
        self.log.set_limit(tenant, binds_at)
        for entry in self.entries.values():
            delay = 2.0 * self.rng.random()
            self.at(self.now + delay, self._configure, entry, self.tenants)

    def _configure(self, entry, tenants):
        if not self._lives(entry):
            return
        clock = self._clock(entry)
        self._perform(entry, entry.allocator.set_tenants(tenants, clock))

    # Requests

    def call(self, entry_name, tenant, waits_s=SEARCH_S):
        """A caller sends a request, which waits for an upstream."""
        self.log.arrived[tenant].append(self.now)
        self._admit(entry_name, tenant, waits_s)

    def _admit(self, entry_name, tenant, waits_s):
        entry = self.entries.get(entry_name)
        if entry is None:
            return
        if entry.is_frozen:
            entry.delayed.append((self._admit, (entry_name, tenant, waits_s)))
            return
        verdict = entry.allocator.admit(tenant, self._clock(entry))
        if isinstance(verdict, types.Admitted):
            self.at(self.now + waits_s, self._ask_permit, entry, tenant)
        else:
            self._refuse(verdict)

    def _ask_permit(self, entry, tenant):
        """An upstream was found for an admitted request."""
        if not self._lives(entry):
            return
        if entry.is_frozen:
            entry.delayed.append((self._ask_permit, (entry, tenant)))
            return
        ticket = next(self._numbers)
        self._waiting[ticket] = tenant
        clock = self._clock(entry)
        self._perform(entry, entry.allocator.request(ticket, tenant, clock))

    def _send(self, entry, tenant, granted):
        """Sends a request on, or asks again if its permit has expired."""
        if not self._lives(entry):
            return
        if entry.is_frozen:
            entry.delayed.append((self._send, (entry, tenant, granted)))
            return
        if granted.until < self._clock(entry):
            self._ask_permit(entry, tenant)
            return
        entry.allocator.dismiss(tenant)
        self.log.sent[tenant].append(self.now)

    def _refuse(self, verdict):
        self.verdicts[type(verdict).__name__] += 1
        if isinstance(verdict, types.OverQuota):
            self.retry_after.append(verdict.retry_after_s)

    # Effects

    def _perform(self, entry, effects):
        for each in effects:
            if isinstance(each, types.Transmit):
                self._transmit(entry, each)
            else:
                self._decide(entry, each)
        due = entry.allocator.next_tick_at + entry.frozen_s
        if due < float("inf"):
            self.at(due, self._tick, entry)

    def _tick(self, entry):
        if not self._lives(entry):
            return
        if entry.is_frozen:
            entry.delayed.append((self._tick, (entry,)))
            return
        clock = self._clock(entry) + 1e-9
        effects = []
        if entry.allocator.next_tick_at <= clock:
            effects = entry.allocator.tick(clock)
        self._perform(entry, effects)

    def _transmit(self, entry, transmit):
        self.message_count += 1
        target = self.entries.get(transmit.host)
        if target is None or not entry.sends:
            return
        near = target.data_center == entry.data_center
        self.far_message_count += not near
        if self.rng.random() < self.loss:
            return
        delay = NEAR_DELAY_S if near else FAR_DELAY_S
        delay *= 1.0 + self.rng.random()
        self.at(self.now + delay, self._receive, target, entry.name, transmit)

    def _receive(self, entry, sender, transmit):
        if not self._lives(entry) or not entry.receives:
            return
        if entry.is_frozen:
            arguments = (entry, sender, transmit)
            entry.delayed.append((self._receive, arguments))
            return
        effects = entry.allocator.receive(
            transmit.message, sender, PORT, self._clock(entry)
        )
        self._perform(entry, effects)

    def _decide(self, entry, decided):
        tenant = self._waiting.pop(decided.ticket)
        verdict = decided.verdict
        if isinstance(verdict, types.Granted):
            self.verdicts["Granted"] += 1
            at = self.now + SEND_S
            self.at(at, self._send, entry, tenant, verdict)
            return
        entry.allocator.dismiss(tenant)
        self.late_refusals += 1
        self._refuse(verdict)
