"""Submits and reads documents in the key-value service."""

from __future__ import annotations

import dataclasses
import time
import uuid
from typing import TYPE_CHECKING

from sesamevale.etcd import client
from sesamevale.etcd import keys
from sesamevale.etcd import manifests
from sesamevale.policy.configuration import document_follower

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

ATTEMPTS_MAX = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Manifest in force in the key-value service.

    Attributes:
        manifest: The manifest; None before the first accepted change or if it
            is malformed.
        mod_revision: Revision of the key-value service at the last write of
            the manifest; 0 if there is none.
    """

    manifest: document_follower.Manifest | None
    mod_revision: int

    @property
    def revision(self) -> int:
        """Document revision of the manifest; 0 if it is None."""
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
    """The key-value service is unreachable; the change had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """It could not be determined whether the change took effect.

    Attributes:
        change_id: Identifier by which the change can be looked up later.
        revision: Revision of the change if it took effect.
    """

    change_id: str
    revision: int


SubmitOutcome = Accepted | Conflict | Unreachable | OutcomeUnknown


class DocumentStore:
    """Documents of one environment in the key-value service.

    Args:
        kv_client: Client of the key-value service.
        environment: Name of the environment.
        clock: Returns the time in seconds since the epoch.
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
        record = await self._kv_client.get(keys.manifest(self._environment))
        if isinstance(record, client.Unavailable):
            return record
        if record is None:
            return Head(None, 0)
        return Head(manifests.load_manifest(record.value), record.mod_revision)

    async def manifest_mod_revision(self) -> int | client.Unavailable:
        """Reads the service's revision at the last write of the manifest."""
        return await self._kv_client.mod_revision(
            keys.manifest(self._environment)
        )

    async def parts(
        self, digests: frozenset[str]
    ) -> dict[str, bytes] | client.Unavailable:
        """Reads parts, without those that are missing or fail their digest."""
        contents = {}
        for digest in sorted(digests):
            record = await self._kv_client.get(
                keys.part(self._environment, digest)
            )
            if isinstance(record, client.Unavailable):
                return record
            if record is None:
                continue
            if manifests.digest_of(record.value) == digest:
                contents[digest] = record.value
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
        loaded = [manifests.load_manifest(each.value) for each in found]
        return [manifest for manifest in loaded if manifest is not None]

    async def submit(
        self, parts: dict[str, bytes], base: Head, author: str
    ) -> SubmitOutcome:
        """Submits a change that is based on a manifest.

        Args:
            parts: Content by part name.
            base: Manifest that the change is based on.
            author: Name of the submitter.
        """
        now_s = int(self._clock())
        part_digests = {
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
            tuple(sorted(part_digests.items())),
        )
        contents = {
            manifests.digest_of(content): content for content in parts.values()
        }
        if not await self.put_parts(contents, base):
            return Unreachable()
        return await self.commit(manifest, base)

    async def put_parts(self, contents: dict[str, bytes], base: Head) -> bool:
        """Writes the parts that the base lacks; False if a write failed."""
        known: frozenset[str] = frozenset()
        if base.manifest is not None:
            known = base.manifest.digests
        for digest in sorted(contents.keys() - known):
            put = client.Put(
                keys.part(self._environment, digest), contents[digest]
            )
            if not await self._put_with_retries(put):
                return False
        return True

    async def _put_with_retries(self, put: client.Put) -> bool:
        """Writes a part; retries if the answer was lost."""
        for _ in range(ATTEMPTS_MAX):
            written = await self._kv_client.write([], [put])
            if not isinstance(written, client.Unavailable):
                return written
            if not written.may_have_executed:
                return False
        return False

    async def commit(
        self, manifest: document_follower.Manifest, base: Head
    ) -> SubmitOutcome:
        """Puts a manifest in force if the base is still in force."""
        content = manifests.dump_manifest(manifest)
        manifest_key = keys.manifest(self._environment)
        history_key = keys.history(self._environment, manifest.revision)
        compares = [client.Compare(manifest_key, base.mod_revision)]
        puts = [
            client.Put(manifest_key, content),
            client.Put(history_key, content),
        ]
        may_have_taken_effect = False
        for _ in range(ATTEMPTS_MAX):
            written = await self._kv_client.write(compares, puts)
            if written is True:
                return Accepted(manifest)
            if written is False:
                return await self._resolve_failed_compare(manifest)
            may_have_taken_effect |= written.may_have_executed
            if not may_have_taken_effect:
                return Unreachable()
        return OutcomeUnknown(manifest.change_id, manifest.revision)

    async def find_change(
        self, change_id: str, revision: int
    ) -> document_follower.Manifest | client.Unavailable | None:
        """Looks up a change; None if it has not taken effect."""
        key = keys.history(self._environment, revision)
        record = await self._kv_client.get(key)
        if isinstance(record, client.Unavailable) or record is None:
            return record
        found = manifests.load_manifest(record.value)
        if found is None or found.change_id != change_id:
            return None
        return found

    async def _resolve_failed_compare(
        self, manifest: document_follower.Manifest
    ) -> SubmitOutcome:
        """Distinguishes an earlier effect of the same change from a conflict.

        A write whose answer was lost is sent again. If the first attempt took
        effect, the condition of the second one fails, and the history contains
        the change under its ``change_id``.
        """
        for _ in range(ATTEMPTS_MAX):
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
