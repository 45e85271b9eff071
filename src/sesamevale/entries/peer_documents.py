"""Transfer of documents between entries; only missing parts are sent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeAlias

from sesamevale import sockets
from sesamevale.entries import codec
from sesamevale.entries.wire import ttypes as wire
from sesamevale.etcd import document_task
from sesamevale.etcd import manifests

if TYPE_CHECKING:
    from sesamevale.policy.configuration import document_follower
    from sesamevale.policy.membership import membership_types

__all__ = ["DocumentAnswer", "fetch_document", "make_answer"]

FETCH_TIMEOUT_S = 2.0

DocumentAnswer: TypeAlias = wire.DocumentAnswer


def make_answer(
    follower: document_follower.DocumentFollower,
    above_revision: int,
    known: frozenset[str],
) -> DocumentAnswer:
    """Returns the document in force, without the parts that are known.

    The answer is empty if the document is not above the known revision.

    Args:
        follower: Holds the document.
        above_revision: Revision that the requester has.
        known: Digests of the parts that the requester has.
    """
    manifest = follower.manifest
    if manifest is None or manifest.revision <= above_revision:
        return DocumentAnswer(revision=0, manifest=b"", parts=[])
    parts = [
        wire.DocumentPart(digest, follower.content(digest))
        for digest in sorted(manifest.digests - known)
    ]
    content = manifests.dump_manifest(manifest)
    return DocumentAnswer(manifest.revision, content, parts)


async def fetch_document(
    member: membership_types.Member, above_revision: int, known: frozenset[str]
) -> document_task.PeerDocument | None:
    """Fetches the document of an entry.

    Args:
        member: The entry.
        above_revision: Revision in force here.
        known: Digests of the parts whose content is held here.

    Returns:
        The document, or None if the entry has no newer one or sends no valid
        answer in time. Parts that do not match their digest are left out.
    """
    stream = await sockets.connect(
        member.host, member.peer_port, FETCH_TIMEOUT_S
    )
    if stream is None:
        return None
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            frames = codec.FrameStream(stream)
            request = wire.DocumentRequest(above_revision, sorted(known))
            frames.write(wire.Frame(document_request=request))
            frame = await frames.read()
    except TimeoutError:
        return None
    finally:
        stream.abort()
    received = None if frame is None else frame.document_answer
    if received is None or not received.revision:
        return None
    manifest = manifests.load_manifest(received.manifest)
    if manifest is None:
        return None
    parts = {
        part.digest: part.content
        for part in received.parts
        if manifests.digest_of(part.content) == part.digest
    }
    return document_task.PeerDocument(manifest, parts)
