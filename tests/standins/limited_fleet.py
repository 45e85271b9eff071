"""Entries that share the limits of upstreams, in simulated time.

Entries read the registrations at intervals. An upstream answers at once.
"""

from __future__ import annotations

import dataclasses
import random

from sesamevale.policy.admission import rate_shares
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.signals import upstream_signals
from tests.builders import gateway
from tests.standins import signal_log

DATA_CENTERS = ("a", "b", "c")
STEP_S = 0.05
# The longest interval between two reads, and the time for which an entry stays
# registered that no longer renews its lease.
READ_INTERVAL_S = 1.5
# Most requests that an entry sends an upstream in one step.
SENDS_MAX = 3
LEASE_S = 6.0


@dataclasses.dataclass
class Entry:
    """One entry.

    Attributes:
      name: Identifier.
      data_center: Its data centre.
      shares: Its shares in the limits.
      next_read: When it reads the registrations next.
      leaves_registry_at: When its registration ends.
      is_turned_away: Whether the store does not serve it.
      wants: Whether it has requests.
    """

    name: str
    data_center: str
    shares: rate_shares.RateShares
    next_read: float
    leaves_registry_at: float = float("inf")
    is_turned_away: bool = False
    wants: bool = True


class Fleet:
    """Entries and upstreams.

    Args:
      entries: Number of entries at the start.
      upstreams: Number of upstreams.
      seed: Seed of the random numbers.
    """

    def __init__(self, entries: int, upstreams: int, seed: int = 1):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.entries: dict[str, Entry] = {}
        self.departed: dict[str, tuple[str, float]] = {}
        self._started = 0
        self.records = []
        self.logs = []
        for number in range(upstreams):
            data_center = DATA_CENTERS[number % len(DATA_CENTERS)]
            self.records.append(
                gateway.upstream(f"u-{number}", data_center=data_center)
            )
            self.logs.append(signal_log.SignalLog(lambda: self.now))
        for _ in range(entries):
            self.start_entry()
        for each in self.entries.values():
            self._read(each)

    def start_entry(self) -> Entry:
        name = f"e-{self._started}"
        data_center = DATA_CENTERS[self._started % len(DATA_CENTERS)]
        self._started += 1
        shares = rate_shares.RateShares(
            name, data_center, upstream_signals.UpstreamSignals()
        )
        entry = Entry(name, data_center, shares, self.now)
        self.entries[name] = entry
        return entry

    def end_entry(self, name: str, *, planned: bool) -> None:
        """Ends an entry; its registration ends with it if that is planned."""
        entry = self.entries.pop(name)
        until = self.now if planned else self.now + LEASE_S
        self.departed[name] = (entry.data_center, until)

    def turn_away(self, name: str) -> None:
        entry = self.entries[name]
        entry.is_turned_away = True
        entry.leaves_registry_at = self.now + LEASE_S

    def serve_again(self, name: str) -> None:
        entry = self.entries[name]
        entry.is_turned_away = False
        entry.leaves_registry_at = float("inf")
        entry.next_read = self.now

    def advance(self, seconds: float) -> None:
        """Lets entries that have requests send all that they may."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for entry in list(self.entries.values()):
                if not entry.is_turned_away and self.now >= entry.next_read:
                    self._read(entry)
                if entry.wants:
                    self._send_all(entry)

    def _read(self, entry: Entry) -> None:
        entry.next_read = self.now + self.rng.uniform(0.5, READ_INTERVAL_S)
        registered = {
            each.name: each.data_center
            for each in self.entries.values()
            if self.now < each.leaves_registry_at
        }
        registered |= {
            name: data_center
            for name, (data_center, until) in self.departed.items()
            if self.now < until
        }
        peers = [
            registered_peers.Peer(name, data_center, "127.0.0.1", 1, 1)
            for name, data_center in registered.items()
        ]
        entry.shares.set_members(peers, self.now, self.now)

    def _send_all(self, entry: Entry) -> None:
        for record, log in zip(self.records, self.logs, strict=True):
            for _ in range(SENDS_MAX):
                if not entry.shares.has_room(record, self.now):
                    break
                entry.shares.record_request(record, self.now)
                log.record_arrival(entry.name)
                signals = ()
                if log.limit is not None:
                    signals = (upstream_signals.RateLimit(log.limit),)
                entry.shares.signals.record_answer(
                    upstream_signals.instance_of(record), signals, self.now
                )

    def sample(self, entry: Entry) -> None:
        """Has an entry learn of each upstream by a sample."""
        for record, log in zip(self.records, self.logs, strict=True):
            signals = ()
            if log.limit is not None:
                signals = (upstream_signals.RateLimit(log.limit),)
            entry.shares.signals.record_answer(
                upstream_signals.instance_of(record), signals, self.now
            )
