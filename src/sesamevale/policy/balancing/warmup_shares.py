"""Requests that this entry may send to upstreams that are cold.

A cold upstream bears few requests a second from all entries together. That is
a rate limit which it does not name itself, so it is shared as those are: a few
entries, chosen by rendezvous hashing from the registered ones, have a share.

Discovery records tell late that an upstream has turned cold. So an upstream
that is believed warm is looked at, by a sample, just before a request. Without
an answer to the look it is doubtful, and gets no more than a cold one.
"""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

from sesamevale.policy.admission import rate_shares
from sesamevale.policy.balancing import upstream_search
from sesamevale.policy.signals import upstream_signals

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale import resources
    from sesamevale import routes
    from sesamevale.policy.membership import registered_peers

__all__ = ["WarmupShares"]

# Time for which a look at a warm upstream suffices for further requests.
LOOK_MAX_AGE_S = 0.1
# Longest time for which a report of coldness is relied on. The upstream is
# looked at again after it.
REPORT_MAX_AGE_S = 10.0
# Time for which an upstream that has not answered a look is doubtful.
DOUBT_S = 1.0
# Delay before another choice if the upstream of the last one is doubtful and
# has no room.
LOOK_DELAY_S = 0.05


class WarmupShares:
    """Decides whether a cold upstream has room for a request of this entry.

    Args:
        entry_id: Identifier of this entry.
        data_center: Data centre of this entry.
        bounds: Bounds of the deployment; without them, the rate of the
            service alone holds.
    """

    def __init__(
        self,
        entry_id: str,
        data_center: str,
        bounds: resources.WarmupBounds | None = None,
    ) -> None:
        self._bounds = bounds
        # The limits that coldness implies, in the form in which upstreams name
        # theirs.
        self._limits = upstream_signals.UpstreamSignals()
        self._shares = rate_shares.RateShares(
            entry_id, data_center, self._limits
        )
        self._rate: float | None = None
        self._cold_since: dict[upstream_signals.Instance, float] = {}
        self._cold_until: dict[upstream_signals.Instance, float] = {}
        self._doubtful: set[upstream_signals.Instance] = set()
        self._first_end = math.inf
        self._looked_at: dict[upstream_signals.Instance, float] = {}
        self._sequences: dict[upstream_signals.Instance, int] = {}
        self._changes = 0

    @property
    def is_active(self) -> bool:
        """Whether the service limits the requests to cold upstreams."""
        return self._rate is not None

    @property
    def any_cold(self) -> bool:
        """Whether any upstream is taken for cold."""
        return bool(self._cold_until)

    @property
    def version(self) -> int:
        """Number that increases when an upstream may open or close."""
        return self._changes + self._shares.version

    def set_rate(self, rate: float | None, now: float) -> None:
        """Sets what a cold upstream of the service accepts.

        Args:
            rate: Requests a second from all entries together; None if there
                is no limit.
            now: Monotonic time in seconds.
        """
        if rate == self._rate:
            return
        self._rate = rate
        self._changes += 1
        if rate is None:
            for instance in list(self._cold_until):
                self._end(instance, now)
        for instance in self._cold_until:
            self._limits.record_answer(instance, self._implied(), now)

    def set_members(
        self,
        peers: Iterable[registered_peers.Peer],
        read_at: float,
        now: float,
    ) -> None:
        """Sets the entries that share the limits.

        Args:
            peers: All registered entries.
            read_at: When they were read, in monotonic seconds.
            now: Monotonic time in seconds.
        """
        self._shares.set_members(peers, read_at, now)

    def record_discovered(
        self, records: Iterable[routes.UpstreamRecord], now: float
    ) -> list[upstream_signals.Instance]:
        """Applies the records of all upstreams that may be used.

        A record tells that an upstream is cold but not that it is warm, since
        it may be older than what the upstream has said itself.

        Returns:
            The upstreams that have turned cold.
        """
        sequences = self._sequences
        self._sequences = {}
        turned: list[upstream_signals.Instance] = []
        if not self.is_active:
            return turned
        for record in records:
            instance = upstream_signals.instance_of(record)
            self._sequences[instance] = record.sequence
            if (
                record.warmup_s > 0.0
                and sequences.get(instance) != record.sequence
            ):
                until = max(
                    now + record.warmup_s,
                    self._cold_until.get(instance, -math.inf),
                )
                if self._begin(instance, until, now):
                    turned.append(instance)
        self._looked_at = {
            instance: at
            for instance, at in self._looked_at.items()
            if instance in self._sequences
        }
        return turned

    def record_answer(
        self,
        instance: upstream_signals.Instance,
        signals: upstream_signals.Signals,
        now: float,
        *,
        is_sample: bool,
    ) -> list[upstream_signals.SignalChange]:
        """Applies what an answer of an upstream says of its coldness.

        Args:
            instance: The upstream that answered.
            signals: All signals of the answer.
            now: Monotonic time in seconds.
            is_sample: Whether a sample was answered. Other answers need not
                mention coldness.
        """
        if not self.is_active:
            return []
        left_s = max(
            (
                each.seconds
                for each in signals
                if isinstance(each, upstream_signals.Warming)
            ),
            default=0.0,
        )
        if is_sample:
            self._looked_at[instance] = now
        was_doubtful = instance in self._doubtful
        if left_s > 0.0:
            self._doubtful.discard(instance)
            if self._begin(instance, now + left_s, now) or was_doubtful:
                return [
                    upstream_signals.SignalChange("warmup", "began", left_s)
                ]
        elif is_sample and instance in self._cold_until:
            self._end(instance, now)
            if not was_doubtful:
                return [upstream_signals.SignalChange("warmup", "ended", 0.0)]
        return []

    def record_unanswered(
        self, instance: upstream_signals.Instance, now: float
    ) -> None:
        """Records that an upstream has not answered a look in time."""
        if self._begin(instance, now + DOUBT_S, now):
            self._doubtful.add(instance)

    def is_cold(self, instance: upstream_signals.Instance, now: float) -> bool:
        """Whether an upstream is known to be cold, or doubtful."""
        return now < self.cold_until(instance)

    def cold_until(self, instance: upstream_signals.Instance) -> float:
        """Returns when an upstream is warm as far as it is known.

        Returns:
            Monotonic time in seconds; minus infinity if it is not cold.
        """
        return self._cold_until.get(instance, -math.inf)

    def has_room(self, record: routes.UpstreamRecord, now: float) -> bool:
        """Whether this entry may send a request to an upstream now."""
        return self.room_at(record, now) <= now

    def room_at(self, record: routes.UpstreamRecord, now: float) -> float:
        """Returns when this entry may send a request to an upstream.

        Returns:
            Monotonic time in seconds; without a share, the end of its
            coldness.
        """
        cold_until = self.cold_until(upstream_signals.instance_of(record))
        if cold_until <= now:
            return now
        if not self._allowed_rate():
            return cold_until
        return min(cold_until, self._shares.room_at(record, now))

    def rate_of(self, record: routes.UpstreamRecord, now: float) -> float:
        """Returns the share of this entry in requests a second."""
        if not self.is_cold(upstream_signals.instance_of(record), now):
            return math.inf
        return self._shares.rate_of(record, now) if self._allowed_rate() else 0

    def record_request(self, record: routes.UpstreamRecord, now: float) -> None:
        """Counts a request that is sent to an upstream."""
        self._shares.record_request(record, now)

    def forget_ended(self, now: float) -> None:
        """Opens the upstreams whose coldness has ended."""
        if now < self._first_end:
            return
        for instance, until in list(self._cold_until.items()):
            if until <= now:
                self._end(instance, now)
        self._first_end = min(self._cold_until.values(), default=math.inf)

    def must_look(self, record: routes.UpstreamRecord, now: float) -> bool:
        """Whether to sample an upstream before a request is sent to it."""
        instance = upstream_signals.instance_of(record)
        if not self.is_active or self.is_cold(instance, now):
            return False
        looked_at = self._looked_at.get(instance, -math.inf)
        return now - looked_at > LOOK_MAX_AGE_S

    def look_first(
        self,
        step: upstream_search.Step,
        search: upstream_search.Search,
        now: float,
    ) -> upstream_search.Step:
        """Replaces a step that sends to an upstream which is to be looked at.

        Args:
            step: Step that was chosen.
            search: The search that it belongs to.
            now: Monotonic time in seconds.
        """
        return _look_first(step, self, search, now)

    def list_in_force(self, now: float) -> list[upstream_signals.SignalStatus]:
        """Returns all upstreams that are cold or doubtful.

        The value is the rest of the time for which they are.
        """
        return [
            upstream_signals.SignalStatus(
                instance.upstream_id,
                "doubtful" if instance in self._doubtful else "warmup",
                until - now,
                now - self._cold_since[instance],
            )
            for instance, until in self._cold_until.items()
            if now < until
        ]

    def _begin(
        self, instance: upstream_signals.Instance, until: float, now: float
    ) -> bool:
        """Takes an upstream for cold; True if it was warm before."""
        until = min(until, now + REPORT_MAX_AGE_S)
        is_new = not self.is_cold(instance, now)
        self._cold_until[instance] = until
        self._first_end = min(self._first_end, until)
        if is_new:
            self._cold_since[instance] = now
            self._changes += 1
            self._limits.record_answer(instance, self._implied(), now)
        return is_new

    def _end(self, instance: upstream_signals.Instance, now: float) -> None:
        del self._cold_until[instance], self._cold_since[instance]
        self._doubtful.discard(instance)
        self._changes += 1
        self._limits.record_answer(instance, (), now)

    def _implied(self) -> upstream_signals.Signals:
        """Returns the limit of an upstream while it is cold."""
        rate = self._allowed_rate()
        return (upstream_signals.RateLimit(rate),) if rate else ()

    def _allowed_rate(self) -> float:
        """Returns the requests a second that a cold upstream gets.

        What the bounds leave beyond the rate of the service is kept for
        entries that disagree on who has a share.
        """
        if self._rate is None:
            return math.inf
        if self._bounds is None:
            return self._rate
        bound = self._rate * self._bounds.overage + self._bounds.tolerance
        return min(self._rate, bound) if bound >= 1.0 else 0.0


@functools.singledispatch
def _look_first(
    step: upstream_search.Step,
    shares: WarmupShares,
    search: upstream_search.Search,
    now: float,
) -> upstream_search.Step:
    return step


@_look_first.register
def _(
    step: upstream_search.Send,
    shares: WarmupShares,
    search: upstream_search.Search,
    now: float,
) -> upstream_search.Step:
    candidate = step.best.candidate
    if not shares.must_look(candidate.record, now):
        return step
    name = candidate.record.upstream_id
    if name not in search.looked:
        search.looked |= {name}
        return upstream_search.Sample((candidate,))
    search.looked -= {name}
    shares.record_unanswered(candidate.instance, now)
    if shares.has_room(candidate.record, now):
        return step
    return upstream_search.Wait(LOOK_DELAY_S)
