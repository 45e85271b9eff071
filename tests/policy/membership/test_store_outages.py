"""A store that is away, with the entries of a large data centre.

Pattern: all entries lose the store at once, each finds its last read too old
and reads the store itself. Every call has its price, answered or not.
"""

from __future__ import annotations

from sesamevale.policy.membership import read_scheduling

TIMING = read_scheduling.ReadTiming(bound_s=3.0)
ENTRIES = [f"e-{number:03}" for number in range(25)]
AWAY_FROM_S = 5.0
AWAY_UNTIL_S = 15.0
STEP_S = 0.01


class Outage:
    """Entries that follow the schedule; ``run`` counts their failed reads."""

    def __init__(self):
        self.read_at = dict.fromkeys(ENTRIES, 0.0)
        self.asked_at = dict.fromkeys(ENTRIES, 0.0)
        self.free_at = dict.fromkeys(ENTRIES, 0.0)
        self.failures = dict.fromkeys(ENTRIES, 0)
        self.failed_reads = 0
        self.back_at: dict[str, float] = {}

    def run(self) -> None:
        now = 0.0
        while now < AWAY_UNTIL_S + 2 * TIMING.bound_s:
            now += STEP_S
            for entry in ENTRIES:
                if now >= self.free_at[entry]:
                    self._act(entry, now)

    def _act(self, entry: str, now: float) -> None:
        others = frozenset(ENTRIES) - {entry}
        step = read_scheduling.next_step(
            entry,
            others,
            now - self.read_at[entry],
            now - self.asked_at[entry],
            TIMING,
        )
        if isinstance(step, read_scheduling.Ask):
            self.asked_at[entry] = now
            known = self.read_at[step.entry_id]
            self._learn(entry, known, now)
        elif isinstance(step, read_scheduling.Read):
            if AWAY_FROM_S <= now < AWAY_UNTIL_S:
                self.failed_reads += 1
                self.failures[entry] += 1
                self.free_at[entry] = now + read_scheduling.retry_delay_s(
                    entry, others, self.failures[entry], TIMING
                )
                return
            self.failures[entry] = 0
            self._learn(entry, now, now)

    def _learn(self, entry: str, read_at: float, now: float) -> None:
        self.read_at[entry] = max(self.read_at[entry], read_at)
        if self.read_at[entry] >= AWAY_UNTIL_S:
            self.back_at.setdefault(entry, now)


def test_few_entries_ask_often_and_all_know_of_its_return_in_time():
    """Each of them asked every 0.6 s: 354 reads in these ten seconds."""
    outage = Outage()
    outage.run()
    away_s = AWAY_UNTIL_S - AWAY_FROM_S
    others_per_s = 1 / (0.5 * TIMING.bound_s)
    reader_per_s = 1 / (0.3 * TIMING.bound_s)
    per_s = (len(ENTRIES) - 1) * others_per_s + reader_per_s
    ramp = 4 * len(ENTRIES)
    assert outage.failed_reads <= away_s * per_s + ramp
    assert set(outage.back_at) == set(ENTRIES)
    assert max(outage.back_at.values()) <= AWAY_UNTIL_S + TIMING.bound_s


def test_the_reader_retries_more_often_than_the_others():
    others = frozenset(ENTRIES)
    first = read_scheduling.retry_delay_s("e-000", others, 9, TIMING)
    last = read_scheduling.retry_delay_s("e-024", others, 9, TIMING)
    assert first < last < TIMING.bound_s
    once = read_scheduling.retry_delay_s("e-024", others, 1, TIMING)
    assert once < first
