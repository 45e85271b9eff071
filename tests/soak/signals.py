"""Signals that upstreams of the soak send at random, and the checks of them.

An entry that was restarted, paused or cut off is not judged until it has had
time to hear of a signal again.
"""

from __future__ import annotations

import asyncio
import bisect
import time

from tests.standins import signal_log

# An upstream that has said that it leaves may get what its callers have sent
# so long after an answer that says so.
DRAIN_S = 2.0
# Requests that an entry may send in a pause.
PAUSE_REQUESTS_MAX = 2
LIMIT_MAX = 20.0


class SignalFaults:
    """Has upstreams name limits, ask for pauses and leave, two at a time."""

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng
        self._busy = []

    async def run(self, end):
        """Sends signals until ``end``; returns when all have ended."""
        await asyncio.gather(*(self._send_signals(end) for _ in range(2)))

    async def _send_signals(self, end):
        kinds = [self._limit, self._limit, self._pause, self._leave]
        while time.monotonic() < end:
            calm = [
                each for each in self._fleet.upstreams if each not in self._busy
            ]
            upstream = self._rng.choice(calm)
            self._busy.append(upstream)
            await self._rng.choice(kinds)(upstream)
            self._busy.remove(upstream)
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))

    async def _limit(self, upstream):
        """Names a limit that may change once."""
        for _ in range(self._rng.randint(1, 2)):
            upstream.signals.name_limit(self._rng.uniform(0.5, LIMIT_MAX))
            await asyncio.sleep(self._rng.uniform(3.0, 7.0))
        upstream.signals.end_limit()

    async def _pause(self, upstream):
        seconds = self._rng.uniform(0.5, 3.0)
        upstream.signals.pause_until = time.monotonic() + seconds
        await asyncio.sleep(seconds)

    async def _leave(self, upstream):
        """Says so, tells the store later or not at all, and starts anew."""
        upstream.signals.leaving_since = time.monotonic()
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        heartbeat = self._fleet.heartbeats[upstream.upstream_id]
        heartbeat["born"] += 1
        heartbeat["seqNo"] = 0
        upstream.signals.start_anew()


def find_violations(fleet, exchanges):
    """Yields what entries did against the signals of upstreams."""
    by_attempt = {each.attempt: each for each in exchanges}
    for upstream in fleet.upstreams:
        judge = _Judge(fleet, upstream, by_attempt)
        for text in judge.limits():
            yield f"{upstream.upstream_id} got {text}"
        yield from judge.pauses()
        yield from judge.departures()


class _Judge:
    """Judges the requests that one upstream got."""

    def __init__(self, fleet, upstream, by_attempt):
        self._upstream = upstream
        self._runs = fleet.runs
        self._link = fleet.links[upstream.upstream_id]
        self._by_attempt = by_attempt

    def limits(self):
        """Yields windows with too many requests."""
        log = self._upstream.signals
        return log.limit_violations(self._is_excused)

    def pauses(self):
        """Yields pauses in which an entry sent too many requests."""
        log = self._upstream.signals
        for pause in log.pauses:
            start = pause.answered_at + signal_log.REACTION_S
            exchange = self._by_attempt.get(pause.attempt)
            if exchange is None or self._is_excused(pause.attempt, start):
                continue
            first = bisect.bisect_left(log.arrivals, (start,))
            last = bisect.bisect_left(log.arrivals, (pause.ends_at,))
            count = sum(
                self._entry_of(attempt) is exchange.entry
                for _, attempt in log.arrivals[first:last]
            )
            if count > PAUSE_REQUESTS_MAX:
                yield (
                    f"{self._upstream.upstream_id} got {count} requests of "
                    f"{exchange.entry.name} in a pause"
                )

    def departures(self):
        """Yields requests that reached the upstream when it had left."""
        log = self._upstream.signals
        for since, until in log.departures:
            told = self._told_between(since, until)
            for at, attempt in log.arrivals:
                exchange = self._by_attempt.get(attempt)
                if exchange is None or not since <= at < until:
                    continue
                told_at = told.get(exchange.entry.name, until)
                if exchange.sent <= told_at + DRAIN_S:
                    continue
                if not self._is_excused(attempt, at):
                    yield (
                        f"{self._upstream.upstream_id} got {attempt} of "
                        f"{exchange.entry.name} though it leaves"
                    )

    def _told_between(self, since, until):
        """Returns when each entry first passed an answer on that says so."""
        told = {}
        name = self._upstream.upstream_id
        for attempt, exchange in self._by_attempt.items():
            ran_here = any(
                run.upstream_id == name for run in self._runs[attempt]
            )
            if (
                exchange.says_leaving
                and ran_here
                and (since <= exchange.ended < until)
            ):
                entry = exchange.entry.name
                told[entry] = min(told.get(entry, until), exchange.ended)
        return told

    def _entry_of(self, attempt):
        exchange = self._by_attempt.get(attempt)
        return None if exchange is None else exchange.entry

    def _is_excused(self, attempt, start):
        """Whether an attempt from a time on is not judged.

        That is so if its entry is unknown, or if the entry, its link to the
        store, or the link to the upstream was disturbed.
        """
        entry = self._entry_of(attempt)
        if entry is None:
            return True
        window = (
            start - signal_log.CONTACT_S,
            start + signal_log.LIMIT_WINDOW_S,
        )
        parts = (entry.disturbances, entry.store.disturbances)
        parts += (self._link.disturbances,)
        stopped = any(
            stop.at <= window[1] and window[0] <= stop.gone_at
            for stop in entry.stops
        )
        return stopped or any(each.overlaps(*window) for each in parts)
