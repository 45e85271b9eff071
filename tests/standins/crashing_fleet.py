"""Entries and upstreams that deadly requests crash, in simulated time."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random

from sesamevale.policy.admission import suspects
from tests.builders import suspicions

RUN_S = 0.2
CRASH_AFTER_S = 0.06
RESTART_S = 3.0
# Time until all other entries have heard of an end.
SPREAD_S = 0.05
# Repeats of a caller, and the time before each.
REPEATS = 4
REPEAT_AFTER_S = 0.15
UPSTREAMS_MAX = 3


@dataclasses.dataclass(eq=False)
class Call:
    """One caller's wish, with all its attempts.

    Attributes:
      request: Fingerprint of its content.
      is_deadly: Whether it crashes the upstream that runs it.
      attempts: Attempts of the caller so far.
      refusals: Refused attempts.
      is_served: Whether it has been answered.
    """

    request: int
    is_deadly: bool
    attempts: int = 0
    refusals: int = 0
    is_served: bool = False


class Fleet:
    """Entries that send calls to upstreams and hear of each other's losses.

    Args:
      entries: Number of entries.
      upstreams: Number of upstreams.
      seed: Seed of the random numbers.

    Attributes:
      calls: All calls.
      deaths: Times at which upstreams ended, by the request that did it.
      sent: Times at which requests were sent to upstreams.
    """

    def __init__(self, entries: int, upstreams: int, seed: int = 1):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.tables = [
            suspects.Suspects(f"e-{number}") for number in range(entries)
        ]
        self.calls: list[Call] = []
        self.deaths: dict[int, list[float]] = collections.defaultdict(list)
        self.sent: dict[int, list[float]] = collections.defaultdict(list)
        self._up_at = [0.0] * upstreams
        self._running: list[dict[int, tuple[Call, int, int]]] = [
            {} for _ in range(upstreams)
        ]
        self._numbers = itertools.count(1)
        self._events: list[tuple] = []

    def call_at(self, at: float, call: Call) -> None:
        self.calls.append(call)
        self._at(at, self._attempt, call)

    def run(self) -> None:
        """Runs until nothing is left to do."""
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _at(self, at, action, *arguments):
        event = (at, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def _attempt(self, call):
        call.attempts += 1
        entry = self.rng.randrange(len(self.tables))
        judgement = self.tables[entry].judge(
            call.request, suspicions.KIND, self.now
        )
        if judgement.verdict is suspects.Verdict.REFUSE:
            call.refusals += 1
            self._repeat(call)
            return
        self._send(call, entry, 1)

    def _repeat(self, call):
        if call.attempts <= REPEATS:
            self._at(self.now + REPEAT_AFTER_S, self._attempt, call)

    def _send(self, call, entry, count):
        up = [n for n, at in enumerate(self._up_at) if at <= self.now]
        if not up:
            self._repeat(call)
            return
        self.tables[entry].begin_trial(call.request, self.now)
        upstream, number = self.rng.choice(up), next(self._numbers)
        self._running[upstream][number] = (call, entry, count)
        self.sent[call.request].append(self.now)
        if call.is_deadly:
            self._at(self.now + CRASH_AFTER_S, self._crash, upstream, number)
        else:
            self._at(self.now + RUN_S, self._answer, upstream, number)

    def _answer(self, upstream, number):
        found = self._running[upstream].pop(number, None)
        if found is None:
            return
        call, entry, _ = found
        call.is_served = True
        table = self.tables[entry]
        table.end_trial(call.request)
        answer = suspicions.answer(call.request, self.now)
        if table.is_suspect(call.request):
            self._tell([answer], entry)
        elif table:
            table.record(answer, self.now)

    def _crash(self, upstream, number):
        if number not in self._running[upstream]:
            return
        lost = list(self._running[upstream].values())
        guilty = self._running[upstream][number][0]
        self.deaths[guilty.request].append(self.now)
        self._running[upstream] = {}
        self._up_at[upstream] = self.now + RESTART_S
        instance = next(self._numbers)
        for call, entry, _ in lost:
            death = suspicions.death(call.request, instance, self.now)
            self._tell([death], entry)
        for call, entry, count in lost:
            may_repeat = self.tables[entry].may_repeat(
                call.request, suspicions.KIND, self.now
            )
            if count < UPSTREAMS_MAX and may_repeat:
                self._send(call, entry, count + 1)
            else:
                self._repeat(call)

    def _tell(self, found, entry):
        self._hear(entry, found)
        for other in range(len(self.tables)):
            if other != entry:
                self._at(self.now + SPREAD_S, self._hear, other, found)

    def _hear(self, entry, found):
        for each in found:
            self.tables[entry].record(each, self.now)
