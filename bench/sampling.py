"""Simulates the choice of an upstream on machines with noisy neighbours.

Each upstream is slow for a share of the time, drawn anew at intervals, and
slows down when its slots fill up. Several entries choose independently with
the product's load balancer. The ways differ in how many candidates they
sample, in which slowdown they expect of one that they did not sample, and in
how long they wait for an upstream of the own data centre.

Run: ``python -m bench.sampling [--load 0.5] [--slots 4]``.
"""

from __future__ import annotations

import argparse
import dataclasses
import heapq
import itertools
import math
import random
import statistics
from typing import TYPE_CHECKING
from unittest import mock

from sesamevale import routes
from sesamevale.policy.balancing import load_sampling
from sesamevale.policy.balancing import upstream_search
from sesamevale.policy.balancing import upstream_state

if TYPE_CHECKING:
    from collections.abc import Callable

DATA_CENTERS = ("a", "b", "c")
ENTRIES = 6
UPSTREAMS = 12
WORK_S = 0.2
WORK_SPREAD_SHARE = 0.3
OBJECTIVE_S = 0.55
# Share of the intervals in which a machine is slow, and by which factor.
NOISE_SHARE = 0.25
NOISE_FACTOR = 5.0
NOISE_INTERVAL_S = 0.15
# Work takes longer by a factor if more than this share of the slots is busy.
FULL_SHARE = 0.8
FULL_FACTOR = 1.7
SAMPLE_DELAY_S = 0.0065
REMOTE_DELAY_S = 0.0028
REQUESTS = 12_000
ROUTE = "read"


@dataclasses.dataclass(frozen=True)
class Way:
    """One way to choose an upstream.

    Attributes:
        name: Name in the table.
        local_samples: Candidates that are sampled in the own data centre; 0
            for none.
        prior: Expected slowdown of an upstream that was not sampled; None
            for the average of the samples.
        local_wait_share: Share of the latency objective that may be spent on
            waiting for a faster upstream of the own data centre.
    """

    name: str
    local_samples: int
    prior: float | None = None
    local_wait_share: float = load_sampling.LOCAL_WAIT_SHARE


WAYS = (
    Way("own count", 0),
    Way("1 sample", 1),
    Way("2 samples", 2),
    Way("3 samples", 3),
    Way("4 samples", 4),
    Way("3, prior of 1", 3, prior=1.0),
    Way("3, no waiting", 3, local_wait_share=0.0),
)


class Upstream:
    """An upstream on a machine with noisy neighbours."""

    def __init__(
        self, record: routes.UpstreamRecord, rng: random.Random
    ) -> None:
        self.record = record
        self.running = 0
        self.waiting: list[Callable[[float], None]] = []
        self._rng = rng
        self._slowdown = 1.0
        self._slowdown_until = 0.0

    def slowdown(self, now: float) -> float:
        """Returns the factor by which the machine slows work at a moment."""
        if now >= self._slowdown_until:
            noisy = self._rng.random() < NOISE_SHARE
            self._slowdown = NOISE_FACTOR if noisy else 1.0
            steps = math.floor(now / NOISE_INTERVAL_S) + 1
            self._slowdown_until = steps * NOISE_INTERVAL_S
        return self._slowdown

    def load(self, now: float) -> upstream_state.Load:
        """Returns the load that the upstream reports at a moment."""
        return upstream_state.Load(
            self.running,
            len(self.waiting),
            self.record.slots,
            self.slowdown(now),
        )


class Simulation:
    """Simulation of the requests of one service through several entries."""

    def __init__(self, way: Way, load: float, slots: int, seed: int) -> None:
        self.way = way
        self.rng = random.Random(seed)
        self.now = 0.0
        self.samples = 0
        self.remote_sends = 0
        self.refused = 0
        self.times: list[float] = []
        self._sequence_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.upstreams = {
            f"u{number}": Upstream(
                routes.UpstreamRecord(
                    f"u{number}",
                    "s",
                    "",
                    0,
                    DATA_CENTERS[number % len(DATA_CENTERS)],
                    slots,
                    False,
                    0.0,
                    0,
                    0,
                ),
                self.rng,
            )
            for number in range(UPSTREAMS)
        }
        self.balancers = []
        for number in range(ENTRIES):
            data_center = DATA_CENTERS[number % len(DATA_CENTERS)]
            balancer = load_sampling.LoadBalancer(data_center, self.rng)
            records = [each.record for each in self.upstreams.values()]
            balancer.set_upstreams(records, -60.0)
            if way.local_samples == 0:
                balancer.record_missing_load()
            self.balancers.append((data_center, balancer))
        mean_s = WORK_S * (1 + NOISE_SHARE * (NOISE_FACTOR - 1))
        self.rate = load * UPSTREAMS * slots / mean_s

    def schedule(self, moment: float, action: Callable[[], None]) -> None:
        """Schedules an action at a moment of the simulated time."""
        heapq.heappush(
            self._events, (moment, next(self._sequence_numbers), action)
        )

    def run(self) -> None:
        """Simulates all requests."""
        arrived_at = 0.0
        for _ in range(REQUESTS):
            arrived_at += self.rng.expovariate(self.rate)
            data_center, balancer = self.rng.choice(self.balancers)
            search = upstream_search.Search(
                ROUTE, arrived_at, OBJECTIVE_S, frozenset(), arrived_at
            )
            self.schedule(arrived_at, self._step(data_center, balancer, search))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _step(
        self,
        data_center: str,
        balancer: load_sampling.LoadBalancer,
        search: upstream_search.Search,
    ) -> Callable[[], None]:
        def decide() -> None:
            if self.way.prior is not None:
                balancer._average = upstream_state.AverageLoad(self.way.prior)
            step = balancer.next_step(search, self.now)
            retry = self._step(data_center, balancer, search)
            if isinstance(step, upstream_search.Send):
                self._send(data_center, balancer, search, step.best)
            elif isinstance(step, upstream_search.Sample):
                self._sample(data_center, balancer, step, retry)
            elif isinstance(step, upstream_search.Wait):
                self.schedule(self.now + step.after_s, retry)
            else:
                self.refused += 1

        return decide

    def _network_delay(self, data_center: str, upstream: Upstream) -> float:
        is_local = upstream.record.data_center == data_center
        return 0.0 if is_local else REMOTE_DELAY_S

    def _sample(
        self,
        data_center: str,
        balancer: load_sampling.LoadBalancer,
        step: upstream_search.Sample,
        retry: Callable[[], None],
    ) -> None:
        latest = self.now
        for candidate in step.upstreams:
            upstream = self.upstreams[candidate.record.upstream_id]
            delay = SAMPLE_DELAY_S + self._network_delay(data_center, upstream)
            self.samples += 1
            latest = max(latest, self.now + delay)

            def arrive(
                candidate: upstream_state.Candidate = candidate,
                upstream: Upstream = upstream,
            ) -> None:
                balancer.record_load(
                    candidate, upstream.load(self.now), self.now
                )

            self.schedule(self.now + delay, arrive)
        self.schedule(latest, retry)

    def _send(
        self,
        data_center: str,
        balancer: load_sampling.LoadBalancer,
        search: upstream_search.Search,
        best: upstream_state.RankedCandidate,
    ) -> None:
        candidate = best.candidate
        upstream = self.upstreams[candidate.record.upstream_id]
        network_delay = self._network_delay(data_center, upstream)
        self.remote_sends += network_delay > 0
        candidate.attempt_started()
        sent = self.now

        def start(now: float) -> None:
            upstream.running += 1
            work = WORK_S * self.rng.uniform(
                1 - WORK_SPREAD_SHARE, 1 + WORK_SPREAD_SHARE
            )
            work *= upstream.slowdown(now)
            if upstream.running > FULL_SHARE * upstream.record.slots:
                work *= FULL_FACTOR
            self.schedule(now + work, end)

        def arrive() -> None:
            if upstream.running < upstream.record.slots:
                start(self.now)
            else:
                upstream.waiting.append(start)

        def end() -> None:
            upstream.running -= 1
            if upstream.waiting:
                upstream.waiting.pop(0)(self.now)
            candidate.attempt_ended()
            if self.way.local_samples:
                balancer.record_load(
                    candidate, upstream.load(self.now), self.now
                )
            balancer.durations.record(
                ROUTE, self.now - sent, best.expected_slowdown, self.now
            )
            self.times.append(self.now + network_delay - search.arrived)

        self.schedule(self.now + network_delay / 2, arrive)


def main() -> None:
    """Prints one row for each way."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    print(
        f"load {arguments.load:g}, {arguments.slots} slots, {UPSTREAMS} "
        f"upstreams, {ENTRIES} entries, {arguments.seeds} seeds"
    )
    print("way             on time  p50 ms  p99 ms  samples/request  far")
    for way in WAYS:
        rows = [
            _measure(way, arguments.load, arguments.slots, seed)
            for seed in range(arguments.seeds)
        ]
        means = [statistics.fmean(column) for column in zip(*rows, strict=True)]
        print(
            f"{way.name:16} {means[0]:6.3f} {means[1]:7.0f} {means[2]:7.0f}"
            f" {means[3]:16.2f} {means[4]:4.2f}"
        )


def _measure(way: Way, load: float, slots: int, seed: int) -> list[float]:
    with (
        mock.patch.object(load_sampling, "LOCAL_SAMPLES", way.local_samples),
        mock.patch.object(
            load_sampling, "LOCAL_WAIT_SHARE", way.local_wait_share
        ),
    ):
        simulation = Simulation(way, load, slots, seed)
        simulation.run()
    times = sorted(simulation.times)
    on_time_share = sum(each <= OBJECTIVE_S for each in times) / REQUESTS
    return [
        on_time_share,
        1000 * times[len(times) // 2],
        1000 * times[int(len(times) * 0.99)],
        simulation.samples / REQUESTS,
        simulation.remote_sends / REQUESTS,
    ]


if __name__ == "__main__":
    main()
