"""Signals that upstreams send about themselves in their answers."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import KeysView

    from sesamevale import routes

__all__ = [
    "Instance",
    "RateLimit",
    "Signal",
    "SignalChange",
    "Signals",
    "UpstreamSignals",
    "instance_of",
]

# Time after the last answer or discovery record of an upstream for which its
# signals are kept. Records may lapse during an outage of the store.
RETENTION_S = 600.0


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
        per_second: Requests a second; positive.
    """

    per_second: float


Signal = RateLimit
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


@dataclasses.dataclass(slots=True)
class _InstanceState:
    last_seen: float
    limit: RateLimit | None = None


class UpstreamSignals:
    """Signals of one service's upstreams as this entry has heard them.

    They outlive the discovery record of the upstream. Another start of the
    upstream, or another upstream at its address, has none.
    """

    def __init__(self) -> None:
        self._states: dict[Instance, _InstanceState] = {}
        self._limit_count = 0

    @property
    def instances(self) -> KeysView[Instance]:
        """Instances that have sent a signal recently."""
        return self._states.keys()

    @property
    def has_limit(self) -> bool:
        """Whether any upstream names a rate limit now."""
        return self._limit_count > 0

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
        was_limited = state.limit is not None
        changes: list[SignalChange] = []
        if not any(isinstance(each, RateLimit) for each in signals):
            changes += _end_limit(state)
        for signal in signals:
            changes += _apply(signal, state)
        self._limit_count += (state.limit is not None) - was_limited
        return changes

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
                self._limit_count -= state.limit is not None
                del self._states[instance]


def _end_limit(state: _InstanceState) -> list[SignalChange]:
    if state.limit is None:
        return []
    ended = SignalChange("limit", "ended", state.limit.per_second)
    state.limit = None
    return [ended]


@functools.singledispatch
def _apply(signal: Signal, state: _InstanceState) -> list[SignalChange]:
    raise TypeError(f"no handler for {type(signal).__name__}")


@_apply.register
def _(signal: RateLimit, state: _InstanceState) -> list[SignalChange]:
    previous, state.limit = state.limit, signal
    if previous == signal:
        return []
    change = "began" if previous is None else "changed"
    return [SignalChange("limit", change, signal.per_second)]
