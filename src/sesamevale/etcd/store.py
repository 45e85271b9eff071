"""Documents in the platform's service: accepting changes and reading them."""

from __future__ import annotations

import dataclasses
import time
import uuid
from typing import TYPE_CHECKING

from sesamevale.etcd import client
from sesamevale.etcd import keys
from sesamevale.etcd import manifests
from sesamevale.policy import document_follower

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "Accepted",
    "Conflict",
    "DocumentStore",
    "Head",
    "OutcomeUnknown",
    "SubmitOutcome",
    "Unreachable",
]

COMMIT_TRIES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Manifest in force in the platform.

    Attributes:
        manifest: The manifest; None if no change was ever accepted.
        mod_revision: Platform revision of its last write; 0 if none.
    """

    manifest: document_follower.Manifest | None
    mod_revision: int

    @property
    def revision(self) -> int:
        """Revision of the manifest; 0 if there is none."""
        return self.manifest.revision if self.manifest is not None else 0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change took effect."""

    manifest: document_follower.Manifest


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another change was accepted first; this one did not take effect."""

    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The platform cannot be reached; the change did not take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Whether the change took effect could not be found out yet.

    Attributes:
        change_id: Identity by which the change can be looked up later.
        revision: Revision that it has if it took effect.
    """

    change_id: str
    revision: int


SubmitOutcome = Accepted | Conflict | Unreachable | OutcomeUnknown


class DocumentStore:
    """Documents of one environment.

    Args:
        kv_client: Client of the service.
        environment: Name of the environment.
        clock: Source of the time in seconds since the epoch.
    """

    def __init__(
        self,
        kv_client: client.KeyValueClient,
        environment: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._kv_client = kv_client
        self._environment = environment
        self._clock = clock

    async def head(self) -> Head | client.Unavailable:
        """Reads the manifest in force."""
        stored = await self._kv_client.get(keys.manifest(self._environment))
        if isinstance(stored, client.Unavailable):
            return stored
        if stored is None:
            return Head(None, 0)
        return Head(manifests.load_manifest(stored.value), stored.mod_revision)

    async def manifest_mod_revision(self) -> int | client.Unavailable:
        """Reads the platform revision of the manifest's last write."""
        return await self._kv_client.mod_revision(
            keys.manifest(self._environment)
        )

    async def parts(
        self, digests: frozenset[str]
    ) -> dict[str, bytes] | client.Unavailable:
        """Reads parts and checks their digests; missing ones are left out."""
        contents = {}
        for digest in sorted(digests):
            stored = await self._kv_client.get(
                keys.part(self._environment, digest)
            )
            if isinstance(stored, client.Unavailable):
                return stored
            if stored is None:
                continue
            if manifests.digest_of(stored.value) == digest:
                contents[digest] = stored.value
        return contents

    async def history(
        self,
    ) -> list[document_follower.Manifest] | client.Unavailable:
        """Reads the manifests of all accepted changes, oldest first."""
        found = await self._kv_client.read_all(
            keys.history_prefix(self._environment)
        )
        if isinstance(found, client.Unavailable):
            return found
        read = [manifests.load_manifest(each.value) for each in found]
        return [manifest for manifest in read if manifest is not None]

    async def submit(
        self, parts: dict[str, bytes], base: Head, author: str
    ) -> SubmitOutcome:
        """Submits a change that was made from a base.

        Args:
            parts: Content by part name.
            base: Manifest that the change was made from.
            author: Who submits the change.
        """
        now_s = int(self._clock())
        named = {
            name: manifests.digest_of(content)
            for name, content in parts.items()
        }
        manifest = document_follower.Manifest(
            self._environment,
            max(base.revision + 1, now_s),
            uuid.uuid4().hex,
            base.revision,
            author,
            now_s,
            tuple(sorted(named.items())),
        )
        contents = {
            manifests.digest_of(content): content for content in parts.values()
        }
        if not await self.put_parts(contents, base):
            return Unreachable()
        return await self.commit(manifest, base)

    async def put_parts(self, contents: dict[str, bytes], base: Head) -> bool:
        """Writes the parts that the base does not have; False if it failed."""
        known: frozenset[str] = frozenset()
        if base.manifest is not None:
            known = base.manifest.digests
        for digest in sorted(contents.keys() - known):
            put = client.Put(
                keys.part(self._environment, digest), contents[digest]
            )
            if not await self._put_again_until_answered(put):
                return False
        return True

    async def _put_again_until_answered(self, put: client.Put) -> bool:
        """Writes a part; a lost answer is met by writing it once more."""
        for _ in range(COMMIT_TRIES):
            written = await self._kv_client.write([], [put])
            if not isinstance(written, client.Unavailable):
                return written
            if not written.may_have_executed:
                return False
        return False

    async def commit(
        self, manifest: document_follower.Manifest, base: Head
    ) -> SubmitOutcome:
        """Puts a manifest in force if the base still is."""
        content = manifests.dump_manifest(manifest)
        manifest_key = keys.manifest(self._environment)
        history_key = keys.history(self._environment, manifest.revision)
        compares = [client.Compare(manifest_key, base.mod_revision)]
        puts = [
            client.Put(manifest_key, content),
            client.Put(history_key, content),
        ]
        may_have_taken_effect = False
        for _ in range(COMMIT_TRIES):
            written = await self._kv_client.write(compares, puts)
            if written is True:
                return Accepted(manifest)
            if written is False:
                return await self._explain_refusal(manifest)
            may_have_taken_effect |= written.may_have_executed
            if not may_have_taken_effect:
                return Unreachable()
        return OutcomeUnknown(manifest.change_id, manifest.revision)

    async def find_change(
        self, change_id: str, revision: int
    ) -> document_follower.Manifest | client.Unavailable | None:
        """Looks a change up; None if it has not taken effect."""
        key = keys.history(self._environment, revision)
        stored = await self._kv_client.get(key)
        if isinstance(stored, client.Unavailable) or stored is None:
            return stored
        found = manifests.load_manifest(stored.value)
        if found is None or found.change_id != change_id:
            return None
        return found

    async def _explain_refusal(
        self, manifest: document_follower.Manifest
    ) -> SubmitOutcome:
        """Tells an earlier effect of the same change from a conflict.

        A write whose answer was lost is sent again. If it took effect the
        first time, the condition fails the second time, and the history shows
        the change under its own identity.
        """
        for _ in range(COMMIT_TRIES):
            found = await self.find_change(
                manifest.change_id, manifest.revision
            )
            if isinstance(found, client.Unavailable):
                continue
            if found is not None:
                return Accepted(manifest)
            head = await self.head()
            if not isinstance(head, client.Unavailable):
                return Conflict(head)
        return OutcomeUnknown(manifest.change_id, manifest.revision)
