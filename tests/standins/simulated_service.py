"""One service in simulated time: entries that choose among noisy upstreams.

Each entry decides with the load balancer of the product. Samples, waits and
work take simulated time only.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from sesamevale.policy.balancing import load_sampling
from sesamevale.policy.balancing import upstream_search
from sesamevale.policy.balancing import upstream_state
from tests.builders import gateway

ROUTE = "read"
DATA_CENTERS = ("a", "b", "c")
WORK_S = 0.16
WORK_SPREAD = 0.3
# Work takes longer by this factor while all slots are in use.
FULL_FACTOR = 1.7
NOISE_SHARE = 0.25
NOISE_FACTOR = 5.0
NOISE_INTERVAL_S = 0.15
SAMPLE_S = 0.007
ROUND_TIMEOUT_S = 0.025


@dataclasses.dataclass(eq=False)
class Work:
    """One request.

    Attributes:
      arrived: When it reaches an entry, in seconds.
      deadline: When its caller gives up.
      objective_s: Latency objective.
      sent_at: When it was sent to an upstream; None if it was not.
      was_blind: Whether it was sent without a fresh load report.
      remaining_s: Work that is left.
      ended: When it was answered; None if it was not.
      refused: When it was refused; None if it was not.
    """

    arrived: float
    deadline: float
    objective_s: float
    sent_at: float | None = None
    was_blind: bool = False
    remaining_s: float = 0.0
    ended: float | None = None
    refused: float | None = None

    @property
    def is_in_time(self) -> bool:
        return (
            self.ended is not None
            and self.ended <= self.arrived + self.objective_s
        )


class Upstream:
    """Runs up to ``slots`` requests at a time and queues the others."""

    STEP_S = 0.005

    def __init__(self, record, rng):
        self.record = record
        self._rng = rng
        self._noise_drawn_at = -NOISE_INTERVAL_S * rng.random()
        self._slowdown = 1.0
        self.running: list[Work] = []
        self.queue: list[Work] = []

    def accept(self, work: Work) -> None:
        work.remaining_s = WORK_S * self._rng.lognormvariate(0, WORK_SPREAD)
        self.queue.append(work)

    def load(self) -> upstream_state.Load:
        return upstream_state.Load(
            len(self.running),
            len(self.queue),
            self.record.slots,
            self._slowdown,
        )

    def advance(self, now: float) -> None:
        while now - self._noise_drawn_at >= NOISE_INTERVAL_S:
            self._noise_drawn_at += NOISE_INTERVAL_S
            is_slow = self._rng.random() < NOISE_SHARE
            self._slowdown = NOISE_FACTOR if is_slow else 1.0
        full = len(self.running) >= self.record.slots
        pace = self._slowdown * (FULL_FACTOR if full else 1.0)
        for work in list(self.running):
            work.remaining_s -= self.STEP_S / pace
            if work.remaining_s <= 0:
                work.ended = now
                self.running.remove(work)
            elif now >= work.deadline:
                self.running.remove(work)
        self.queue = [each for each in self.queue if now < each.deadline]
        while self.queue and len(self.running) < self.record.slots:
            self.running.append(self.queue.pop(0))


class Service:
    """Upstreams and the entries that share them.

    Args:
      entries: Number of entries, spread over the data centres.
      upstreams: Number of upstreams, spread likewise.
      slots: Slots of each.
      seed: Seed of the random numbers.
    """

    def __init__(self, entries: int, upstreams: int, slots: int, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.upstreams = {}
        for number in range(upstreams):
            record = gateway.upstream(
                f"u-{number}",
                slots=slots,
                data_center=DATA_CENTERS[number % len(DATA_CENTERS)],
            )
            self.upstreams[record.upstream_id] = Upstream(record, self.rng)
        self.balancers = []
        for number in range(entries):
            balancer = load_sampling.LoadBalancer(
                DATA_CENTERS[number % len(DATA_CENTERS)],
                random.Random(seed * 1000 + number),
            )
            balancer.set_upstreams(
                [each.record for each in self.upstreams.values()], 0.0
            )
            self.balancers.append(balancer)
        self.work: list[Work] = []
        self.queued_by_time: list[tuple[float, int]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def slots(self) -> int:
        return sum(each.record.slots for each in self.upstreams.values())

    def know_durations(self) -> None:
        """Has all entries know how long the work usually takes."""
        for balancer in self.balancers:
            balancer.durations.record(ROUTE, WORK_S, 1.0, self.now)

    def arrive(self, at: float, *, left_s: float, objective_s: float) -> Work:
        """Adds a request that reaches a random entry."""
        work = Work(at, at + left_s, objective_s)
        self.work.append(work)
        balancer = self.rng.choice(self.balancers)
        search = upstream_search.Search(
            ROUTE, at, objective_s, frozenset(), at, work.deadline
        )
        self._at(at, lambda: self._step(balancer, search, work))
        return work

    def run(self, until: float) -> None:
        """Advances the simulated time."""
        while self.now < until:
            self.now += Upstream.STEP_S
            for each in self.upstreams.values():
                each.advance(self.now)
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            queued = sum(len(each.queue) for each in self.upstreams.values())
            self.queued_by_time.append((self.now, queued))

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _step(self, balancer, search, work) -> None:
        now = self.now
        if now >= work.deadline:
            work.refused = now
            return
        step = balancer.next_step(search, now)
        if isinstance(step, upstream_search.Send):
            self._send(balancer, step.best, work)
        elif isinstance(step, upstream_search.Sample):
            self._at(
                now + SAMPLE_S,
                lambda: self._sampled(balancer, search, work, step.upstreams),
            )
        elif isinstance(step, upstream_search.Wait):
            self._at(
                now + step.after_s, lambda: self._step(balancer, search, work)
            )
        else:
            work.refused = now

    def _sampled(self, balancer, search, work, candidates) -> None:
        for candidate in candidates:
            upstream = self.upstreams[candidate.record.upstream_id]
            balancer.record_load(candidate, upstream.load(), self.now)
        self._step(balancer, search, work)

    def _send(self, balancer, best, work) -> None:
        candidate = best.candidate
        work.sent_at = self.now
        work.was_blind = not candidate.is_fresh(self.now)
        balancer.record_attempt(candidate, self.now)
        self.upstreams[candidate.record.upstream_id].accept(work)
        self._watch(balancer, candidate, best.expected_slowdown, work)

    def _watch(self, balancer, candidate, expected_slowdown, work) -> None:
        """Waits for the end of an attempt."""
        if work.ended is not None:
            candidate.attempt_ended()
            balancer.durations.record(
                ROUTE, self.now - work.sent_at, expected_slowdown, self.now
            )
        elif self.now >= work.deadline:
            candidate.attempt_ended()
        else:
            self._at(
                self.now + Upstream.STEP_S,
                lambda: self._watch(
                    balancer, candidate, expected_slowdown, work
                ),
            )
