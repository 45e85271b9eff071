"""When this entry may send requests to an upstream, by the upstream's signals.

Each choice looks at all upstreams of a service, so results are kept until a
signal or a share changes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale.policy.admission import rate_shares
    from sesamevale.policy.balancing import upstream_state
    from sesamevale.policy.balancing import warmup_shares

__all__ = ["Openings"]

# Longest time for which a result is kept. Shares also change with the age of
# the registrations.
RESULT_LIFETIME_S = 0.25
# Shortest interval between two searches for an upstream to recheck.
RECHECK_SEARCH_INTERVAL_S = 0.05


class Openings:
    """Applies the signals of a service's upstreams to this entry.

    Args:
        shares: Shares of this entry in the limits that upstreams name.
        warmups: Shares of this entry in what cold upstreams accept.
    """

    def __init__(
        self,
        shares: rate_shares.RateShares,
        warmups: warmup_shares.WarmupShares,
    ) -> None:
        self._shares = shares
        self._warmups = warmups
        self._signals = shares.signals
        self._epoch = 0
        self._versions = (0, 0, 0)
        self._refreshed_at = -math.inf
        self._recheck_searched_at = -math.inf

    @property
    def any_signal(self) -> bool:
        """Whether any upstream is cold or has a signal in force."""
        return bool(self._signals.instances) or self._warmups.any_cold

    def is_limited(self, candidate: upstream_state.Candidate) -> bool:
        """Whether an upstream names a rate limit."""
        return self._signals.limit_of(candidate.instance) is not None

    def is_leaving(self, candidate: upstream_state.Candidate) -> bool:
        """Whether an upstream has announced that it leaves."""
        return self._signals.is_leaving(candidate.instance)

    def select_open(
        self, candidates: list[upstream_state.Candidate], now: float
    ) -> list[upstream_state.Candidate]:
        """Returns the upstreams that this entry may send a request to now."""
        self._warmups.forget_ended(now)
        if not self.any_signal:
            return candidates
        epoch = self._refresh_epoch(now)
        found = []
        for each in candidates:
            if (
                each.opening_epoch != epoch
                or -math.inf < each.closed_until <= now
            ):
                self._update(each, now)
            if each.closed_until <= now:
                found.append(each)
        return found

    def opens_at(
        self, candidate: upstream_state.Candidate, now: float
    ) -> float:
        """Returns when this entry may send a request to an upstream.

        Returns:
            Monotonic time in seconds; infinity if it may not, as far as it is
            known now.
        """
        epoch = self._refresh_epoch(now)
        if candidate.opening_epoch != epoch or candidate.closed_until <= now:
            self._update(candidate, now)
        return max(now, candidate.closed_until)

    def select_last_resorts(
        self, candidates: Iterable[upstream_state.Candidate], now: float
    ) -> list[upstream_state.Candidate]:
        """Returns the upstreams that leave but are used if no other can be."""
        return [
            each
            for each in candidates
            if self._signals.is_last_resort(each.instance, now)
            and self._shares.has_room(each.record, now)
            and self._warmups.has_room(each.record, now)
        ]

    def leave_room(
        self,
        candidates: list[upstream_state.Candidate],
        ahead: int,
        now: float,
    ) -> list[upstream_state.Candidate]:
        """Removes limited upstreams if more urgent requests need them all.

        Args:
            candidates: Upstreams that a request may be sent to.
            ahead: Number of requests that get room before it.
            now: Monotonic time in seconds.
        """
        unlimited = [
            each
            for each in candidates
            if not self.is_limited(each)
            and not self._warmups.is_cold(each.instance, now)
        ]
        limited_count = len(candidates) - len(unlimited)
        return candidates if ahead < limited_count else unlimited

    def room_after(
        self,
        candidates: Iterable[upstream_state.Candidate],
        ahead: int,
        now: float,
    ) -> float:
        """Returns when there is room for a request.

        Args:
            candidates: Upstreams that it may be sent to, at least one.
            ahead: Number of requests that get room before it.
            now: Monotonic time in seconds.

        Returns:
            Monotonic time in seconds; infinity if there is none.
        """
        room_at, rate = math.inf, 0.0
        for each in candidates:
            room_at = min(room_at, self.opens_at(each, now))
            if ahead:
                rate += min(
                    self._shares.rate_of(each.record, now),
                    self._warmups.rate_of(each.record, now),
                )
        return room_at + ahead / rate if rate > 0.0 else room_at

    def find_recheck(
        self, candidates: Iterable[upstream_state.Candidate], now: float
    ) -> upstream_state.Candidate | None:
        """Returns an upstream that is sampled only to hear of its limit.

        Only upstreams without room for this entry are rechecked, since the
        others answer requests. Cold ones are left alone: the end of their
        coldness is known.
        """
        if now - self._recheck_searched_at < RECHECK_SEARCH_INTERVAL_S:
            return None
        self._recheck_searched_at = now
        for each in candidates:
            if (
                self.opens_at(each, now) > now
                and self._signals.opens_at(each.instance, now) <= now
                and not self._warmups.is_cold(each.instance, now)
                and self._shares.take_recheck(each.record, now)
            ):
                return each
        return None

    def record_request(
        self, candidate: upstream_state.Candidate, now: float
    ) -> None:
        """Records that a request is sent to an upstream."""
        if self._warmups.is_cold(candidate.instance, now):
            self._warmups.record_request(candidate.record, now)
        if candidate.instance in self._signals.instances:
            self._shares.record_request(candidate.record, now)
            self._signals.record_request(candidate.instance, now)

    def _update(self, candidate: upstream_state.Candidate, now: float) -> None:
        """Determines until when an upstream is closed for this entry.

        An upstream that is open although it has sent a signal is determined
        anew each time, since each request may close it.
        """
        instance = candidate.instance
        candidate.opening_epoch, candidate.closed_until = self._epoch, -math.inf
        is_cold = self._warmups.is_cold(instance, now)
        if is_cold:
            candidate.warm_at = self._warmups.cold_until(instance)
        elif instance not in self._signals.instances:
            return
        opens_at = max(
            self._signals.opens_at(instance, now),
            self._shares.room_at(candidate.record, now),
            self._warmups.room_at(candidate.record, now),
        )
        candidate.closed_until = max(now, opens_at)

    def _refresh_epoch(self, now: float) -> int:
        """Returns the number of the period in which results stay valid."""
        versions = (
            self._signals.version,
            self._shares.version,
            self._warmups.version,
        )
        if versions != self._versions or (
            now - self._refreshed_at > RESULT_LIFETIME_S
        ):
            self._epoch += 1
            self._versions, self._refreshed_at = versions, now
        return self._epoch
