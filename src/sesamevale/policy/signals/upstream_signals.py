"""Signals that upstreams send about themselves in their answers."""

from __future__ import annotations

import dataclasses
import functools
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import KeysView

    from sesamevale import routes

__all__ = [
    "Instance",
    "Leaving",
    "Pause",
    "RateLimit",
    "Signal",
    "SignalChange",
    "SignalStatus",
    "Signals",
    "UpstreamSignals",
    "Warming",
    "instance_of",
]

# Time after the last answer or discovery record of an upstream for which its
# signals are kept. Records may lapse during an outage of the store.
RETENTION_S = 600.0
# Time after an upstream has announced that it leaves in which it is still used
# if no other one can be. Upstreams serve for longer than this.
LEAVING_GRACE_S = 1.0
# Longest time to wait for the answer to the first request after a pause, or
# after a limit of 0, before others are sent.
TRIAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One start of an upstream at one address.

    Attributes:
        upstream_id: Identifier of the upstream.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        host: IP address.
        port: TCP port.
    """

    upstream_id: str
    started_ms: int
    host: str
    port: int


def instance_of(record: routes.UpstreamRecord) -> Instance:
    """Returns the instance that a discovery record describes."""
    return Instance(
        record.upstream_id, record.started_ms, record.host, record.port
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The upstream limits the requests of all entries together.

    It holds until an answer no longer names it.

    Attributes:
        per_second: Requests a second; with 0, it takes none for now.
    """

    per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The upstream is about to stop; it holds for good for this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """The upstream has rejected a request and wants no others for a time.

    Attributes:
        seconds: Length of the pause from now on; positive.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Warming:
    """The upstream is cold and takes few requests.

    Attributes:
        seconds: Rest of the time for which it is cold; positive.
    """

    seconds: float


Signal = RateLimit | Leaving | Pause | Warming
# All signals of one answer.
Signals = tuple[Signal, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SignalChange:
    """A signal has begun, changed or ended.

    Attributes:
        signal: Name of the signal.
        change: began, changed or ended.
        value: The value it has now, or had until now.
    """

    signal: str
    change: str
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class SignalStatus:
    """A signal that is in force.

    Attributes:
        upstream_id: Identifier of the upstream.
        signal: Name of the signal.
        value: The limit in requests a second, or the rest of the pause in
            seconds; 0 for an upstream that leaves.
        age_s: Time in seconds since it was first heard.
    """

    upstream_id: str
    signal: str
    value: float
    age_s: float


@dataclasses.dataclass(slots=True)
class _InstanceState:
    last_seen: float
    limit: RateLimit | None = None
    limit_since: float = math.inf
    leaving_since: float = math.inf
    paused_since: float = math.inf
    paused_until: float = -math.inf
    awaits_trial: bool = False
    trial_until: float = -math.inf

    def is_in_force(self, now: float) -> bool:
        return (
            self.limit is not None
            or self.leaving_since < math.inf
            or now < self.paused_until
            or self.awaits_trial
        )


class UpstreamSignals:
    """Signals of one service's upstreams as this entry has heard them.

    They outlive the discovery record of the upstream. Another start of the
    upstream, or another upstream at its address, has none.
    """

    def __init__(self) -> None:
        self._states: dict[Instance, _InstanceState] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number that increases when an upstream may open earlier."""
        return self._version

    @property
    def instances(self) -> KeysView[Instance]:
        """Instances that have sent a signal recently."""
        return self._states.keys()

    def limit_of(self, instance: Instance) -> RateLimit | None:
        """Returns the rate limit that an upstream names now, if any."""
        state = self._states.get(instance)
        return None if state is None else state.limit

    def record_answer(
        self, instance: Instance, signals: Signals, now: float
    ) -> list[SignalChange]:
        """Applies the signals of one answer.

        Args:
            instance: The upstream that answered.
            signals: All signals of the answer.
            now: Monotonic time in seconds.
        """
        state = self._states.get(instance)
        if state is None:
            if not signals:
                return []
            state = self._states[instance] = _InstanceState(now)
        state.last_seen = now
        had_trial = state.trial_until > now
        changes: list[SignalChange] = []
        if not any(isinstance(each, RateLimit) for each in signals):
            changes += _end_limit(state)
        for signal in signals:
            changes += _apply(signal, state, now)
        if not any(isinstance(each, Pause) for each in signals):
            state.trial_until = -math.inf
        self._version += bool(changes) or had_trial
        if not state.is_in_force(now):
            del self._states[instance]
        return changes

    def record_request(self, instance: Instance, now: float) -> None:
        """Records that a request is sent to an upstream."""
        state = self._states.get(instance)
        if state is not None and state.awaits_trial:
            state.awaits_trial = False
            state.trial_until = now + TRIAL_S

    def is_leaving(self, instance: Instance) -> bool:
        """Whether an upstream has announced that it leaves."""
        state = self._states.get(instance)
        return state is not None and state.leaving_since < math.inf

    def is_last_resort(self, instance: Instance, now: float) -> bool:
        """Whether an upstream that leaves may be used if no other can be."""
        state = self._states.get(instance)
        return state is not None and (
            now < state.leaving_since + LEAVING_GRACE_S
            and max(state.paused_until, state.trial_until) <= now
        )

    def opens_at(self, instance: Instance, now: float) -> float:
        """Returns when an upstream takes requests as far as it says.

        Returns:
            Monotonic time in seconds; infinity for one that leaves.
        """
        state = self._states.get(instance)
        if state is None:
            return now
        if state.leaving_since < math.inf:
            return math.inf
        return max(now, state.paused_until, state.trial_until)

    def list_in_force(self, now: float) -> list[SignalStatus]:
        """Returns all signals that are in force."""
        found = []
        for instance, state in self._states.items():
            name = instance.upstream_id
            if state.limit is not None:
                rate, age_s = state.limit.per_second, now - state.limit_since
                found.append(SignalStatus(name, "limit", rate, age_s))
            if state.leaving_since < math.inf:
                age_s = now - state.leaving_since
                found.append(SignalStatus(name, "leaving", 0.0, age_s))
            if now < state.paused_until:
                rest_s, age_s = (
                    state.paused_until - now,
                    now - state.paused_since,
                )
                found.append(SignalStatus(name, "pause", rest_s, age_s))
        return found

    def retain(self, instances: Iterable[Instance], now: float) -> None:
        """Forgets instances that have been gone for a long time.

        Args:
            instances: Instances that are discovered now.
            now: Monotonic time in seconds.
        """
        for instance in instances:
            state = self._states.get(instance)
            if state is not None:
                state.last_seen = now
        for instance, state in list(self._states.items()):
            if now - state.last_seen > RETENTION_S:
                del self._states[instance]


def _end_limit(state: _InstanceState) -> list[SignalChange]:
    if state.limit is None:
        return []
    ended = SignalChange("limit", "ended", state.limit.per_second)
    state.awaits_trial |= state.limit.per_second == 0.0
    state.limit = None
    return [ended]


@functools.singledispatch
def _apply(
    signal: Signal, state: _InstanceState, now: float
) -> list[SignalChange]:
    raise TypeError(f"no handler for {type(signal).__name__}")


@_apply.register
def _(
    signal: RateLimit, state: _InstanceState, now: float
) -> list[SignalChange]:
    previous, state.limit = state.limit, signal
    if previous is None:
        state.limit_since = now
    if previous == signal:
        return []
    if previous is not None:
        state.awaits_trial |= previous.per_second == 0.0
    change = "began" if previous is None else "changed"
    return [SignalChange("limit", change, signal.per_second)]


@_apply.register
def _(signal: Leaving, state: _InstanceState, now: float) -> list[SignalChange]:
    if state.leaving_since < math.inf:
        return []
    state.leaving_since = now
    return [SignalChange("leaving", "began", 0.0)]


@_apply.register
def _(signal: Pause, state: _InstanceState, now: float) -> list[SignalChange]:
    was_paused = now < state.paused_until
    if not was_paused:
        state.paused_since = now
    state.paused_until = max(state.paused_until, now + signal.seconds)
    state.awaits_trial = True
    change = "changed" if was_paused else "began"
    return [SignalChange("pause", change, signal.seconds)]


@_apply.register
def _(signal: Warming, state: _InstanceState, now: float) -> list[SignalChange]:
    # Kept where requests are shared, since discovery records tell of it too.
    return []
