"""Health and slots of one service's upstreams, as seen by one entry."""

from __future__ import annotations

import dataclasses
import math
import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale import documents

__all__ = ["UpstreamPool", "UpstreamState"]

LATENCY_SMOOTHING_WEIGHT = 0.15
# Logarithm of the ratio to the median answer time above which an upstream
# counts as slow.
SLOW_RATIO_LOG = math.log(4.0)
MIN_LATENCY_SAMPLES = 6
FAILURES_TO_EJECT = 3
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 30.0
EJECTED_SHARE_MAX = 1.0 / 3.0
RAMP_S_PER_SLOT = 0.5
SHED_PAUSE_S = 0.02
FAILURE_PAUSE_S = 0.1
ANSWERS_PER_RESTORED_SLOT = 8
LEAVING_S = 30.0
MIN_LATENCY_S = 1e-6
EJECTION_DOUBLINGS_MAX = 5


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """Health and slots of one upstream, as seen by one entry.

    Attributes:
        upstream: Its definition in the document.
        in_flight: Calls that this entry has sent and that have not ended.
        latency_log: Smoothed natural logarithm of the answer time in seconds.
        samples: Answers that went into ``latency_log``.
        failures: Failures since the last good answer or healthy probe.
        ejections: Ejections since the upstream last recovered.
        ejected_until: Monotonic time until which it gets no call after an
            ejection.
        on_trial: Whether it gets one call at a time after an ejection.
        ramp_started_at: Monotonic time at which it got its first slot; more
            are added from then on.
        paused_until: Monotonic time until which it gets no call after a shed
            or a failed connection.
        slot_limit: Most slots that are used; reduced by sheds.
        answers_since_limit_change: Good answers since the limit last changed.
        leaving_until: Monotonic time until which it counts as leaving.
        listed_leaving: Whether the list of VMs marks it as leaving.
        last_answer: Monotonic time of the last good answer, shed or probe.
        last_bound: Monotonic time of the last call sent.
    """

    upstream: documents.Upstream
    in_flight: int = 0
    latency_log: float = 0.0
    samples: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf
    on_trial: bool = False
    ramp_started_at: float = -math.inf
    paused_until: float = -math.inf
    slot_limit: int = 0
    answers_since_limit_change: int = 0
    leaving_until: float = -math.inf
    listed_leaving: bool = False
    last_answer: float = -math.inf
    last_bound: float = -math.inf

    def __post_init__(self) -> None:
        self.slot_limit = self.upstream.slots

    def allowed_slots(self, now: float) -> int:
        """Slots that may be used at a monotonic time."""
        if self.listed_leaving or now < self.leaving_until:
            return 0
        if now < self.ejected_until or now < self.paused_until:
            return 0
        if self.on_trial:
            return 1
        ramped = 1 + (now - self.ramp_started_at) / RAMP_S_PER_SLOT
        return int(min(self.slot_limit, self.upstream.slots, ramped))

    def free_slots(self, now: float) -> int:
        """Slots that are allowed at a monotonic time and not in use."""
        return max(0, self.allowed_slots(now) - self.in_flight)


class UpstreamPool:
    """Upstreams of a service with their health and slots.

    Args:
        upstreams: Upstreams of the service.
        now: Monotonic time in seconds.
        warm: Whether the upstreams start with all their slots.
    """

    def __init__(
        self,
        upstreams: Iterable[documents.Upstream],
        now: float,
        *,
        warm: bool = True,
    ) -> None:
        self._states: dict[str, UpstreamState] = {}
        self.update(upstreams, now, warm=warm)

    @property
    def states(self) -> dict[str, UpstreamState]:
        """States by upstream name."""
        return self._states

    def update(
        self,
        upstreams: Iterable[documents.Upstream],
        now: float,
        *,
        warm: bool = False,
    ) -> None:
        """Replaces the upstreams and keeps the state of those that remain.

        Args:
            upstreams: Upstreams of the service.
            now: Monotonic time in seconds.
            warm: Whether new upstreams start with all their slots instead of
                one.
        """
        old = self._states
        self._states = {}
        for upstream in upstreams:
            state = old.get(upstream.name)
            if state is None or state.upstream.host != upstream.host:
                state = UpstreamState(upstream)
                state.ramp_started_at = -math.inf if warm else now
            elif state.upstream != upstream:
                state.upstream = upstream
                state.slot_limit = upstream.slots
            self._states[upstream.name] = state

    def choose(
        self, names: Iterable[str], excluded: Iterable[str], now: float
    ) -> UpstreamState | None:
        """Returns the upstream with the smallest share of slots in use.

        Args:
            names: Upstreams to choose from.
            excluded: Upstreams not to choose.
            now: Monotonic time in seconds.

        Returns:
            Among equals the one that was used least recently; None if no slot
            is free.
        """
        best = None
        best_key = (math.inf, math.inf)
        for name in names:
            state = self._states.get(name)
            if state is None or name in excluded or state.free_slots(now) <= 0:
                continue
            key = (state.in_flight / state.upstream.slots, state.last_bound)
            if key < best_key:
                best = state
                best_key = key
        return best

    def free_slots(self, names: Iterable[str], now: float) -> int:
        """Counts the free slots of the named upstreams."""
        return sum(
            self._states[name].free_slots(now)
            for name in names
            if name in self._states
        )

    def allowed_slots(self, names: Iterable[str], now: float) -> int:
        """Counts the allowed slots of the named upstreams."""
        return sum(
            self._states[name].allowed_slots(now)
            for name in names
            if name in self._states
        )

    def acquire_slot(self, name: str, now: float) -> None:
        """Counts a call as in flight."""
        state = self._states[name]
        state.in_flight += 1
        state.last_bound = now

    def release_slot(self, name: str) -> None:
        """Counts a call as no longer in flight."""
        state = self._states.get(name)
        if state is not None and state.in_flight > 0:
            state.in_flight -= 1

    def record_success(self, name: str, seconds: float, now: float) -> None:
        """Records a good answer and ejects the upstream if it is slow.

        Args:
            name: Upstream that answered.
            seconds: Time from sending to the end of the answer.
            now: Monotonic time in seconds.
        """
        state = self._states.get(name)
        if state is None:
            return
        state.failures = 0
        state.last_answer = now
        sample = math.log(max(seconds, MIN_LATENCY_S))
        self._record_latency(state, sample)
        self._restore_slot_after_shed(state)
        median_log = self._median_latency_log(state)
        if median_log is None:
            state.on_trial = False
            return
        slow_threshold_log = median_log + SLOW_RATIO_LOG
        if state.latency_log < slow_threshold_log:
            self._clear_ejections(state)
        elif sample > slow_threshold_log:
            self._eject(state, now)

    def record_failure(
        self, name: str, now: float, *, severe: bool = False
    ) -> None:
        """Records a failure and ejects the upstream if there were enough.

        Args:
            name: Upstream that failed.
            now: Monotonic time in seconds.
            severe: Whether one such failure is enough for an ejection.
        """
        state = self._states.get(name)
        if state is None:
            return
        state.failures += 1
        if severe:
            state.paused_until = now + FAILURE_PAUSE_S
        if severe or state.on_trial or state.failures >= FAILURES_TO_EJECT:
            self._eject(state, now)

    def record_shed(self, name: str, now: float) -> None:
        """Records that an upstream refused a call and reduces its limit."""
        state = self._states.get(name)
        if state is None:
            return
        state.last_answer = now
        state.slot_limit = max(1, min(state.slot_limit, state.in_flight))
        state.answers_since_limit_change = 0
        state.paused_until = now + SHED_PAUSE_S

    def record_leaving(self, name: str, now: float) -> None:
        """Records that an upstream reported that it is leaving.

        It gets no new calls for ``LEAVING_S``.
        """
        state = self._states.get(name)
        if state is not None:
            state.leaving_until = now + LEAVING_S

    def set_listed_leaving(self, names: frozenset[str]) -> None:
        """Replaces the upstreams that the list of VMs marks as leaving."""
        for name, state in self._states.items():
            state.listed_leaving = name in names

    def without_answer_since(
        self, names: Iterable[str], since: float
    ) -> list[str]:
        """Lists the upstreams without good answer, shed or probe for some time.

        Args:
            names: Upstreams to choose from.
            since: Monotonic time in seconds.
        """
        return [
            name
            for name in names
            if name in self._states and self._states[name].last_answer < since
        ]

    def record_probe(self, name: str, now: float, *, healthy: bool) -> None:
        """Records the result of a probe.

        A healthy one ends an ejection early, unless the upstream has given
        enough answers for its answer time to be judged.
        """
        state = self._states.get(name)
        if state is None:
            return
        state.last_answer = now
        if not healthy:
            self.record_failure(name, now)
            return
        state.failures = 0
        if now < state.ejected_until and state.samples < MIN_LATENCY_SAMPLES:
            state.ejected_until = now
            state.on_trial = True

    def next_slot_change(self, now: float) -> float | None:
        """Returns when a slot may become allowed without any event.

        Returns:
            Monotonic time in seconds; None if no such change is pending.
        """
        change_times = []
        for state in self._states.values():
            change_times.append(state.ejected_until)
            change_times.append(state.paused_until)
            change_times.append(state.leaving_until)
            if state.allowed_slots(now) < min(
                state.slot_limit, state.upstream.slots
            ):
                change_times.append(now + RAMP_S_PER_SLOT)
        later = [at for at in change_times if at > now]
        return min(later, default=None)

    def _record_latency(self, state: UpstreamState, sample: float) -> None:
        state.samples += 1
        weight = max(LATENCY_SMOOTHING_WEIGHT, 1.0 / state.samples)
        state.latency_log += weight * (sample - state.latency_log)

    def _restore_slot_after_shed(self, state: UpstreamState) -> None:
        if state.slot_limit >= state.upstream.slots:
            return
        state.answers_since_limit_change += 1
        if state.answers_since_limit_change >= ANSWERS_PER_RESTORED_SLOT:
            state.answers_since_limit_change = 0
            state.slot_limit += 1

    def _median_latency_log(self, state: UpstreamState) -> float | None:
        """Returns the median ``latency_log`` of the others, if known."""
        if state.samples < MIN_LATENCY_SAMPLES:
            return None
        others = [
            other.latency_log
            for other in self._states.values()
            if other is not state and other.samples >= MIN_LATENCY_SAMPLES
        ]
        return statistics.median(others) if others else None

    def _clear_ejections(self, state: UpstreamState) -> None:
        state.on_trial = False
        state.ejections = 0

    def _eject(self, state: UpstreamState, now: float) -> None:
        """Ejects an upstream for a time that doubles with each ejection.

        Nothing happens if too many of the others are ejected.
        """
        ejected = sum(
            1
            for other in self._states.values()
            if other is not state and (now < other.ejected_until)
        )
        if ejected + 1 > EJECTED_SHARE_MAX * len(self._states):
            return
        doublings = min(state.ejections, EJECTION_DOUBLINGS_MAX)
        duration = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**doublings)
        state.ejections += 1
        state.ejected_until = now + duration
        state.on_trial = True
