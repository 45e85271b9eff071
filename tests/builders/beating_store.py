"""Revisions and records of a store in which upstreams write heartbeats."""

from __future__ import annotations

import dataclasses
import random

HEARTBEATS_UNTIL_LAPSE = 3
RETURN_S = 2.0


@dataclasses.dataclass(frozen=True)
class Change:
    """Change of the store: a heartbeat, or the end of a record."""

    at: float
    name: str
    present: bool


class BeatingStore:
    """Store that may be away once; its upstreams write heartbeats.

    Args:
        count: Number of upstreams.
        heartbeat_s: Interval between the heartbeats of one upstream.
        away: Start and end of the time for which the store is away.
        leaving: Time at which each upstream that leaves is removed, by name.
        until: End of the simulated time in seconds.
        rng: Source of the phases of the heartbeats.
    """

    def __init__(self, count, heartbeat_s, away, leaving, until, rng):
        self._heartbeat_s = heartbeat_s
        self._away_from, self._away_until = away
        self._changes: list[Change] = []
        for number in range(count):
            name = f"u-{number}"
            leaves_at = leaving.get(name, until)
            self._add_changes(name, leaves_at, rng)
        self._changes.sort(key=lambda each: each.at)

    def is_away(self, at: float) -> bool:
        return self._away_from <= at < self._away_until

    def revision(self, at: float) -> int:
        return 100 + sum(each.at <= at for each in self._changes)

    def names(self, at: float) -> frozenset[str]:
        last = {each.name: each for each in self._changes if each.at <= at}
        return frozenset(name for name, each in last.items() if each.present)

    def _add_changes(self, name, leaves_at, rng: random.Random):
        beat_at = rng.uniform(0.0, self._heartbeat_s)
        last_beat = beat_at
        while beat_at < leaves_at:
            if self.is_away(beat_at):
                beat_at = self._away_until + rng.uniform(0.05, RETURN_S)
                continue
            lapsed_at = last_beat + HEARTBEATS_UNTIL_LAPSE * self._heartbeat_s
            if lapsed_at < beat_at:
                self._changes.append(Change(lapsed_at, name, present=False))
            self._changes.append(Change(beat_at, name, present=True))
            last_beat = beat_at
            beat_at += self._heartbeat_s * rng.uniform(0.9, 1.1)
        self._changes.append(Change(leaves_at, name, present=False))
