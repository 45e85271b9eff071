"""Tests of shared state: a mirror must equal what was read."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.membership import registered_peers
from sesamevale.policy.membership import shared_state
from tests.builders import gateway

PEER = registered_peers.Peer("e-2", "there", "10.0.0.2", 80, 90)


def contents(*upstreams, version=1, peers=(), era=0):
    return shared_state.StoreContents(
        gateway.configuration(version), tuple(upstreams), tuple(peers), era=era
    )


def test_there_is_no_update_before_the_first_read():
    assert shared_state.SharedState(1).changes_since(0, 0, 0.0) is None


def test_an_older_read_is_ignored():
    state = shared_state.SharedState(1)
    assert state.record_read(contents(version=2), 5.0)
    assert not state.record_read(contents(version=1), 4.0)
    assert state.changes_since(0, 0, 6.0).configuration.version == 2


# Guards against judging by time alone: the store may come back older.
def test_a_read_of_an_earlier_era_that_arrives_late_is_ignored():
    state = shared_state.SharedState(1)
    assert state.record_read(contents(era=4), 5.0)
    assert not state.record_read(contents(era=3), 6.0)
    assert state.record_read(contents(era=5), 4.9)
    assert state.changes_since(0, 0, 6.0).era == 5


def test_a_configuration_does_not_go_back_with_the_store():
    state = shared_state.SharedState(1)
    state.record_read(contents(version=7, era=4), 5.0)
    state.record_read(contents(version=6, era=5), 6.0)
    assert state.changes_since(0, 0, 6.0).configuration.version == 7
    state.record_read(contents(version=8, era=5), 7.0)
    assert state.changes_since(0, 0, 7.0).configuration.version == 8


def test_heartbeats_alone_are_not_passed_on():
    state = shared_state.SharedState(1)
    state.record_read(contents(gateway.upstream(sequence=1)), 1.0)
    state.record_read(contents(gateway.upstream(sequence=2)), 2.0)
    update = state.changes_since(1, 1, 2.5)
    assert update.changed == ()
    assert update.age_s == 0.5


def test_a_drain_is_passed_on():
    state = shared_state.SharedState(1)
    state.record_read(contents(gateway.upstream(sequence=1)), 1.0)
    state.record_read(
        contents(gateway.upstream(sequence=2, draining=True)), 2.0
    )
    (changed,) = state.changes_since(1, 1, 2.0).changed
    assert changed.draining


# Entries that ask another one used upstreams that had turned cold.
def test_coldness_is_passed_on_and_its_decline_is_not():
    state = shared_state.SharedState(1)
    passed_on = []
    for sequence, warmup_s in enumerate([0.0, 3.0, 2.0, 1.0, 2.5, 1.5, 0.0]):
        record = gateway.upstream(sequence=sequence, warmup_s=warmup_s)
        state.record_read(contents(record), float(sequence + 1))
        update = state.changes_since(1, sequence, 9.0)
        passed_on += [each.warmup_s for each in update.changed if sequence > 0]
    assert passed_on == [3.0, 2.5]


def test_a_newcomer_gets_the_newest_rest_of_a_warm_up():
    state = shared_state.SharedState(1)
    for sequence, warmup_s in ((1, 3.0), (2, 1.0)):
        record = gateway.upstream(sequence=sequence, warmup_s=warmup_s)
        state.record_read(contents(record), float(sequence))
    (found,) = state.changes_since(0, 0, 3.0).changed
    assert (found.sequence, found.warmup_s) == (2, 1.0)


def test_changes_of_another_process_are_not_applied():
    mirror = shared_state.Mirror()
    first, second = shared_state.SharedState(1), shared_state.SharedState(2)
    first.record_read(contents(gateway.upstream("u-1")), 1.0)
    second.record_read(contents(gateway.upstream("u-2")), 1.0)
    mirror.apply(first.changes_since(0, 0, 1.0))
    second.record_read(
        contents(gateway.upstream("u-2"), gateway.upstream("u-3")), 2.0
    )
    assert mirror.apply(second.changes_since(2, 1, 2.0)) is None
    found = mirror.apply(
        second.changes_since(mirror.epoch, mirror.revision, 2.0)
    )
    assert {each.upstream_id for each in found.upstreams} == {"u-2", "u-3"}


class MirrorMachine(stateful.RuleBasedStateMachine):
    """Reads, restarts the reader and fetches updates in any order."""

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.epoch = 1
        self.state = shared_state.SharedState(1)
        self.mirror = shared_state.Mirror()
        self.latest = None

    @stateful.rule(
        draining=strategies.dictionaries(
            strategies.sampled_from("abcd"), strategies.booleans()
        ),
        version=strategies.integers(1, 3),
        peers=strategies.booleans(),
    )
    def read(self, draining, version, peers):
        self.now += 1.0
        self.latest = contents(
            *(
                gateway.upstream(name, draining=each, sequence=int(self.now))
                for name, each in draining.items()
            ),
            version=version,
            peers=(PEER,) if peers else (),
        )
        self.state.record_read(self.latest, self.now)

    @stateful.rule()
    def restart(self):
        self.epoch += 1
        self.state = shared_state.SharedState(self.epoch)
        self.latest = None

    @stateful.rule()
    def ask(self):
        update = self.state.changes_since(
            self.mirror.epoch, self.mirror.revision, self.now
        )
        if self.latest is None:
            assert update is None
            return
        found = self.mirror.apply(update)
        assert found.configuration == self.latest.configuration
        assert found.peers == self.latest.peers
        assert {
            (each.upstream_id, each.draining) for each in found.upstreams
        } == {
            (each.upstream_id, each.draining) for each in self.latest.upstreams
        }


MirrorMachine.TestCase.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=30, deadline=None
)
TestMirror = MirrorMachine.TestCase
