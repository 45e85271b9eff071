"""Choice of the document that is in force at an entry."""

from __future__ import annotations

import dataclasses
import enum

__all__ = [
    "ApplyDocument",
    "DocumentFollower",
    "FetchParts",
    "FollowerEffect",
    "Manifest",
    "RestorePlatform",
    "Source",
]


class Source(enum.Enum):
    """Origin of a manifest."""

    PLATFORM = "platform"
    PEER = "peer"
    FILE = "file"


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """One accepted change: which parts make up the document.

    Attributes:
        environment: Name of the environment.
        revision: Number of the change; grows with each accepted change.
        change_id: Identity of the change.
        base: Revision that the change was made from; 0 for the first.
        author: Who submitted the change.
        time_s: Time of submission, seconds since the epoch.
        parts: Digest by part name.
    """

    environment: str
    revision: int
    change_id: str
    base: int
    author: str
    time_s: int
    parts: tuple[tuple[str, str], ...]

    @property
    def digests(self) -> frozenset[str]:
        """Digests of all parts."""
        return frozenset(digest for _, digest in self.parts)


@dataclasses.dataclass(frozen=True, slots=True)
class FetchParts:
    """Effect: fetch the parts whose content is missing."""

    source: Source
    digests: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyDocument:
    """Effect: put a document in force.

    Attributes:
        manifest: Its manifest.
        parts: Content by part name.
    """

    manifest: Manifest
    parts: tuple[tuple[str, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RestorePlatform:
    """Effect: write a newer manifest back to a platform that lost it.

    Attributes:
        manifest: The manifest in force.
        parts: Content by digest.
        seen_revision: The older revision that was read from the platform.
    """

    manifest: Manifest
    parts: tuple[tuple[str, bytes], ...]
    seen_revision: int


FollowerEffect = FetchParts | ApplyDocument | RestorePlatform


class DocumentFollower:
    """Decides which document is in force at one entry.

    The revision in force never goes down, whatever order manifests and parts
    arrive in and wherever they come from.

    Args:
        environment: Name of the environment that is followed.
    """

    def __init__(self, environment: str) -> None:
        self._environment = environment
        self._current: Manifest | None = None
        self._target: Manifest | None = None
        self._contents: dict[str, bytes] = {}

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first document."""
        return self._current.revision if self._current is not None else 0

    @property
    def manifest(self) -> Manifest | None:
        """Manifest of the document in force."""
        return self._current

    @property
    def known_digests(self) -> frozenset[str]:
        """Digests of the parts whose content is held."""
        return frozenset(self._contents)

    def content(self, digest: str) -> bytes | None:
        """Returns the content of a part; None if it is not held."""
        return self._contents.get(digest)

    def manifest_seen(
        self, manifest: Manifest, source: Source
    ) -> list[FollowerEffect]:
        """Handles a manifest from any source."""
        if manifest.environment != self._environment:
            return []
        current = self._current
        if current is not None and manifest.revision < current.revision:
            return self._restore(manifest, source)
        if manifest.revision <= self.revision:
            return []
        target = self._target
        if target is None or manifest.revision > target.revision:
            self._target = manifest
        return self._advance(source)

    def parts_received(
        self, contents: dict[str, bytes], source: Source
    ) -> list[FollowerEffect]:
        """Stores needed parts; puts the document in force once it is complete.

        Args:
            contents: Content by digest; the digests have been checked.
            source: Origin of the parts.
        """
        if self._target is None:
            return []
        wanted = self._target.digests
        for digest, content in contents.items():
            if digest in wanted:
                self._contents[digest] = content
        return self._advance(source, fetch=False)

    def _advance(
        self, source: Source, *, fetch: bool = True
    ) -> list[FollowerEffect]:
        target = self._target
        if target is None:
            return []
        missing = target.digests - self._contents.keys()
        if missing:
            return [FetchParts(source, frozenset(missing))] if fetch else []
        self._current = target
        self._target = None
        wanted = target.digests
        self._contents = {
            digest: content
            for digest, content in self._contents.items()
            if digest in wanted
        }
        parts = tuple(
            (name, self._contents[digest]) for name, digest in target.parts
        )
        return [ApplyDocument(target, parts)]

    def _restore(self, seen: Manifest, source: Source) -> list[FollowerEffect]:
        current = self._current
        if source is not Source.PLATFORM or current is None:
            return []
        parts = tuple(
            (digest, self._contents[digest])
            for digest in sorted(current.digests)
        )
        return [RestorePlatform(current, parts, seen.revision)]
