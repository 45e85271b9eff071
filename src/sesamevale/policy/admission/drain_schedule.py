"""Times of the shutdown of an entry."""

from __future__ import annotations

import dataclasses
import math

__all__ = ["DrainSchedule"]

# Part of the grace period that is reserved for the exit of the process.
EXIT_SHARE = 0.15
# A busy machine may handle the stop signal this late.
SIGNAL_DELAY_MAX_S = 0.5
# A caller may connect this long after its directory answer has expired.
LATE_CONNECTION_S = 0.5
# Callers keep a directory answer for up to this many times its lifetime.
DIRECTORY_LIFETIME_FACTOR = 3


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Times of one shutdown, in monotonic seconds.

    Attributes:
        answers_expire_at: When the directory answers that this entry gave
            before the shutdown have expired.
        close_idle_at: When connections without a request may be closed.
        ends_at: When all requests must have ended.
    """

    answers_expire_at: float
    close_idle_at: float
    ends_at: float

    @classmethod
    def plan(
        cls, now: float, grace_s: float, directory_lifetime_s: float
    ) -> DrainSchedule:
        """Returns the times of a shutdown that begins now.

        Args:
            now: Monotonic time in seconds.
            grace_s: Time from the stop signal to the end of the process, in
                seconds.
            directory_lifetime_s: Lifetime of a directory answer at callers,
                in seconds.
        """
        ends_at = now + grace_s * (1 - EXIT_SHARE)
        kept_s = DIRECTORY_LIFETIME_FACTOR * directory_lifetime_s
        return cls(
            answers_expire_at=min(ends_at, now + kept_s),
            close_idle_at=min(ends_at, now + kept_s + LATE_CONNECTION_S),
            ends_at=ends_at,
        )

    def ended(self) -> DrainSchedule:
        """Returns these times once the drain has ended: nothing is taken."""
        return dataclasses.replace(
            self, answers_expire_at=-math.inf, ends_at=-math.inf
        )

    def admits(self, now: float, deadline: float) -> bool:
        """Whether a request that has just arrived may be taken.

        While callers may still have a directory answer that names this entry,
        all requests are taken, less the time by which the signal may have been
        handled late. A later one is taken if it ends in time even if it lasts
        until its deadline.

        Args:
            now: Monotonic time in seconds.
            deadline: Deadline of the request, in monotonic seconds.
        """
        takes_all = now < self.answers_expire_at - SIGNAL_DELAY_MAX_S
        return takes_all or deadline <= self.ends_at

    def allows_attempt(self, now: float, duration_s: float) -> bool:
        """Whether an attempt may be started.

        Args:
            now: Monotonic time in seconds.
            duration_s: Expected duration of the attempt in seconds.
        """
        return now + duration_s <= self.ends_at
