"""Use of one tenant's quota, as one entry knows it."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from sesamevale.policy.admission import quota_shares

if TYPE_CHECKING:
    from sesamevale import routes

__all__ = ["PendingAsk", "TenantUse", "Usage"]

# Time over which the use of a quota is reported and demand is estimated.
USE_WINDOW_S = 5.0
# Time without grants after which the holders are not asked, at first and at
# most; it doubles each time.
PAUSE_S = 0.1
PAUSE_MAX_S = 0.8
# Time for which a holder that did not answer is not asked.
SILENCE_S = 2.0
# Largest number of requests that one message asks for.
ASK_COUNT_MAX = 16
# Time within which an admitted request is expected to be sent.
ADMISSION_S = 2.0
# Part of its rate that a holder is expected to have left over.
UNUSED_PART = 0.3
# Part of the quota's bounds that is used while others may have replaced this
# entry.
STALE_PART = 0.5


@dataclasses.dataclass(slots=True)
class PendingAsk:
    """A question to a holder that is not answered yet.

    Attributes:
        number: Number of the message.
        holder: Entry that was asked.
        sent_at: Monotonic time in seconds.
        tries: Number of holders that have been asked in a row.
    """

    number: int
    holder: str
    sent_at: float
    tries: int


@dataclasses.dataclass(slots=True)
class _Hint:
    """What a holder said about its room."""

    left: float
    at: float
    silent_until: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Requests of one tenant at one entry.

    Attributes:
        admitted: Number of attempts that were let through.
        refused: Number of requests that were refused.
        window_s: Time in seconds over which they are counted.
    """

    admitted: int
    refused: int
    window_s: float = USE_WINDOW_S


class TenantUse:
    """Room of one tenant at one entry.

    Args:
        tenant: The tenant, with a rate limit.
        since: Monotonic time in seconds since which this process has known
            the limit.

    Attributes:
        holders: Entries that have a share, in the order in which this entry
            prefers to ask them.
        basis: What the share follows from.
        admitted_count: Number of requests that are admitted and not sent yet.
        waiting: Tickets of the requests for permits that wait for an answer.
        pending: Question to a holder, if there is one.
    """

    def __init__(self, tenant: routes.Tenant, since: float) -> None:
        self._tenant = tenant
        self._share: quota_shares.Share | None = None
        self._is_holder = False
        self._has_joined = False
        self._tokens = 0.0
        self._refilled_at = since
        self._borrowed: collections.deque[float] = collections.deque()
        self._hints: dict[str, _Hint] = {}
        self._paused_until = -math.inf
        self._pause_s = PAUSE_S
        self._return_at = since
        self._admitted: collections.deque[float] = collections.deque()
        self._refused: collections.deque[float] = collections.deque()
        self._borrowed_use: collections.deque[float] = collections.deque()
        self.holders: tuple[str, ...] = ()
        self.basis: tuple[object, ...] = ()
        self.admitted_count = 0
        self.waiting: collections.deque[int] = collections.deque()
        self.pending: PendingAsk | None = None

    @property
    def tenant(self) -> routes.Tenant:
        """The tenant."""
        return self._tenant

    @property
    def share(self) -> quota_shares.Share:
        """Share of a holder."""
        assert self._share is not None
        return self._share

    @property
    def is_holder(self) -> bool:
        """Whether this entry holds a share."""
        return self._is_holder

    def set_share(
        self,
        tenant: routes.Tenant,
        share: quota_shares.Share,
        *,
        is_holder: bool,
        has_joined: bool,
        is_stale: bool,
        now: float,
    ) -> None:
        """Replaces the share; one that is gained later starts without room."""
        if is_stale:
            share = dataclasses.replace(
                share,
                rate_per_s=share.rate_per_s * STALE_PART,
                capacity=share.capacity * STALE_PART,
            )
        if has_joined and not self._has_joined:
            self._has_joined = True
            self._tokens = share.start_tokens
        else:
            self._refill(now)
            if not self._is_holder:
                self._tokens = 0.0
        self._tenant, self._share = tenant, share
        self._hints = {
            holder: hint
            for holder, hint in self._hints.items()
            if holder in self.holders
        }
        self._is_holder = is_holder
        self._refill(now)

    def take(self, now: float) -> tuple[float, bool] | None:
        """Takes room for one request.

        Returns:
            When the permit expires, and whether the room is of this entry;
            None if there is no room.
        """
        if self.withdraw(1, now):
            return now + quota_shares.PERMIT_S, True
        while self._borrowed:
            until = self._borrowed.popleft()
            if until > now:
                self._borrowed_use.append(now)
                _drop_before(self._borrowed_use, now - quota_shares.PERMIT_S)
                return until, False
        return None

    def withdraw(self, count: int, now: float) -> int:
        """Takes room out of the own share; returns for how many requests."""
        self._refill(now)
        taken = min(count, int(self._tokens))
        self._tokens -= taken
        return taken

    def give_back(self, until: float, now: float) -> None:
        """Returns the room of a permit that was not used.

        An expired permit is lost: the room would be used in a burst with the
        one that has come since.

        Args:
            until: When the permit expires.
            now: Monotonic time in seconds.
        """
        if until <= now:
            return
        self._refill(now)
        if self._is_holder:
            self._tokens = min(self.share.capacity, self._tokens + 1.0)

    def may_admit(self, now: float) -> bool:
        """Whether room is expected for one more request that waits."""
        expected = self.share.rate_per_s * ADMISSION_S
        expected += self.left(now) if self._is_holder else self.share.capacity
        return self.admitted_count < max(1.0, expected)

    def left(self, now: float) -> float:
        """Returns the requests for which the own share has room."""
        self._refill(now)
        return self._tokens

    def borrow(self, count: int, until: float) -> None:
        """Adds room of another entry that may be used until a time."""
        self._borrowed.extend([until] * count)
        if count:
            self._paused_until, self._pause_s = -math.inf, PAUSE_S

    def ask_count(self, now: float) -> int:
        """Returns the number of requests to ask a holder for."""
        _drop_before(self._borrowed_use, now - quota_shares.PERMIT_S)
        wanted = len(self.waiting) + len(self._borrowed_use)
        return max(1, min(ASK_COUNT_MAX, wanted))

    def record_left(self, holder: str, left: float, now: float) -> None:
        """Records for how many requests a holder has room left."""
        self._hints[holder] = _Hint(left, now)

    def record_silence(self, holder: str, now: float) -> None:
        """Records that a holder has not answered."""
        self._hints[holder] = _Hint(self.share.capacity, now, now + SILENCE_S)

    def most_left(self, holder: str, now: float) -> float:
        """Returns the most that a holder may have left; 0 if it is silent."""
        return self._estimate(holder, 1.0, now)

    def expected_left(self, holder: str, now: float) -> float:
        """Returns what a holder with the usual load would have left."""
        return self._estimate(holder, UNUSED_PART, now)

    def _estimate(self, holder: str, refilled: float, now: float) -> float:
        hint = self._hints.get(holder)
        if hint is None:
            return self.share.capacity
        if hint.silent_until > now:
            return 0.0
        added = (now - hint.at) * self.share.rate_per_s * refilled
        return min(self.share.capacity, hint.left + added)

    def is_silent(self, holder: str, now: float) -> bool:
        """Whether a holder has not answered lately."""
        hint = self._hints.get(holder)
        return hint is not None and hint.silent_until > now

    def pause(self, now: float) -> None:
        """Stops asking for a time, since no holder has room."""
        self._paused_until = now + self._pause_s
        self._pause_s = min(PAUSE_MAX_S, 2.0 * self._pause_s)

    def is_paused(self, now: float) -> bool:
        """Whether holders are not asked for now."""
        return now < self._paused_until

    def next_return_s(self, window_s: float, now: float) -> float:
        """Returns when a refused caller should return, in seconds from now.

        Callers are called back one after the other, at the rate at which a
        share is filled, and at most a window later.
        """
        rate = self.share.rate_per_s
        interval_s = window_s if rate <= 0.0 else min(window_s, 1.0 / rate)
        self._return_at = max(self._return_at, now) + interval_s
        after_s = self._return_at - now
        if after_s > window_s:
            self._return_at = now + window_s
        return min(window_s, after_s)

    def record_verdict(self, *, admitted: bool, now: float) -> None:
        """Counts a verdict."""
        log = self._admitted if admitted else self._refused
        log.append(now)
        _drop_before(log, now - USE_WINDOW_S)

    def usage(self, now: float) -> Usage:
        """Returns what became of the requests of the last seconds."""
        for log in (self._admitted, self._refused):
            _drop_before(log, now - USE_WINDOW_S)
        return Usage(len(self._admitted), len(self._refused))

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        if self._is_holder:
            self._tokens = min(
                self.share.capacity,
                self._tokens + elapsed_s * self.share.rate_per_s,
            )
        else:
            self._tokens = 0.0


def _drop_before(log: collections.deque[float], since: float) -> None:
    while log and log[0] < since:
        log.popleft()
