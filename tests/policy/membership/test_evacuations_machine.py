"""Evacuations as entries learn of them, against an oracle that sees the store.

Entries read the store, or fetch what another entry has read. They are cut off,
freeze, start anew without memory, and the store loses its answers.
"""

from __future__ import annotations

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.membership import evacuations
from sesamevale.policy.membership import shared_state
from tests.builders import gateway
from tests.builders import hypothesis_settings

DATA_CENTERS = ("a", "b", "c")
RECORDS = tuple(
    gateway.upstream(f"u-{name}{number}", data_center=name)
    for name in DATA_CENTERS
    for number in range(2)
)


class Entry:
    """What one process knows."""

    def __init__(self, epoch):
        self.state = shared_state.SharedState(epoch)
        self.evacuations = evacuations.Evacuations()
        self.mirrors: dict[int, shared_state.Mirror] = {}
        self.read_at: float | None = None
        self.changes: list[evacuations.EvacuationChange] = []

    def apply(self, contents, read_at):
        if self.state.record_read(contents, read_at):
            self.read_at = read_at
            self.changes += self.evacuations.record_read(
                contents.evacuated, read_at
            )

    def usable(self):
        return {
            each.data_center for each in self.evacuations.select_usable(RECORDS)
        }


class EvacuationsMachine(stateful.RuleBasedStateMachine):
    """What an entry uses is what the store held at its newest read."""

    entries_count = 3

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.evacuated: frozenset[str] = frozenset()
        self.history: dict[float, frozenset[str]] = {}
        self.epochs = 0
        self.entries = [self._new_entry() for _ in range(self.entries_count)]

    def _new_entry(self):
        self.epochs += 1
        return Entry(self.epochs)

    def _contents(self):
        self.now += 0.5
        self.history[self.now] = self.evacuated
        return shared_state.StoreContents(
            gateway.configuration(), RECORDS, (), self.evacuated
        )

    @stateful.rule(
        data_centers=strategies.frozensets(
            strategies.sampled_from(DATA_CENTERS)
        )
    )
    def write(self, data_centers):
        """The operator writes and removes keys, also all at once."""
        self.evacuated = data_centers

    @stateful.rule(number=strategies.integers(0, 2))
    def read(self, number):
        contents = self._contents()
        self.entries[number].apply(contents, self.now)

    @stateful.rule(number=strategies.integers(0, 1))
    def read_and_fetch(self, number):
        """An entry reads, and another one fetches that from it."""
        self.read(number)
        self.fetch(number)

    @stateful.rule(peer=strategies.integers(0, 1))
    def fetch(self, peer):
        entry, other = self.entries[2], self.entries[peer]
        if other.read_at is None:
            return
        mirror = entry.mirrors.setdefault(peer, shared_state.Mirror())
        update = other.state.changes_since(
            mirror.epoch, mirror.revision, self.now
        )
        contents = mirror.apply(update)
        assert contents is not None
        entry.apply(contents, self.now - update.age_s)

    @stateful.rule(number=strategies.integers(0, 2))
    def start_anew(self, number):
        self.entries[number] = self._new_entry()

    @stateful.rule(number=strategies.integers(0, 2))
    def lose_an_answer(self, number):
        """A read whose answer is lost changes nothing at the entry."""
        before = self.entries[number].usable()
        self._contents()
        assert self.entries[number].usable() == before

    @stateful.invariant()
    def entries_use_what_the_store_held(self):
        for entry in self.entries:
            if entry.read_at is None:
                continue
            expected = set(DATA_CENTERS) - self.history[entry.read_at]
            assert entry.usable() == expected

    @stateful.invariant()
    def changes_alternate(self):
        for entry in self.entries:
            for name in DATA_CENTERS:
                changes = [
                    each.change
                    for each in entry.changes
                    if each.data_center == name
                ]
                expected = ["began", "ended"] * len(changes)
                assert changes == expected[: len(changes)]


def test_entries_use_no_evacuated_data_center_and_take_back_the_others():
    stateful.run_state_machine_as_test(
        EvacuationsMachine,
        settings=hypothesis_settings.machine_settings(80, 30),
    )


def test_without_evacuations_all_upstreams_are_usable():
    assert evacuations.Evacuations().select_usable(RECORDS) is RECORDS


def test_the_age_of_an_evacuation_counts_from_its_first_read():
    state = evacuations.Evacuations()
    state.record_read({"a"}, 5.0)
    state.record_read({"a", "b"}, 7.0)
    assert state.ages_s(8.0) == {"a": 3.0, "b": 1.0}
    state.record_read({"b"}, 9.0)
    assert state.ages_s(9.0) == {"b": 2.0}
    assert state.record_read({"b"}, 10.0) == []
    assert dataclasses.astuple(state.record_read((), 11.0)[0]) == (
        "b",
        "ended",
        11.0,
    )


def test_the_end_of_an_evacuation_is_passed_on():
    reader, entry, mirror = Entry(1), Entry(2), shared_state.Mirror()
    for now, evacuated in ((1.0, {"a"}), (2.0, set())):
        contents = shared_state.StoreContents(
            gateway.configuration(), RECORDS, (), frozenset(evacuated)
        )
        reader.apply(contents, now)
        update = reader.state.changes_since(mirror.epoch, mirror.revision, now)
        entry.apply(mirror.apply(update), now)
        assert entry.evacuations.data_centers == evacuated
