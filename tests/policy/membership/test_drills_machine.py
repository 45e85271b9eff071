"""State machine of drills: the store comes back from a copy, several times.

Two entries follow the store: one reads it, the other takes what the first has
read and knows heartbeats only with other changes. What was written since the
copy is lost; the operator and the upstreams write theirs again some time
later. The oracle knows which starts have left and the newest version that an
entry has had: neither comes back, and what is live is used once all is
written again.
"""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.configuration import active_configuration
from sesamevale.policy.membership import shared_state
from sesamevale.policy.membership import store_view
from sesamevale.policy.signals import discovered_upstreams
from tests.builders import gateway

NAMES = "abc"
# Longer than a record of the copy lasts that nobody writes any more.
SETTLED_S = 11.0


@dataclasses.dataclass
class Store:
    """Contents of the store; the copy is what it comes back to."""

    era: int = 1
    version: int = 1
    records: dict[str, dict] = dataclasses.field(default_factory=dict)

    def contents(self):
        return shared_state.StoreContents(
            gateway.configuration(self.version),
            tuple(
                gateway.upstream(name, **values)
                for name, values in self.records.items()
            ),
            (),
            era=self.era,
        )

    def copy(self):
        records = {name: dict(each) for name, each in self.records.items()}
        return dataclasses.replace(self, records=records)


class Entry:
    """What one entry derives from what it reads."""

    def __init__(self, number):
        self.state = shared_state.SharedState(number)
        self.view = store_view.StoreView()
        self.upstreams = discovered_upstreams.DiscoveredUpstreams()
        self.configuration = active_configuration.ActiveConfiguration()
        # Starts that were used, and those of them that had left when they
        # were out of use.
        self.used: set[tuple[str, int]] = set()
        self.ended: set[tuple[str, int]] = set()
        self.version = 0

    def publish(self, contents, read_at):
        if not self.state.is_newer(contents, read_at):
            return
        self.view.record_read(read_at, contents.era, {})
        self.state.record_read(contents, read_at)
        self.upstreams.record_read(
            contents.upstreams, read_at, self.view.grace_until, contents.era
        )
        self.configuration.offer(contents.configuration, read_at)

    def usable(self):
        return {
            (each.upstream_id, each.started_ms)
            for each in self.upstreams.usable("sheet")
        }


class DrillMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.starts = 1000
        self.store = Store()
        self.saved = self.store.copy()
        self.lost_version = 1
        # What the operator and the upstreams mean to be there.
        self.live: dict[str, dict] = {}
        self.left: set[tuple[str, int]] = set()
        self.reader, self.follower = Entry(1), Entry(2)
        self.mirror = shared_state.Mirror()
        self.late: list[tuple] = []

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def start(self, name):
        self.starts += 1
        if name in self.live:
            self.left.add((name, self.live[name]["started_ms"]))
        self.live[name] = {"started_ms": self.starts, "sequence": 1}
        self.write()

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def leave(self, name):
        values = self.live.pop(name, None)
        if values is not None:
            self.left.add((name, values["started_ms"]))
            self.store.records.pop(name, None)

    @stateful.rule()
    def configure(self):
        self.lost_version += 1
        self.write()

    @stateful.rule()
    def write(self):
        """All heartbeats, and again what the store has lost."""
        for values in self.live.values():
            values["sequence"] += 1
        self.store.records = {
            name: dict(values) for name, values in self.live.items()
        }
        self.store.version = self.lost_version

    @stateful.rule()
    def save(self):
        self.saved = self.store.copy()

    @stateful.rule()
    def drill(self):
        era = self.store.era
        self.store = self.saved.copy()
        self.store.era = era + 1

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def leave_after_the_copy(self, name):
        """The copy shows a later heartbeat than the entries have read."""
        self.write()
        self.save()
        self.leave(name)
        self.read(1.2)
        self.ask()
        self.drill()
        self.read(1.2)
        self.ask()

    @stateful.rule(gap=strategies.sampled_from([0.3, 1.2, 3.0]))
    def read(self, gap):
        self.now += gap
        contents = self.store.contents()
        self.late.append((contents, self.now))
        self.reader.publish(contents, self.now)
        self.check(self.reader)

    @stateful.rule()
    def ask(self):
        update = self.reader.state.changes_since(
            self.mirror.epoch, self.mirror.revision, self.now
        )
        if update is not None:
            contents = self.mirror.apply(update)
            self.follower.publish(contents, self.now - update.age_s)
            self.check(self.follower)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=strategies.integers(0, 20))
    def deliver_late(self, index):
        """An earlier era's read arrives late, with a time that is too new."""
        contents, read_at = self.late[index % len(self.late)]
        if contents.era < self.store.era:
            read_at = self.now + 0.01
        self.reader.publish(contents, read_at)
        self.check(self.reader)

    def check(self, entry):
        usable = entry.usable()
        assert not usable & entry.ended
        entry.ended |= (entry.used & self.left) - usable
        entry.used |= usable
        assert entry.configuration.version >= entry.version
        entry.version = entry.configuration.version

    @stateful.rule()
    def settle(self):
        for _ in range(int(SETTLED_S)):
            self.write()
            self.read(1.2)
            self.ask()
        live = {
            (name, values["started_ms"]) for name, values in self.live.items()
        }
        for entry in (self.reader, self.follower):
            assert entry.usable() == live
            assert entry.configuration.version == self.lost_version


DrillMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestDrills = DrillMachine.TestCase
