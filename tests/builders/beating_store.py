"""Records of a store in which upstreams write heartbeats, over time."""

from __future__ import annotations

import dataclasses
import random

from sesamevale.policy.membership import store_view

HEARTBEATS_UNTIL_LAPSE = 3
RETURN_S = 2.0


@dataclasses.dataclass(frozen=True)
class Change:
    """Record of an upstream that is created, or removed (``created`` is 0)."""

    at: float
    name: str
    created: int


class BeatingStore:
    """Store that may be away once; records lapse without heartbeats.

    Heartbeats alone change nothing that a read shows.

    Args:
        count: Number of upstreams.
        heartbeat_s: Interval between the heartbeats of one upstream.
        away: Start and end of the time for which the store is away.
        leaving: Time at which each upstream that leaves is removed, by name.
        cut: Upstreams that are cut off from the store for 4 heartbeats.
        until: End of the simulated time in seconds.
        rng: Source of the phases of the heartbeats.
    """

    def __init__(self, count, heartbeat_s, away, leaving, until, rng, cut=()):
        self._heartbeat_s = heartbeat_s
        self._away_from, self._away_until = away
        self._changes: list[Change] = []
        self._revision = 100
        for number in range(count):
            name = f"u-{number}"
            beats = self._beats(leaving.get(name, until), rng)
            if name in cut:
                middle = len(beats) // 2
                del beats[middle : middle + 4]
            self._add_changes(name, beats)
        for name, at in leaving.items():
            self._changes.append(Change(at, name, 0))
        self._changes.sort(key=lambda each: each.at)

    def is_away(self, at: float) -> bool:
        return self._away_from <= at < self._away_until

    def origins(self, at: float) -> dict[str, store_view.Origin]:
        last = {each.name: each for each in self._changes if each.at <= at}
        return {
            name: store_view.Origin(1000, each.created)
            for name, each in last.items()
            if each.created
        }

    def _beats(self, until, rng: random.Random):
        beats = []
        at = rng.uniform(0.0, self._heartbeat_s)
        while at < until:
            if self.is_away(at):
                at = self._away_until + rng.uniform(0.05, RETURN_S)
                continue
            beats.append(at)
            at += self._heartbeat_s * rng.uniform(0.9, 1.1)
        return beats

    def _add_changes(self, name, beats):
        last = float("-inf")
        for at in beats:
            lapsed_at = last + HEARTBEATS_UNTIL_LAPSE * self._heartbeat_s
            if lapsed_at < at:
                if last >= 0.0:
                    self._changes.append(Change(lapsed_at, name, 0))
                self._revision += 1
                self._changes.append(Change(at, name, self._revision))
            last = at
