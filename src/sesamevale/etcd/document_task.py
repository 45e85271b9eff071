"""Task that keeps the accepted document in force at one entry."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import random
from typing import Self
from typing import TYPE_CHECKING

import pydantic
from absl import logging

from sesamevale import document_models
from sesamevale import messaging
from sesamevale.etcd import client
from sesamevale.etcd import manifests
from sesamevale.etcd import watching
from sesamevale.policy.configuration import document_follower

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sesamevale import documents
    from sesamevale import metrics
    from sesamevale.etcd import store as stores

__all__ = [
    "DocumentTask",
    "ManifestSeen",
    "Message",
    "PartsReceived",
    "PeerDocument",
    "PeerRevisionAnnounced",
]

POLL_INTERVAL_S = 3.0
PEER_RETRY_INTERVAL_S = 0.5
FETCH_RETRY_INTERVAL_S = 0.5
FETCH_ATTEMPTS_MAX = 20
RESTORE_DELAY_MAX_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDocument:
    """A document received from another entry."""

    manifest: document_follower.Manifest
    parts: dict[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestSeen:
    """A manifest was read from the key-value service or a file."""

    manifest: document_follower.Manifest
    source: document_follower.Source


@dataclasses.dataclass(frozen=True, slots=True)
class PartsReceived:
    """Parts were received and their digests verified."""

    contents: dict[str, bytes]
    source: document_follower.Source


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRevisionAnnounced:
    """Another entry announced a document revision."""

    entry_id: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerAnswered:
    entry_id: str
    document: PeerDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Poll:
    """The interval between reads of the manifest has passed."""


Message = (
    ManifestSeen | PartsReceived | PeerRevisionAnnounced | _PeerAnswered | _Poll
)


class DocumentTask(messaging.Actor[Message]):
    """Follows the document in the key-value service and the other entries.

    Args:
        follower: Decides which document is in force.
        store: Documents in the key-value service; None if a file is used.
        fetch_from_peer: Requests the document of an entry, given the entry's
            identifier, the revision it must exceed and the digests of the
            parts that are not needed.
        on_document: Called with each document that comes into force.
        recorder: Records metrics.
        rng: Source of randomness for delays.
    """

    def __init__(
        self,
        follower: document_follower.DocumentFollower,
        store: stores.DocumentStore | None,
        fetch_from_peer: Callable[
            [str, int, frozenset[str]], Awaitable[PeerDocument | None]
        ],
        on_document: Callable[[documents.Environment], None],
        recorder: metrics.MetricsRecorder,
        rng: random.Random,
    ) -> None:
        super().__init__("document")
        self._follower = follower
        self._store = store
        self._fetch_from_peer = fetch_from_peer
        self._on_document = on_document
        self._recorder = recorder
        self._rng = rng
        self._requested_peers: set[str] = set()
        self._read_mod_revision = 0
        self._read_revision = 0
        self._restoring = False
        self._fetching = False
        self._jobs: set[asyncio.Task[None]] = set()
        self._poller: asyncio.Task[None] | None = None

    @property
    def follower(self) -> document_follower.DocumentFollower:
        """The follower, for status reports; only this task modifies it."""
        return self._follower

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        if self._store is not None:
            self._poller = asyncio.create_task(self._poll_forever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._poller is not None:
            self._poller.cancel()
        for job in list(self._jobs):
            job.cancel()
        await super().__aexit__(*exc_info)

    def on_watch_message(
        self, message: watching.Snapshot | watching.KeyChanged
    ) -> None:
        """Handles a message of the watch on the manifest."""
        values = []
        if isinstance(message, watching.Snapshot):
            values = [each.value for each in message.records]
        elif message.value is not None:
            values = [message.value]
        for value in values:
            manifest = manifests.load_manifest(value)
            if manifest is not None:
                self.send(
                    ManifestSeen(manifest, document_follower.Source.PLATFORM)
                )

    def receive(self, message: Message) -> None:
        """Implements ``messaging.Actor``."""
        for effect in _receive(message, self):
            _apply(effect, self)

    def _start(self, work: Awaitable[None]) -> None:
        job = asyncio.ensure_future(work)
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    async def _poll_forever(self) -> None:
        while True:
            delay_s = POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(delay_s)
            self.send(_Poll())

    async def _read_manifest(self) -> None:
        """Reads the manifest if it changed or the last one is not in force."""
        assert self._store is not None
        mod_revision = await self._store.manifest_mod_revision()
        in_force = self._follower.revision == self._read_revision
        if in_force and mod_revision == self._read_mod_revision:
            return
        head = await self._store.head()
        if isinstance(head, client.Unavailable) or head.manifest is None:
            return
        self._read_mod_revision = head.mod_revision
        self._read_revision = head.revision
        self.send(
            ManifestSeen(head.manifest, document_follower.Source.PLATFORM)
        )

    async def _fetch(self, digests: frozenset[str]) -> None:
        """Reads parts from the key-value service, retrying for missing ones."""
        assert self._store is not None
        missing = digests
        for _ in range(FETCH_ATTEMPTS_MAX):
            found = await self._store.parts(missing)
            if not isinstance(found, client.Unavailable):
                self.send(
                    PartsReceived(found, document_follower.Source.PLATFORM)
                )
                missing = missing - found.keys()
            if not missing:
                break
            await asyncio.sleep(
                FETCH_RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            )
        self._fetching = False

    async def _request_document(self, entry_id: str) -> None:
        document = await self._fetch_from_peer(
            entry_id, self._follower.revision, self._follower.known_digests
        )
        if document is None:
            await asyncio.sleep(PEER_RETRY_INTERVAL_S)
        self.send(_PeerAnswered(entry_id, document))

    async def _restore(self, effect: document_follower.RestorePlatform) -> None:
        """Writes the newer document back if the key-value service lost it."""
        assert self._store is not None
        await asyncio.sleep(RESTORE_DELAY_MAX_S * self._rng.random())
        head = await self._store.head()
        if not isinstance(head, client.Unavailable):
            is_outdated = head.revision < effect.manifest.revision
            if is_outdated and await self._store.put_parts(
                dict(effect.parts), head
            ):
                await self._store.commit(effect.manifest, head)
                self._recorder.count("documents_restored")
                logging.warning(
                    "key-value service had revision %d; restored revision %d",
                    effect.seen_revision,
                    effect.manifest.revision,
                )
        self._restoring = False


@functools.singledispatch
def _receive(
    message: Message, task: DocumentTask
) -> list[document_follower.FollowerEffect]:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(
    message: ManifestSeen, task: DocumentTask
) -> list[document_follower.FollowerEffect]:
    return task._follower.manifest_seen(message.manifest, message.source)


@_receive.register
def _(
    message: PartsReceived, task: DocumentTask
) -> list[document_follower.FollowerEffect]:
    return task._follower.parts_received(message.contents, message.source)


@_receive.register
def _(
    message: PeerRevisionAnnounced, task: DocumentTask
) -> list[document_follower.FollowerEffect]:
    is_newer = message.revision > task._follower.revision
    if is_newer and message.entry_id not in task._requested_peers:
        task._requested_peers.add(message.entry_id)
        task._start(task._request_document(message.entry_id))
    return []


@_receive.register
def _(
    message: _PeerAnswered, task: DocumentTask
) -> list[document_follower.FollowerEffect]:
    task._requested_peers.discard(message.entry_id)
    document = message.document
    if document is None:
        return []
    task._recorder.count("documents_from_peers")
    follower = task._follower
    follower.manifest_seen(document.manifest, document_follower.Source.PEER)
    return follower.parts_received(
        document.parts, document_follower.Source.PEER
    )


@_receive.register
def _(
    message: _Poll, task: DocumentTask
) -> list[document_follower.FollowerEffect]:
    task._start(task._read_manifest())
    return []


@functools.singledispatch
def _apply(
    effect: document_follower.FollowerEffect, task: DocumentTask
) -> None:
    raise TypeError(f"no handler for {type(effect).__name__}")


@_apply.register
def _(effect: document_follower.FetchParts, task: DocumentTask) -> None:
    if task._store is not None and not task._fetching:
        task._fetching = True
        task._start(task._fetch(effect.digests))


@_apply.register
def _(effect: document_follower.ApplyDocument, task: DocumentTask) -> None:
    manifest = effect.manifest
    try:
        environment = document_models.from_parts(
            manifest.environment, manifest.revision, dict(effect.parts)
        )
    except (pydantic.ValidationError, KeyError) as error:
        task._recorder.count("documents_rejected")
        logging.error(
            "document revision %d is not valid: %s", manifest.revision, error
        )
        return
    task._recorder.count("documents_applied")
    logging.info("document revision %d is in force", manifest.revision)
    task._on_document(environment)


@_apply.register
def _(effect: document_follower.RestorePlatform, task: DocumentTask) -> None:
    if task._store is not None and not task._restoring:
        task._restoring = True
        with contextlib.suppress(RuntimeError):
            task._start(task._restore(effect))
