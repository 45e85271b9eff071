"""Entries that share what cold upstreams accept, in simulated time.

Entries read the store at intervals. Each wants to send cold upstreams all that
it may; warm ones get a usual rate from all entries together. An upstream
answers at once, and says by samples and records how long it stays cold.
"""

from __future__ import annotations

import dataclasses
import math
import random

from sesamevale import resources
from sesamevale.policy.balancing import warmup_shares
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.signals import upstream_signals
from tests.builders import gateway

DATA_CENTERS = ("a", "b", "c", "d")
STEP_S = 0.05
READ_INTERVAL_S = 1.5
LEASE_S = 6.0
HEARTBEAT_S = 1.0
RATE = 3.4
BOUNDS = resources.WarmupBounds(1.5, 8.0)
# Requests a second that a warm upstream gets from all entries together, twice
# what an upstream gets on a usual day.
USUAL_RATE = 6.0
SENDS_MAX = 3


@dataclasses.dataclass
class Upstream:
    """An upstream as it is.

    Attributes:
      record: What the store holds of it.
      cold_until: When it is warm again.
      arrivals: When requests reached it, with the sender.
      cold_arrivals: Those that reached it while it was cold.
      heartbeat_at: When it last wrote its record.
    """

    record: object
    cold_until: float = -math.inf
    arrivals: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    cold_arrivals: list[float] = dataclasses.field(default_factory=list)
    heartbeat_at: float = 0.0

    def most_in_a_second(self) -> int:
        """Returns the most requests in one second while it was cold."""
        most, first = 0, 0
        for last, at in enumerate(self.cold_arrivals):
            while at - self.cold_arrivals[first] >= 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


@dataclasses.dataclass
class Entry:
    """One entry.

    Attributes:
      name: Identifier.
      data_center: Its data centre.
      shares: Its shares.
      next_read: When it reads the store next.
      leaves_registry_at: When its registration ends.
      is_turned_away: Whether the store does not serve it.
      is_frozen: Whether it stands still.
      hears_nothing: Whether no answer of an upstream reaches it.
    """

    name: str
    data_center: str
    shares: warmup_shares.WarmupShares
    next_read: float
    leaves_registry_at: float = math.inf
    is_turned_away: bool = False
    is_frozen: bool = False
    hears_nothing: bool = False


class Fleet:
    """Entries and upstreams.

    Args:
      entries: Number of entries at the start.
      upstreams: Number of upstreams.
      seed: Seed of the random numbers.
    """

    def __init__(self, entries, upstreams, seed=1, bounds=BOUNDS):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.bounds = bounds
        self.entries: dict[str, Entry] = {}
        self.departed: dict[str, tuple[str, float]] = {}
        self._started = 0
        self.upstreams = [
            Upstream(
                gateway.upstream(
                    f"u-{number}",
                    data_center=DATA_CENTERS[number % len(DATA_CENTERS)],
                )
            )
            for number in range(upstreams)
        ]
        for _ in range(entries):
            self.start_entry()
        for each in self.entries.values():
            self._read(each)

    @property
    def allowed(self) -> float:
        return RATE * self.bounds.overage + self.bounds.tolerance

    def start_entry(self) -> Entry:
        """Starts an entry, which knows nothing before its first read."""
        name = f"e-{self._started}"
        data_center = DATA_CENTERS[self._started % len(DATA_CENTERS)]
        self._started += 1
        shares = warmup_shares.WarmupShares(name, data_center, self.bounds)
        shares.set_rate(RATE, self.now)
        entry = Entry(name, data_center, shares, self.now)
        self.entries[name] = entry
        return entry

    def end_entry(self, name, *, planned=False) -> None:
        entry = self.entries.pop(name)
        until = self.now if planned else self.now + LEASE_S
        self.departed[name] = (entry.data_center, until)

    def turn_away(self, name) -> None:
        entry = self.entries[name]
        entry.is_turned_away = True
        entry.leaves_registry_at = self.now + LEASE_S

    def serve_again(self, name) -> None:
        entry = self.entries[name]
        entry.is_turned_away = False
        entry.leaves_registry_at = math.inf
        entry.next_read = self.now

    def turn_cold(self, upstream, seconds) -> None:
        """Has an upstream turn cold; its record tells only at a heartbeat."""
        upstream.cold_until = max(upstream.cold_until, self.now + seconds)

    def start_cold(self, upstream, seconds) -> None:
        """Has an upstream start anew, cold."""
        upstream.record = dataclasses.replace(
            upstream.record,
            started_ms=upstream.record.started_ms + 1,
            sequence=0,
        )
        self.turn_cold(upstream, seconds)
        self._beat(upstream)

    def advance(self, seconds) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for upstream in self.upstreams:
                if self.now - upstream.heartbeat_at >= HEARTBEAT_S:
                    self._beat(upstream)
            for entry in list(self.entries.values()):
                if entry.is_frozen:
                    continue
                if not entry.is_turned_away and self.now >= entry.next_read:
                    self._read(entry)
                self._send_all(entry)

    def violations(self) -> list[str]:
        """Returns what exceeds the bound on cold upstreams."""
        return [
            f"{each.record.upstream_id}: {each.most_in_a_second()} in a second"
            for each in self.upstreams
            if each.most_in_a_second() > self.allowed
        ]

    def _beat(self, upstream) -> None:
        upstream.heartbeat_at = self.now - self.rng.uniform(0.0, 0.2)
        upstream.record = dataclasses.replace(
            upstream.record,
            sequence=upstream.record.sequence + 1,
            warmup_s=max(0.0, upstream.cold_until - self.now),
        )

    def _read(self, entry) -> None:
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
        entry.shares.record_discovered(
            [each.record for each in self.upstreams], self.now
        )

    def _send_all(self, entry) -> None:
        for upstream in self.upstreams:
            wanted = SENDS_MAX
            instance = upstream_signals.instance_of(upstream.record)
            if not entry.shares.is_cold(instance, self.now):
                usual = USUAL_RATE * STEP_S / len(self.entries)
                wanted = int(self.rng.random() < usual)
            for _ in range(wanted):
                if not self._may_send(entry, upstream, instance):
                    break
                entry.shares.record_request(upstream.record, self.now)
                self.arrive(entry, upstream)

    def _may_send(self, entry, upstream, instance) -> bool:
        shares, now = entry.shares, self.now
        shares.forget_ended(now)
        if shares.must_look(upstream.record, now):
            left_s = upstream.cold_until - now
            signals = ()
            if left_s > 0.0:
                signals = (upstream_signals.Warming(left_s),)
            if entry.hears_nothing:
                shares.record_unanswered(instance, now)
            else:
                shares.record_answer(instance, signals, now, is_sample=True)
        return shares.has_room(upstream.record, now)

    def arrive(self, entry, upstream) -> None:
        upstream.arrivals.append((self.now, entry.name))
        if self.now < upstream.cold_until:
            upstream.cold_arrivals.append(self.now)
