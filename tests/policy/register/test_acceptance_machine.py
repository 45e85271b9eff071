"""Stateful fuzzing of the acceptance of documents.

It covers concurrent submissions and writes that are lost or arrive late.
"""

from __future__ import annotations

import asyncio
import itertools

from hypothesis import stateful
from hypothesis import strategies as st

from sesamevale.etcd import client
from sesamevale.etcd import keys
from sesamevale.etcd import manifests
from sesamevale.etcd import store
from tests.builders import etcd
from tests.builders import hypothesis_settings

FAULTS = st.lists(
    st.sampled_from(["ok", "ok", "refused", "lost", "late", "arrive"]),
    max_size=8,
)


class AcceptanceMachine(stateful.RuleBasedStateMachine):
    """Operators read a base and submit against it at some later time."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = etcd.FaultyKeyValueClient()
        self.documents = store.DocumentStore(
            self.platform, "test", clock=lambda: 1000.0
        )
        self.bases: list[store.Head] = [store.Head(None, 0)]
        self.outcomes: list[store.SubmitOutcome] = []
        self.count = 0

    @stateful.rule()
    def read_base(self) -> None:
        self.platform.faults.clear()
        head = asyncio.run(self.documents.head())
        assert isinstance(head, store.Head)
        self.bases.append(head)

    @stateful.rule(pick=st.integers(0, 1000), faults=FAULTS)
    def submit(self, pick, faults) -> None:
        base = self.bases[pick % len(self.bases)]
        self.count += 1
        self.platform.faults.extend(faults)
        parts = {"settings": f"content {self.count}".encode()}
        outcome = asyncio.run(self.documents.submit(parts, base, "test"))
        self.outcomes.append(outcome)
        self.check(outcome)

    def check(self, outcome: store.SubmitOutcome) -> None:
        if isinstance(outcome, store.Accepted):
            assert outcome.manifest.change_id in self.changes_in_effect()
            digests = outcome.manifest.digests
            self.platform.faults.clear()
            found = asyncio.run(self.documents.parts(digests))
            assert not isinstance(found, client.Unavailable)
            assert found.keys() == digests

    def changes_in_effect(self) -> list[str]:
        """Returns the changes that took effect, in order of revision."""
        prefix = keys.history_prefix("test")
        found = [
            manifests.load_manifest(stored.value)
            for key, stored in sorted(self.platform.keys.items())
            if key.startswith(prefix)
        ]
        return [manifest.change_id for manifest in found]

    @stateful.invariant()
    def revisions_grow_by_base(self) -> None:
        self.platform.faults.clear()
        history = asyncio.run(self.documents.history())
        assert not isinstance(history, client.Unavailable)
        for older, newer in itertools.pairwise(history):
            assert newer.base == older.revision, "a change was overwritten"

    def teardown(self) -> None:
        """Checks that no refused change takes effect, not even late."""
        self.platform.apply_late_writes()
        changes_in_effect = self.changes_in_effect()
        for outcome in self.outcomes:
            if isinstance(outcome, store.Accepted):
                assert outcome.manifest.change_id in changes_in_effect
        accepted = {
            outcome.manifest.change_id
            for outcome in self.outcomes
            if isinstance(outcome, store.Accepted)
        }
        undecided = {
            outcome.change_id
            for outcome in self.outcomes
            if isinstance(outcome, store.OutcomeUnknown)
        }
        assert set(changes_in_effect) <= accepted | undecided


TestAcceptance = AcceptanceMachine.TestCase
TestAcceptance.settings = hypothesis_settings.machine_settings(200, 12)
