"""A service whose data centres are evacuated and whose upstreams turn cold.

In simulated time. Entries learn of evacuations and records at different times;
upstreams say in each sample how long they stay cold.
"""

from __future__ import annotations

import dataclasses
import math
import random

from sesamevale import resources
from sesamevale.policy.balancing import load_sampling
from sesamevale.policy.balancing import warmup_shares
from sesamevale.policy.membership import evacuations
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.signals import upstream_signals
from tests.standins import simulated_service

DATA_CENTERS = simulated_service.DATA_CENTERS
RATE = 3.4
BOUNDS = resources.WarmupBounds(1.5, 8.0)
# Longest time until an entry learns of a change in the store.
READ_INTERVAL_S = 1.5
# Work takes longer by this factor at a cold upstream.
COLD_FACTOR = 2.0


class Upstream(simulated_service.Upstream):
    """An upstream that may be cold, and counts what reaches it then."""

    def __init__(self, record, rng):
        super().__init__(record, rng)
        self.now = 0.0
        self.cold_until = -math.inf
        self.arrivals: list[float] = []
        self.cold_arrivals: list[float] = []

    def advance(self, now):
        self.now = now
        super().advance(now)

    def accept(self, work):
        super().accept(work)
        self.arrivals.append(self.now)
        if self.now < self.cold_until:
            work.remaining_s *= COLD_FACTOR
            self.cold_arrivals.append(self.now)

    def count_between(self, start, end):
        return sum(start <= at < end for at in self.arrivals)

    def most_in_a_second(self):
        return max(
            (
                sum(first <= at < first + 1.0 for at in self.cold_arrivals)
                for first in self.cold_arrivals
            ),
            default=0,
        )


class Service(simulated_service.Service):
    """Upstreams and the entries that share them; see the base class."""

    def __init__(self, entries, upstreams, slots, seed):
        super().__init__(entries, upstreams, slots, seed)
        self.upstreams = {
            name: Upstream(each.record, self.rng)
            for name, each in self.upstreams.items()
        }
        self._evacuations = [evacuations.Evacuations() for _ in range(entries)]
        peers = [
            registered_peers.Peer(
                f"e-{number}", DATA_CENTERS[number % 3], "127.0.0.1", 1, 1
            )
            for number in range(entries)
        ]
        self.balancers = []
        for number, peer in enumerate(peers):
            warmups = warmup_shares.WarmupShares(
                peer.entry_id, peer.data_center, BOUNDS
            )
            warmups.set_rate(RATE, 0.0)
            # The registrations have been the same for a while.
            warmups.set_members(peers, -10.0, -10.0)
            warmups.set_members(peers, 0.0, 0.0)
            balancer = load_sampling.LoadBalancer(
                peer.data_center,
                random.Random(seed * 1000 + number),
                None,
                warmups,
            )
            self.balancers.append(balancer)
            self._read(number, frozenset(), 0.0)

        def keep_reading():
            for balancer in self.balancers:
                balancer.warmups.set_members(peers, self.now, self.now)
            self._at(self.now + 1.0, keep_reading)

        self._at(0.5, keep_reading)

    def upstreams_in(self, *data_centers):
        return [
            each
            for each in self.upstreams.values()
            if each.record.data_center in data_centers
        ]

    def evacuate(self, at, *data_centers):
        """Sets the evacuated data centres; entries learn of it in turn."""
        self._change(at, frozenset(data_centers))

    def turn_cold(self, at, seconds, *data_centers):
        """Has all upstreams of data centres turn cold; records tell late."""

        def turn():
            for each in self.upstreams_in(*data_centers):
                each.cold_until = at + seconds
                each.record = dataclasses.replace(
                    each.record,
                    sequence=each.record.sequence + 1,
                    warmup_s=seconds,
                )

        self._at(at, turn)

    def _change(self, at, evacuated):
        for number in range(len(self.balancers)):
            delay_s = self.rng.uniform(0.0, READ_INTERVAL_S)
            self._at(
                at + delay_s,
                lambda number=number: self._read(number, evacuated, self.now),
            )

    def _read(self, number, evacuated, now):
        """Has one entry learn what the store holds."""
        state, balancer = self._evacuations[number], self.balancers[number]
        state.record_read(evacuated, now)
        records = state.select_usable(
            tuple(each.record for each in self.upstreams.values())
        )
        balancer.warmups.record_discovered(records, now)
        balancer.set_upstreams(records, now)

    def _sampled(self, balancer, search, work, candidates):
        for candidate in candidates:
            upstream = self.upstreams[candidate.record.upstream_id]
            left_s = upstream.cold_until - self.now
            signals = ()
            if left_s > 0.0:
                signals = (upstream_signals.Warming(left_s),)
            balancer.warmups.record_answer(
                candidate.instance, signals, self.now, is_sample=True
            )
        super()._sampled(balancer, search, work, candidates)
