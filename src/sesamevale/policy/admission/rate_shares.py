"""Share of one entry in the rate limits that upstreams name.

A limit holds for the requests of all entries together. Each limited upstream
is used by a few entries only, which rendezvous hashing chooses from the
registered ones, and each of these gets an equal share of the limit. No
messages are needed, because all entries read the same registrations.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from sesamevale.policy.balancing import rendezvous
from sesamevale.policy.signals import upstream_signals

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale import routes
    from sesamevale.policy.membership import registered_peers

__all__ = ["RateShares"]

# Requests beyond the first that an entry may save up, as a time at its share.
BURST_S = 0.1
# Time after a change of the registered entries in which an entry that gains a
# share does not use it, since others may not have read the change yet.
HANDOVER_S = 2.0
# Age of the registrations from which the entry may no longer be registered.
# Its lease is longer.
STALE_S = 4.0
# Factor on the share of an entry that may no longer be registered. The others
# may then use the whole limit.
STALE_FACTOR = 0.4
# Interval at which an entry without room samples a limited upstream to learn
# whether the limit still holds. The minimum is per entry, the other per entry
# and multiplied by their number.
RECHECK_INTERVAL_S = 0.25
RECHECK_INTERVAL_MIN_S = 1.0

# Time over which the use of a share is reported.
USE_WINDOW_S = 8.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float
    opens_at: float
    recheck_at: float
    rate: float = 0.0
    # What the rate was computed from.
    basis: tuple[float, int, bool] = (0.0, 0, False)
    sent: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class RateShares:
    """Decides whether an upstream has room for a request of this entry.

    Args:
        entry_id: Identifier of this entry.
        data_center: Data centre of this entry.
        signals: Signals of the service's upstreams.
    """

    def __init__(
        self,
        entry_id: str,
        data_center: str,
        signals: upstream_signals.UpstreamSignals,
    ) -> None:
        self._entry_id = entry_id
        self._data_center = data_center
        self._signals = signals
        self._members: dict[str, str] = {}
        self._read_at = -math.inf
        self._changed_at = -math.inf
        self._version = 0
        self._buckets: dict[upstream_signals.Instance, _Bucket] = {}

    @property
    def signals(self) -> upstream_signals.UpstreamSignals:
        """Signals of the service's upstreams."""
        return self._signals

    @property
    def version(self) -> int:
        """Number that increases with each change of the entries."""
        return self._version

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
        members = {each.entry_id: each.data_center for each in peers}
        self._read_at = read_at
        if members != self._members:
            self._members = members
            self._changed_at = now
            self._version += 1

    def limit_of(
        self, record: routes.UpstreamRecord
    ) -> upstream_signals.RateLimit | None:
        """Returns the limit that an upstream names now, if any."""
        return self._signals.limit_of(upstream_signals.instance_of(record))

    def has_room(self, record: routes.UpstreamRecord, now: float) -> bool:
        """Whether this entry may send a request to an upstream now."""
        return self.room_at(record, now) <= now

    def room_at(self, record: routes.UpstreamRecord, now: float) -> float:
        """Returns when this entry may send a request to an upstream.

        Returns:
            Monotonic time in seconds; infinity if the entry has no share.
        """
        limit = self.limit_of(record)
        if limit is None:
            return now
        bucket = self._refill(record, limit, now)
        if bucket.rate <= 0.0:
            return math.inf
        if bucket.tokens >= 1.0 and bucket.opens_at <= now:
            return now
        start = max(now, bucket.opens_at)
        return start + max(0.0, 1.0 - bucket.tokens) / bucket.rate

    def rate_of(self, record: routes.UpstreamRecord, now: float) -> float:
        """Returns the share of this entry in requests a second."""
        limit = self.limit_of(record)
        if limit is None:
            return math.inf
        return self._refill(record, limit, now).rate

    def used_share(
        self, record: routes.UpstreamRecord, now: float
    ) -> float | None:
        """Returns how much of its share this entry has used lately.

        Returns:
            The part of the requests that were allowed in the last seconds, or
            None without a share.
        """
        limit = self.limit_of(record)
        if limit is None:
            return None
        bucket = self._refill(record, limit, now)
        if bucket.rate <= 0.0:
            return None
        sent = [at for at in bucket.sent if now - at <= USE_WINDOW_S]
        return len(sent) / (bucket.rate * USE_WINDOW_S)

    def record_request(self, record: routes.UpstreamRecord, now: float) -> None:
        """Counts a request that is sent to an upstream."""
        limit = self.limit_of(record)
        if limit is not None:
            bucket = self._refill(record, limit, now)
            bucket.tokens -= 1.0
            bucket.sent.append(now)
            while now - bucket.sent[0] > USE_WINDOW_S:
                bucket.sent.popleft()

    def take_recheck(self, record: routes.UpstreamRecord, now: float) -> bool:
        """Whether to sample an upstream without room; True once an interval."""
        limit = self.limit_of(record)
        if limit is None:
            return True
        bucket = self._refill(record, limit, now)
        if now < bucket.recheck_at:
            return False
        bucket.recheck_at = now + self._recheck_interval_s
        return True

    @property
    def _recheck_interval_s(self) -> float:
        interval_s = RECHECK_INTERVAL_S * len(self._members)
        return max(interval_s, RECHECK_INTERVAL_MIN_S)

    def _first_recheck_after_s(self) -> float:
        """Returns when to recheck first, in seconds from now.

        Entries learn of a limit at about the same time and recheck one after
        the other.
        """
        if self._entry_id not in self._members:
            return self._recheck_interval_s
        turn = sorted(self._members).index(self._entry_id)
        share = turn / len(self._members)
        return RECHECK_INTERVAL_MIN_S + share * self._recheck_interval_s

    def _refill(
        self,
        record: routes.UpstreamRecord,
        limit: upstream_signals.RateLimit,
        now: float,
    ) -> _Bucket:
        """Returns the bucket of a limited upstream at this moment."""
        instance = upstream_signals.instance_of(record)
        bucket = self._buckets.get(instance)
        if bucket is None:
            self._forget_unlimited()
            bucket = self._buckets[instance] = _Bucket(
                tokens=0.0,
                refilled_at=now,
                opens_at=self._changed_at + HANDOVER_S,
                recheck_at=now + self._first_recheck_after_s(),
            )
        is_stale = now - self._read_at > STALE_S
        basis = (limit.per_second, self._version, is_stale)
        if bucket.basis != basis:
            rate = self._share_of(record, limit, is_stale)
            if rate > 0.0 and bucket.rate <= 0.0:
                bucket.opens_at = self._changed_at + HANDOVER_S
                bucket.tokens = 1.0
            bucket.rate, bucket.basis = rate, basis
        rate = bucket.rate
        elapsed_s = max(0.0, now - max(bucket.refilled_at, bucket.opens_at))
        bucket.tokens = min(
            1.0 + rate * BURST_S, bucket.tokens + elapsed_s * rate
        )
        bucket.refilled_at = now
        return bucket

    def _forget_unlimited(self) -> None:
        """Drops the buckets of upstreams that no longer name a limit."""
        for instance in list(self._buckets):
            if self._signals.limit_of(instance) is None:
                del self._buckets[instance]

    def _share_of(
        self,
        record: routes.UpstreamRecord,
        limit: upstream_signals.RateLimit,
        is_stale: bool,
    ) -> float:
        """Returns the share of this entry in requests a second; may be 0."""
        members, factor = self._members, 1.0
        if is_stale:
            members = members | {self._entry_id: self._data_center}
            factor = STALE_FACTOR
        holders = _choose_holders(record, limit, members)
        if self._entry_id not in holders:
            return 0.0
        return factor * limit.per_second / len(holders)


def _choose_holders(
    record: routes.UpstreamRecord,
    limit: upstream_signals.RateLimit,
    members: dict[str, str],
) -> list[str]:
    """Returns the entries that share a limit.

    There are so few that each gets about one request a second or more.
    Entries of the upstream's data centre come first.
    """
    count = min(len(members), math.floor(limit.per_second) + 1)

    def rank(entry_id: str) -> tuple[bool, float]:
        is_local = members[entry_id] == record.data_center
        return is_local, rendezvous.score(record.upstream_id, entry_id)

    return sorted(members, key=rank, reverse=True)[:count]
