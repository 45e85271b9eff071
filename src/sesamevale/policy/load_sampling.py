"""Choice of an upstream from load figures taken just before the choice.

Neighbours on a shared machine slow an upstream for a fraction of a second at
a time, so a load figure is worth little once it is old. For each attempt a
few candidates are sampled and the one with the least expected time is taken.
A candidate without a fresh figure is expected to be as slow as the samples of
its service are on average. Sampling a few candidates at the time of the
choice is the synchronous mode of Prequal (Wydrowski et al., "Load is not what
you should balance", 2024).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sesamevale.policy import upstream_search
from sesamevale.policy import upstream_state

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from sesamevale import routes

__all__ = ["LoadBalancer"]

# Candidates sampled in one round: in this data centre, and in the others,
# where each sample pays for its bytes. Source: bench/sampling.py.
LOCAL_SAMPLES = 3
REMOTE_SAMPLES = 2
# Weight of a new sample in the average slowdown of a service.
AVERAGE_WEIGHT = 0.05
INITIAL_AVERAGE_SLOWDOWN = 2.0
# Price of leaving the data centre, as a factor on the expected time.
DISTANCE_FACTOR = 1.3
# Expected time, as a multiple of the usual, that is as good as it gets: a
# machine at its usual speed whose slots fill up, or a little slower and empty.
CALM_EXPECTED = 2.0
# Part of the latency objective that may be spent on waiting for an upstream
# of this data centre to become calm before others are looked at.
LOCAL_WAIT_SHARE = 0.2
# The same if no upstream of this data centre has a free slot: slots become
# free less often than slowdowns change.
FULL_LOCAL_WAIT_SHARE = 0.05
# Part of the latency objective after which a request that finds no free slot
# is refused if its usual duration is not known.
HOLD_SHARE = 0.5
# Time after which upstreams are sampled again, at first and at most; the
# slowdowns of a few upstreams change several times in a tenth of a second.
LOOK_AGAIN_S = 0.025
LOOK_AGAIN_MAX_S = 0.1
# Spread of the work of one route around its mean.
DURATION_MARGIN = 1.4
# Weight of a new duration in the mean of a route.
DURATION_WEIGHT = 0.05


class LoadBalancer:
    """Upstreams of one service as one entry sees them.

    Args:
        data_center: Data centre of this entry.
        rng: Source of randomness.
    """

    def __init__(self, data_center: str, rng: random.Random) -> None:
        self._data_center = data_center
        self._rng = rng
        self._candidates: dict[str, upstream_state.Candidate] = {}
        self._average_slowdown = INITIAL_AVERAGE_SLOWDOWN
        self._durations: dict[str, float] = {}
        self._patience: dict[str, float] = {}
        self._reports_load: bool | None = None

    @property
    def candidates(self) -> dict[str, upstream_state.Candidate]:
        """Upstreams by identifier."""
        return self._candidates

    @property
    def average_slowdown(self) -> float:
        """Mean slowdown of the samples so far."""
        return self._average_slowdown

    def set_upstreams(
        self, records: Iterable[routes.UpstreamRecord], now: float
    ) -> list[str]:
        """Takes the upstreams that may be used; returns those that left."""
        kept: dict[str, upstream_state.Candidate] = {}
        for record in records:
            known = self._candidates.get(record.upstream_id)
            if known is None or _is_other(known.record, record):
                known = upstream_state.Candidate(record, now)
            known.record = record
            kept[record.upstream_id] = known
        left = [
            name
            for name, candidate in self._candidates.items()
            if kept.get(name) is not candidate
        ]
        self._candidates = kept
        return left

    def record_load(
        self,
        candidate: upstream_state.Candidate,
        load: upstream_state.Load,
        now: float,
    ) -> None:
        """Takes a load figure of one upstream."""
        self._reports_load = True
        candidate.record_load(load, now)
        gain = load.slowdown - self._average_slowdown
        self._average_slowdown += AVERAGE_WEIGHT * gain

    def record_missing_load(self) -> None:
        """Takes that an upstream answered without a load figure."""
        if self._reports_load is None:
            self._reports_load = False

    def record_duration(
        self, route: str, seconds: float, expected_slowdown: float
    ) -> None:
        """Takes the time of a good answer.

        Args:
            route: Name of the route.
            seconds: Time from sending to the answer.
            expected_slowdown: Expected time when it was sent, as a
                multiple of the usual.
        """
        usual = seconds / max(expected_slowdown, 1.0)
        known = self._durations.setdefault(route, usual)
        self._durations[route] = known + DURATION_WEIGHT * (usual - known)

    def next_step(
        self, search: upstream_search.Search, now: float
    ) -> upstream_search.Step:
        """Decides how the search for an upstream goes on."""
        best = self.find_best(search.excluded, now)
        if best is None:
            return upstream_search.NoCandidates()
        if best.is_good_enough or self._reports_load is False:
            return upstream_search.Send(best)
        if not search.sampled_local:
            search.sampled_local = True
            wanted = self._to_sample(search.excluded, near=True, now=now)
            if wanted:
                return upstream_search.Sample(tuple(wanted))
        if self._is_in_time(search, best, now):
            return upstream_search.Send(best)
        return self._look_further(search, best, now)

    def _look_further(
        self,
        search: upstream_search.Search,
        best: upstream_state.RankedCandidate,
        now: float,
    ) -> upstream_search.Step:
        """Decides what follows if this data centre has nothing good."""
        if not search.sampled_remote:
            if self._may_wait(search, now):
                return self._pause(search)
            search.sampled_remote = True
            wanted = self._to_sample(search.excluded, near=False, now=now)
            if wanted:
                return upstream_search.Sample(tuple(wanted))
        in_time = self.can_meet_objective(search, now)
        has_free_slot = best.candidate.has_free_slot(now)
        if has_free_slot and (in_time or not search.must_yield):
            return upstream_search.Send(best)
        held = now - search.started
        if in_time or held < HOLD_SHARE * search.objective_s:
            search.sampled_remote = False
            return self._pause(search)
        return upstream_search.NoCapacity()

    def _pause(self, search: upstream_search.Search) -> upstream_search.Step:
        """Waits before the search goes on with fresh samples."""
        search.sampled_local = False
        search.wait_count += 1
        seconds = LOOK_AGAIN_S * search.wait_count
        return upstream_search.Wait(min(seconds, LOOK_AGAIN_MAX_S))

    def estimate_first_arrival(
        self, route: str, arrived: float, patience_s: float
    ) -> float:
        """Estimates when a caller first asked, in monotonic seconds.

        A caller that asks again has less time left than one that asks for
        the first time.

        Args:
            route: Name of the route.
            arrived: When this request arrived.
            patience_s: How long its caller will wait; infinite if unknown.
        """
        if math.isinf(patience_s):
            return arrived
        longest = max(self._patience.get(route, 0.0), patience_s)
        self._patience[route] = longest
        return arrived - (longest - patience_s)

    def can_meet_objective(
        self, search: upstream_search.Search, now: float
    ) -> bool:
        """Whether a request can still be in time."""
        usual = self._durations.get(search.route)
        needed = (1.0 - HOLD_SHARE) * search.objective_s
        if usual is not None:
            needed = usual * DURATION_MARGIN
        return now - search.arrived + needed < search.objective_s

    def _is_in_time(
        self,
        search: upstream_search.Search,
        best: upstream_state.RankedCandidate,
        now: float,
    ) -> bool:
        """Whether an upstream should answer within the objective."""
        usual = self._durations.get(search.route)
        if usual is None or not best.candidate.is_fresh(now):
            return False
        needed = usual * best.expected_slowdown * DURATION_MARGIN
        return now - search.arrived + needed <= search.objective_s

    def _may_wait(self, search: upstream_search.Search, now: float) -> bool:
        """Whether it is early enough to wait for this data centre."""
        near = [
            each
            for name, each in self._candidates.items()
            if name not in search.excluded
            and each.record.data_center == self._data_center
        ]
        if not near:
            return False
        patience = FULL_LOCAL_WAIT_SHARE
        if any(each.has_free_slot(now) for each in near):
            patience = LOCAL_WAIT_SHARE
        usual = self._durations.get(search.route, 0.0)
        needed = usual * DURATION_MARGIN + LOOK_AGAIN_S
        waited = now - search.started
        return (
            waited < patience * search.objective_s
            and now - search.arrived + needed < search.objective_s
        )

    def _to_sample(
        self, excluded: frozenset[str], *, near: bool, now: float
    ) -> list[upstream_state.Candidate]:
        """Returns the candidates to sample in one round.

        Args:
            excluded: Upstreams that were tried already.
            near: Whether to look in this data centre, or in the others.
            now: Monotonic time in seconds.
        """
        pool = [
            candidate
            for name, candidate in self._candidates.items()
            if name not in excluded
            and near == (candidate.record.data_center == self._data_center)
            and not candidate.is_ejected(now)
        ]
        self._rng.shuffle(pool)
        pool.sort(key=lambda each: each.expected_slowdown(1.0, now))
        wanted = pool[: LOCAL_SAMPLES if near else REMOTE_SAMPLES]
        return [each for each in wanted if not each.is_fresh(now)]

    def find_best(
        self, excluded: frozenset[str], now: float
    ) -> upstream_state.RankedCandidate | None:
        """Returns the best upstream by what is known now."""
        pool = [
            candidate
            for name, candidate in self._candidates.items()
            if name not in excluded
        ]
        open_pool = [each for each in pool if not each.is_ejected(now)]
        best: upstream_state.Candidate | None = None
        least = math.inf
        for candidate in open_pool or pool:
            expected_slowdown = candidate.expected_slowdown(
                self._average_slowdown, now
            )
            expected_slowdown *= 1.0 + 0.01 * self._rng.random()
            if candidate.record.data_center != self._data_center:
                expected_slowdown *= DISTANCE_FACTOR
            if expected_slowdown < least:
                best, least = candidate, expected_slowdown
        if best is None:
            return None
        is_good_enough = best.is_fresh(now) and best.has_free_slot(now)
        return upstream_state.RankedCandidate(
            best, least, is_good_enough and least <= CALM_EXPECTED
        )


def _is_other(
    known: routes.UpstreamRecord, record: routes.UpstreamRecord
) -> bool:
    return (known.started_ms, known.host, known.port) != (
        record.started_ms,
        record.host,
        record.port,
    )
