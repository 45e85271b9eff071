"""What an upstream says of itself and gets, and the rules that bind others."""

from __future__ import annotations

import dataclasses
import math
import time
from collections.abc import Callable
from collections.abc import Iterator

# A limit is judged from so long after an upstream has first named it.
CONTACT_S = 3.0
# Time after an answer from which an entry must act by it.
REACTION_S = 0.5
LIMIT_WINDOW_S = 4.0
# Requests that a window may hold: a factor on what the limit allows, and a
# fixed number.
EXCESS_FACTOR = 1.5
EXCESS_COUNT = 5


@dataclasses.dataclass
class Limit:
    """A limit in requests a second, from one moment to another."""

    per_second: float
    named_at: float
    ended_at: float = math.inf


@dataclasses.dataclass(frozen=True)
class Pause:
    """An attempt that was answered with the request for a pause."""

    attempt: str
    answered_at: float
    ends_at: float


class SignalLog:
    """Signals of one upstream and the requests that reach it.

    Args:
      clock: Source of monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self.limits: list[Limit] = []
        self.leaving_since = math.inf
        self.departures: list[tuple[float, float]] = []
        self.pause_until = -math.inf
        self.pauses: list[Pause] = []
        self.arrivals: list[tuple[float, str]] = []

    @property
    def limit(self) -> float | None:
        """Limit that its answers name at this moment."""
        if self.limits and self.limits[-1].ended_at == math.inf:
            return self.limits[-1].per_second
        return None

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Header fields of its answers at this moment."""
        fields: list[tuple[str, str]] = []
        if self.limit is not None:
            fields.append(("server-limit", f"{self.limit}"))
        if self.leaving_since <= self._clock():
            fields.append(("server-leaving", "1"))
        return tuple(fields)

    def start_anew(self) -> None:
        """Ends the time in which the upstream leaves."""
        self.departures.append((self.leaving_since, self._clock()))
        self.leaving_since = math.inf

    def ask_to_pause(self, attempt: str) -> str | None:
        """Returns the value of ``Retry-After`` for a request, if any."""
        now = self._clock()
        if now >= self.pause_until:
            return None
        self.pauses.append(Pause(attempt, now, self.pause_until))
        return f"{self.pause_until - now:.3f}"

    def name_limit(self, per_second: float) -> None:
        """Names a limit, or another one, from now on."""
        self.end_limit()
        self.limits.append(Limit(per_second, self._clock()))

    def end_limit(self) -> None:
        if self.limit is not None:
            self.limits[-1].ended_at = self._clock()

    def record_arrival(self, attempt: str) -> None:
        self.arrivals.append((self._clock(), attempt))

    def count_since(self, since: float) -> int:
        """Returns the number of requests since a time."""
        return sum(at >= since for at, _ in self.arrivals)

    def limit_violations(
        self, is_excused: Callable[[str, float], bool] = lambda *_: False
    ) -> Iterator[str]:
        """Yields the windows with more requests than the limit allows.

        Of several values in force in a window, or just before it, the highest
        counts.

        Args:
          is_excused: Gets an attempt and the start of a window.
        """
        spans = self._spans()
        for index, (start, _) in enumerate(self.arrivals):
            span = next((each for each in spans if _binds(each, start)), None)
            if span is None:
                continue
            end = min(start + LIMIT_WINDOW_S, span[-1].ended_at)
            per_second = max(
                each.per_second
                for each in span
                if each.ended_at > start - REACTION_S and each.named_at < end
            )
            count = sum(
                at < end and not is_excused(attempt, start)
                for at, attempt in self.arrivals[index:]
            )
            allowed = EXCESS_FACTOR * per_second * LIMIT_WINDOW_S
            if count > allowed + EXCESS_COUNT:
                yield (
                    f"{count} requests in {LIMIT_WINDOW_S:g} s from "
                    f"{start:.3f} at a limit of {per_second:g}"
                )

    def _spans(self) -> list[list[Limit]]:
        """Returns the limits, grouped by the times without a gap."""
        spans: list[list[Limit]] = []
        for each in self.limits:
            if spans and spans[-1][-1].ended_at == each.named_at:
                spans[-1].append(each)
            else:
                spans.append([each])
        return spans


def _binds(span: list[Limit], start: float) -> bool:
    """Returns whether a span of limits binds a window that starts then."""
    return span[0].named_at + CONTACT_S <= start < span[-1].ended_at
