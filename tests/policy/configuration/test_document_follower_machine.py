"""Stateful tests of the document follower: revisions never decrease."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

from sesamevale.policy.configuration import document_follower
from tests.builders import hypothesis_settings
from tests.builders import policy_values

SOURCES = (document_follower.Source.PLATFORM, document_follower.Source.PEER)


class FollowerMachine(stateful.RuleBasedStateMachine):
    """Delivers manifests and parts late, twice, out of order or never."""

    def __init__(self) -> None:
        super().__init__()
        self.follower = document_follower.DocumentFollower("test")
        self.accepted: list[document_follower.Manifest] = []
        self.applied: list[int] = []
        self.restored: list[int] = []
        self.highest_seen = 0

    def check_effects(
        self, effects: list[document_follower.FollowerEffect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, document_follower.ApplyDocument):
                parts = {name: value.decode() for name, value in effect.parts}
                assert parts == dict(effect.manifest.parts)
                self.applied.append(effect.manifest.revision)
            elif isinstance(effect, document_follower.RestorePlatform):
                assert effect.manifest.revision == self.follower.revision
                assert effect.seen_revision < self.follower.revision
                digests = {digest for digest, _ in effect.parts}
                assert digests == effect.manifest.digests
                self.restored.append(effect.seen_revision)

    @stateful.rule(
        step=st.integers(1, 3), shared=st.integers(0, 2), own=st.integers(0, 2)
    )
    def accept(self, step, shared, own) -> None:
        base = self.accepted[-1].revision if self.accepted else 0
        parts = {"settings": f"s{shared}", "service/a": f"a{own}"}
        self.accepted.append(policy_values.manifest(base + step, parts, base))

    @stateful.precondition(lambda self: self.accepted)
    @stateful.rule(pick=st.integers(0, 1000), source=st.sampled_from(SOURCES))
    def manifest_arrives(self, pick, source) -> None:
        manifest = self.accepted[pick % len(self.accepted)]
        self.highest_seen = max(self.highest_seen, manifest.revision)
        self.check_effects(self.follower.manifest_seen(manifest, source))

    @stateful.precondition(lambda self: self.accepted)
    @stateful.rule(pick=st.integers(0, 1000), source=st.sampled_from(SOURCES))
    def parts_arrive(self, pick, source) -> None:
        manifest = self.accepted[pick % len(self.accepted)]
        contents = {digest: digest.encode() for digest in manifest.digests}
        self.check_effects(self.follower.parts_received(contents, source))

    @stateful.invariant()
    def never_goes_back(self) -> None:
        assert self.applied == sorted(set(self.applied))
        in_force = self.applied[-1] if self.applied else 0
        assert self.follower.revision == in_force

    def teardown(self) -> None:
        """Checks that the newest document, once complete, is in force."""
        if not self.accepted:
            return
        newest = self.accepted[-1]
        source = document_follower.Source.PLATFORM
        self.check_effects(self.follower.manifest_seen(newest, source))
        contents = {digest: digest.encode() for digest in newest.digests}
        self.check_effects(self.follower.parts_received(contents, source))
        assert self.follower.revision == newest.revision


TestFollower = FollowerMachine.TestCase
TestFollower.settings = hypothesis_settings.machine_settings(200, 30)


def test_other_environment_is_refused():
    follower = document_follower.DocumentFollower("production")
    manifest = policy_values.manifest(5)
    assert not follower.manifest_seen(
        manifest, document_follower.Source.PLATFORM
    )
    assert follower.revision == 0
