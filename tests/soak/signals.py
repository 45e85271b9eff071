"""What upstreams of the soak say of themselves, and the checks of it."""

from __future__ import annotations

import bisect
import dataclasses
import math
import time

# A limit is judged from so long after an upstream has named it.
CONTACT_S = 3.0
WINDOW_S = 4.0
# Requests that a window may hold: a factor on what the limit allows, and a
# fixed number.
EXCESS_FACTOR = 1.5
EXCESS_COUNT = 5


@dataclasses.dataclass
class Limit:
    """A limit that was named for some time, in requests a second."""

    per_second: float
    named_at: float
    ended_at: float = math.inf

    @property
    def requests_max(self):
        """Highest number of requests that any window may hold."""
        return EXCESS_FACTOR * self.per_second * WINDOW_S + EXCESS_COUNT


class SignalLog:
    """Signals of one upstream and the requests that reach it."""

    def __init__(self):
        self.limits: list[Limit] = []
        self.arrivals: list[tuple[float, str]] = []

    @property
    def headers(self):
        """Header fields of its answers at this moment."""
        if self.limits and self.limits[-1].ended_at == math.inf:
            return (("server-limit", f"{self.limits[-1].per_second}"),)
        return ()

    def name_limit(self, per_second):
        self.limits.append(Limit(per_second, time.monotonic()))

    def end_limit(self):
        self.limits[-1].ended_at = time.monotonic()

    def record_arrival(self, attempt):
        self.arrivals.append((time.monotonic(), attempt))


def worst_window(log, limit, is_counted=lambda attempt, start: True):
    """Returns the start of the fullest window of a limit, and its requests.

    ``is_counted`` gets the attempt of a request and the start of the window.
    """
    first = bisect.bisect_left(log.arrivals, (limit.named_at + CONTACT_S,))
    last = bisect.bisect_left(log.arrivals, (limit.ended_at,))
    judged = log.arrivals[first:last]
    worst = (limit.named_at, 0)
    for index, (start, _) in enumerate(judged):
        count = sum(
            at < start + WINDOW_S and is_counted(attempt, start)
            for at, attempt in judged[index:]
        )
        worst = max(worst, (start, count), key=lambda each: each[1])
    return worst
