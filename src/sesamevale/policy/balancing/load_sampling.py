"""Load balancing by load reports sampled just before each choice.

Other workloads on a shared machine slow an upstream down for a fraction of a
second at a time, so a load report soon becomes useless. For each attempt a
few candidates are sampled and the one with the shortest expected time is
chosen. A candidate without a fresh load report is expected to be as slow and
as loaded as the average sample of its service. Sampling a few candidates at
the time of the choice is the synchronous mode of Prequal (Wydrowski et al.,
"Load is not what you should balance", 2024).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sesamevale.policy.admission import rate_shares
from sesamevale.policy.admission import service_order
from sesamevale.policy.balancing import route_durations
from sesamevale.policy.balancing import upstream_openings
from sesamevale.policy.balancing import upstream_search
from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.balancing import warmup_shares
from sesamevale.policy.signals import upstream_signals

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from sesamevale import routes

__all__ = ["LoadBalancer"]

# Candidates sampled in one round, in this data centre and in the others. Fewer
# are sampled remotely because each sample costs traffic between data centres.
LOCAL_SAMPLES = 3
REMOTE_SAMPLES = 2
# Weight of a new sample in the moving averages of a service's load.
AVERAGE_WEIGHT = 0.05
INITIAL_AVERAGE_SLOWDOWN = 2.0
# Penalty for an upstream of another data centre: a factor on its expected
# time.
REMOTE_FACTOR = 1.3
# Expected slowdown up to which the search stops: a machine at its usual speed
# whose slots are almost all in use, or a slightly slower idle one.
ACCEPTABLE_SLOWDOWN = 2.0
# Share of the latency objective that may be spent waiting for an upstream of
# this data centre to become less loaded before other data centres are sampled.
LOCAL_WAIT_SHARE = 0.2
# The same if no upstream of this data centre has a free slot. It is shorter
# because slots become free less often than slowdowns change.
FULL_LOCAL_WAIT_SHARE = 0.05
# Share of the latency objective for which a request waits for a free slot, or
# for room under a limit, even if it can no longer meet its objective. A request
# whose route has no known duration counts as unable to meet it once this share
# has passed.
SLOT_WAIT_SHARE = 0.5
# Delay before upstreams are sampled again. It grows by the first value with
# each wait, up to the second. The slowdowns of a few upstreams change several
# times within 100 ms.
RESAMPLE_DELAY_S = 0.025
RESAMPLE_DELAY_MAX_S = 0.1
# Shortest delay before the room under the limits is checked again.
ROOM_CHECK_DELAY_MIN_S = 0.005


class LoadBalancer:
    """Chooses an upstream of one service for each attempt of one entry.

    Args:
        data_center: Data centre of this entry.
        rng: Source of randomness.
        shares: Shares of this entry in the limits that upstreams name.
        warmups: Shares of this entry in what cold upstreams accept.
        order: Order of service while there is too little room; None to serve
            all requests alike.
    """

    def __init__(
        self,
        data_center: str,
        rng: random.Random,
        shares: rate_shares.RateShares | None = None,
        warmups: warmup_shares.WarmupShares | None = None,
        order: service_order.ServiceOrder | None = None,
    ) -> None:
        self._data_center = data_center
        self._rng = rng
        self._shares = shares or rate_shares.RateShares(
            "", data_center, upstream_signals.UpstreamSignals()
        )
        self._warmups = warmups or warmup_shares.WarmupShares("", data_center)
        self._openings = upstream_openings.Openings(self._shares, self._warmups)
        self._candidates: dict[str, upstream_state.Candidate] = {}
        self._average = upstream_state.AverageLoad(INITIAL_AVERAGE_SLOWDOWN)
        self._durations = route_durations.RouteDurations()
        self._order = order
        self._reports_load: bool | None = None

    @property
    def candidates(self) -> dict[str, upstream_state.Candidate]:
        """Upstreams by identifier."""
        return self._candidates

    @property
    def durations(self) -> route_durations.RouteDurations:
        """Durations of the attempts of each route."""
        return self._durations

    @property
    def order(self) -> service_order.ServiceOrder | None:
        """Order of service while there is too little room, if there is one."""
        return self._order

    @property
    def signals(self) -> upstream_signals.UpstreamSignals:
        """Signals that the upstreams have sent."""
        return self._shares.signals

    @property
    def shares(self) -> rate_shares.RateShares:
        """Shares of this entry in the limits that upstreams name."""
        return self._shares

    @property
    def warmups(self) -> warmup_shares.WarmupShares:
        """Shares of this entry in what cold upstreams accept."""
        return self._warmups

    @property
    def has_scarce_room(self) -> bool:
        """Whether limits or coldness may leave upstreams little room."""
        return self._openings.any_signal

    @property
    def average(self) -> upstream_state.AverageLoad:
        """Moving average of the sampled loads."""
        return self._average

    def set_upstreams(
        self, records: Iterable[routes.UpstreamRecord], now: float
    ) -> list[str]:
        """Replaces the candidates.

        An upstream that has restarted or has moved to another address is a
        new candidate.

        Args:
            records: Upstreams that may be used.
            now: Monotonic time in seconds.

        Returns:
            Identifiers of the candidates that were removed or replaced.
        """
        kept: dict[str, upstream_state.Candidate] = {}
        for record in records:
            known = self._candidates.get(record.upstream_id)
            if known is None or known.instance != (
                upstream_signals.instance_of(record)
            ):
                known = upstream_state.Candidate(record, now)
            known.record = record
            kept[record.upstream_id] = known
        removed = [
            name
            for name, candidate in self._candidates.items()
            if kept.get(name) is not candidate
        ]
        self._candidates = kept
        return removed

    def record_load(
        self,
        candidate: upstream_state.Candidate,
        load: upstream_state.Load,
        now: float,
    ) -> None:
        """Records a load report of one upstream."""
        self._reports_load = True
        candidate.record_load(load, now)
        average = self._average
        utilization = (load.running + load.waiting) / max(1, load.slots)
        if self._order is not None:
            self._order.pressure.record_load(utilization, now)
        self._average = upstream_state.AverageLoad(
            average.slowdown
            + AVERAGE_WEIGHT * (load.slowdown - average.slowdown),
            average.utilization
            + AVERAGE_WEIGHT * (utilization - average.utilization),
        )

    def record_attempt(
        self, candidate: upstream_state.Candidate, now: float
    ) -> None:
        """Records that a request is sent to an upstream."""
        candidate.attempt_started()
        self._openings.record_request(candidate, now)

    def record_missing_load(self) -> None:
        """Records that an upstream answered without a load report."""
        if self._reports_load is None:
            self._reports_load = False

    def next_step(
        self, search: upstream_search.Search, now: float
    ) -> upstream_search.Step:
        """Decides the next step of the search for an upstream."""
        step = self._choose_step(search, now)
        return self._warmups.look_first(step, search, now)

    def _choose_step(
        self, search: upstream_search.Search, now: float
    ) -> upstream_search.Step:
        best = self.find_best(search.excluded, now, search.ahead)
        if best is None:
            return self._wait_for_room(search, now)
        if not self._can_end_in_time(search, 1.0, now):
            return upstream_search.TooLate()
        yields = self._must_leave_room(search, now)
        is_good = best.is_good_enough or self._reports_load is False
        must_yield = search.must_yield and not self.can_meet_objective(
            search, now
        )
        if (
            is_good
            and not must_yield
            and self._can_end_in_time(search, best.expected_slowdown, now)
        ):
            return upstream_search.Send(best)
        if not search.sampled_local:
            search.sampled_local = True
            stale = self._to_sample(search.excluded, local=True, now=now)
            if stale:
                return upstream_search.Sample(tuple(stale))
        has_room = not yields or self._has_spare_slot(best.candidate, now)
        if has_room and self._is_in_time(search, best, now):
            return upstream_search.Send(best)
        return self._widen_search(search, best, now, yields)

    def _wait_for_room(
        self, search: upstream_search.Search, now: float
    ) -> upstream_search.Step:
        """Decides the next step if no candidate takes requests now."""
        staying = [
            each
            for each in self._untried(search)
            if not self._openings.is_leaving(each)
        ]
        if not staying:
            return upstream_search.NoCandidates()
        reachable = [each for each in staying if not each.is_ejected(now)]
        recheck = self._openings.find_recheck(reachable, now)
        if recheck is not None and not recheck.is_fresh(now):
            return upstream_search.Sample((recheck,))
        room_at = self._openings.room_after(staying, search.ahead, now)
        may_wait = self.can_meet_objective(search, room_at) or (
            room_at - search.started < SLOT_WAIT_SHARE * search.objective_s
        )
        if not may_wait or not self._can_end_in_time(search, 1.0, room_at):
            return upstream_search.NoRoom(room_at - now)
        delay_s = max(ROOM_CHECK_DELAY_MIN_S, room_at - now)
        return upstream_search.Wait(min(delay_s, RESAMPLE_DELAY_MAX_S))

    def _widen_search(
        self,
        search: upstream_search.Search,
        best: upstream_state.RankedCandidate,
        now: float,
        yields: bool,
    ) -> upstream_search.Step:
        """Decides the next step if no candidate is good enough so far."""
        if not search.sampled_remote:
            if self._may_wait_for_local(search, now):
                return self._wait_and_resample(search, now)
            search.sampled_remote = True
            stale = self._to_sample(search.excluded, local=False, now=now)
            if stale:
                return upstream_search.Sample(tuple(stale))
        in_time = self.can_meet_objective(search, now)
        has_slot = self._has_spare_slot if yields else self.has_free_slot
        may_send = has_slot(best.candidate, now) and self._can_end_in_time(
            search, best.expected_slowdown, now
        )
        if may_send and (in_time or not search.must_yield):
            return upstream_search.Send(best)
        waited = now - search.started
        if yields:
            wait_share = service_order.YIELDING_WAIT_SHARE
            may_wait = waited < wait_share * search.objective_s
        else:
            wait_share = SLOT_WAIT_SHARE
            may_wait = in_time or waited < wait_share * search.objective_s
        if may_wait:
            search.sampled_remote = False
            return self._wait_and_resample(search, now)
        return upstream_search.NoCapacity()

    def _wait_and_resample(
        self, search: upstream_search.Search, now: float
    ) -> upstream_search.Step:
        """Schedules new samples after a delay that grows with each wait.

        The most urgent request waits no longer than until there is room under
        a limit.
        """
        search.sampled_local = False
        search.wait_count += 1
        delay_s = min(
            RESAMPLE_DELAY_S * search.wait_count, RESAMPLE_DELAY_MAX_S
        )
        if not search.ahead and self._openings.any_signal:
            room_at = min(
                self._room_at(each, now) for each in self._untried(search)
            )
            delay_s = min(delay_s, max(ROOM_CHECK_DELAY_MIN_S, room_at - now))
        return upstream_search.Wait(delay_s)

    def _untried(
        self, search: upstream_search.Search
    ) -> list[upstream_state.Candidate]:
        return [
            candidate
            for name, candidate in self._candidates.items()
            if name not in search.excluded
        ]

    def _room_at(
        self, candidate: upstream_state.Candidate, now: float
    ) -> float:
        """Returns when a candidate without room will have some."""
        room_at = self._openings.opens_at(candidate, now)
        return room_at if room_at > now else math.inf

    def expected_duration_s(
        self, route: str, best: upstream_state.RankedCandidate
    ) -> float:
        """Returns the likely duration of an attempt; 0 if it is unknown."""
        slowdown = best.expected_slowdown
        return self._durations.expected_s(route, slowdown) or 0.0

    def can_meet_objective(
        self, search: upstream_search.Search, now: float
    ) -> bool:
        """Whether a request can still meet its latency objective."""
        needed = self._durations.expected_s(search.route)
        if needed is None:
            needed = (1.0 - SLOT_WAIT_SHARE) * search.objective_s
        return now - search.arrived + needed < search.objective_s

    def may_use_reserve(
        self, search: upstream_search.Search, now: float
    ) -> bool:
        """Whether a request may spend what is kept of the retry budget."""
        if self._order is None:
            return True
        return self._order.may_use_reserve(self._standing(search, now), now)

    def _must_leave_room(
        self, search: upstream_search.Search, now: float
    ) -> bool:
        """Whether a request leaves scarce room to others."""
        if self._order is None:
            return False
        return self._order.yields(self._standing(search, now), now)

    def _standing(
        self, search: upstream_search.Search, now: float
    ) -> service_order.Standing:
        """Returns what turning a request away costs."""
        return service_order.Standing(
            search.priority,
            self.can_meet_objective(search, now),
            search.has_returned,
        )

    def has_free_slot(
        self, candidate: upstream_state.Candidate, now: float
    ) -> bool:
        """Whether an upstream is estimated to have a free slot."""
        return candidate.has_free_slot(self._average, now)

    def _has_spare_slot(
        self, candidate: upstream_state.Candidate, now: float
    ) -> bool:
        """Whether a request would not slow an upstream down."""
        return candidate.has_spare_slot(self._average, now)

    def _can_end_in_time(
        self, search: upstream_search.Search, slowdown: float, now: float
    ) -> bool:
        """Whether an attempt of this slowdown may end before the deadline."""
        return self._durations.may_end_by(
            search.deadline, search.route, slowdown, now
        )

    def _is_in_time(
        self,
        search: upstream_search.Search,
        best: upstream_state.RankedCandidate,
        now: float,
    ) -> bool:
        """Whether an upstream is expected to answer within the objective."""
        needed = self._durations.expected_s(
            search.route, best.expected_slowdown
        )
        if needed is None or not best.candidate.is_fresh(now):
            return False
        return now - search.arrived + needed <= search.objective_s

    def _may_wait_for_local(
        self, search: upstream_search.Search, now: float
    ) -> bool:
        """Whether there is time to wait for an upstream of this data centre."""
        local = [
            each
            for name, each in self._candidates.items()
            if name not in search.excluded
            and each.record.data_center == self._data_center
        ]
        local = self._openings.select_open(local, now)
        if not local:
            return False
        wait_share = FULL_LOCAL_WAIT_SHARE
        if any(self.has_free_slot(each, now) for each in local):
            wait_share = LOCAL_WAIT_SHARE
        needed = self._durations.expected_s(search.route) or 0.0
        needed += RESAMPLE_DELAY_S
        waited = now - search.started
        return (
            waited < wait_share * search.objective_s
            and now - search.arrived + needed < search.objective_s
        )

    def _to_sample(
        self, excluded: frozenset[str], *, local: bool, now: float
    ) -> list[upstream_state.Candidate]:
        """Returns the candidates to sample in one round.

        Args:
            excluded: Upstreams that were tried already.
            local: Whether to sample this data centre or the others.
            now: Monotonic time in seconds.
        """
        available = [
            candidate
            for name, candidate in self._candidates.items()
            if name not in excluded
            and local == (candidate.record.data_center == self._data_center)
            and not candidate.is_ejected(now)
        ]
        recheck = None
        if self._openings.any_signal:
            recheck = self._openings.find_recheck(available, now)
            available = self._openings.select_open(available, now)
        self._rng.shuffle(available)
        idle = upstream_state.AverageLoad(1.0)
        available.sort(key=lambda each: each.expected_slowdown(idle, now))
        if self._openings.any_signal:
            # Room under a limit is lost if it is not used soon.
            available.sort(key=self._openings.is_limited, reverse=True)
        chosen = available[: LOCAL_SAMPLES if local else REMOTE_SAMPLES]
        if recheck is not None:
            chosen.append(recheck)
        return [each for each in chosen if not each.is_fresh(now)]

    def find_best(
        self, excluded: frozenset[str], now: float, ahead: int = 0
    ) -> upstream_state.RankedCandidate | None:
        """Returns the candidate with the shortest expected time, if any.

        Ejected candidates are considered only if no others are left. A random
        factor of up to 1% decides between nearly equal candidates.

        Args:
            excluded: Upstreams that were tried already.
            now: Monotonic time in seconds.
            ahead: Number of more urgent requests that wait for room; those
                get the room of the limited upstreams.
        """
        left = [
            candidate
            for name, candidate in self._candidates.items()
            if name not in excluded
        ]
        untried = self._openings.select_open(left, now)
        if ahead:
            untried = self._openings.leave_room(untried, ahead, now)
        if not untried:
            untried = self._openings.select_last_resorts(left, now)
        usable = [each for each in untried if not each.is_ejected(now)]
        best: upstream_state.Candidate | None = None
        least = math.inf
        for candidate in usable or untried:
            expected_slowdown = candidate.expected_slowdown(self._average, now)
            expected_slowdown *= 1.0 + 0.01 * self._rng.random()
            if candidate.record.data_center != self._data_center:
                expected_slowdown *= REMOTE_FACTOR
            if expected_slowdown < least:
                best, least = candidate, expected_slowdown
        if best is None:
            return None
        can_start_now = best.is_fresh(now) and self.has_free_slot(best, now)
        return upstream_state.RankedCandidate(
            best, least, can_start_now and least <= ACCEPTABLE_SLOWDOWN
        )
