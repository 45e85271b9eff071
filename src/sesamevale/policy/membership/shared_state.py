"""Contents of the store, shared between the entries of a data centre.

Heartbeats have no effect on requests, so they are not passed on: an upstream
counts as changed when more than its heartbeat changes, or when it turns cold.
"""

from __future__ import annotations

import dataclasses

from sesamevale import routes
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.membership import store_view

__all__ = ["Mirror", "SharedState", "StoreContents", "Update"]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreContents:
    """Result of one complete read of the store.

    Attributes:
        configuration: The configuration, if there is a valid one.
        upstreams: Upstreams whose records are valid.
        peers: Entries that are registered.
        evacuated: Data centres whose upstreams are to get nothing more.
        era: Number of the store's history; it rises when the store comes back
            older than it was. 0 if the store does not say.
    """

    configuration: routes.Configuration | None
    upstreams: tuple[routes.UpstreamRecord, ...]
    peers: tuple[registered_peers.Peer, ...]
    evacuated: frozenset[str] = frozenset()
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Changes since a revision of the sender.

    Attributes:
        epoch: Number of the sender's process.
        revision: Revision after the changes.
        age_s: Seconds since the sender's read of the store was sent.
        is_full: Whether it holds the full state rather than changes.
        configuration: The configuration, if it has changed.
        changed: Upstreams that are new or have changed.
        removed: Identifiers of removed upstreams.
        peers: Registered entries, if they have changed.
        evacuated: Data centres whose upstreams are to get nothing more, if
            they have changed.
        era: Number of the store's history.
    """

    epoch: int
    revision: int
    age_s: float
    is_full: bool
    configuration: routes.Configuration | None
    changed: tuple[routes.UpstreamRecord, ...]
    removed: tuple[str, ...]
    peers: tuple[registered_peers.Peer, ...] | None
    evacuated: frozenset[str] | None = None
    era: int = 0


class SharedState:
    """Newest contents of the store, with the revision of each change.

    Args:
        epoch: Number of this process.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._revision = 0
        self._read_at: float | None = None
        self._configuration: tuple[int, routes.Configuration | None] = (0, None)
        self._peers: tuple[int, tuple[registered_peers.Peer, ...]] = (0, ())
        self._evacuated: tuple[int, frozenset[str]] = (0, frozenset())
        self._era = 0
        # Version of the configuration at the last change of the era.
        self._lowest_version = 0
        self._upstreams: dict[str, tuple[int, routes.UpstreamRecord]] = {}
        self._removed: dict[str, int] = {}

    @property
    def read_at(self) -> float | None:
        """When the newest read of the store was sent; None before it."""
        return self._read_at

    def is_newer(self, contents: StoreContents, read_at: float) -> bool:
        """Whether a read is newer than the newest known one."""
        return store_view.is_newer(
            contents.era, read_at, self._era, self._read_at
        )

    def record_read(self, contents: StoreContents, read_at: float) -> bool:
        """Records a read; False if it is not newer than the last one.

        Args:
            contents: Result of the read, made here or by another entry.
            read_at: When the read was sent, in monotonic seconds.
        """
        if not self.is_newer(contents, read_at):
            return False
        self._read_at = read_at
        self._revision += 1
        revision = self._revision
        self._record_era(contents.era)
        if self._replaces_configuration(contents.configuration):
            self._configuration = (revision, contents.configuration)
        if contents.peers != self._peers[1]:
            self._peers = (revision, contents.peers)
        if contents.evacuated != self._evacuated[1]:
            self._evacuated = (revision, contents.evacuated)
        found = {each.upstream_id: each for each in contents.upstreams}
        for name in self._upstreams.keys() - found.keys():
            del self._upstreams[name]
            self._removed[name] = revision
        for name, record in found.items():
            self._removed.pop(name, None)
            known = self._upstreams.get(name)
            changed_at = revision
            if known is not None and not _has_changed(known[1], record):
                changed_at = known[0]
            self._upstreams[name] = (changed_at, record)
        return True

    def _record_era(self, era: int) -> None:
        known = self._configuration[1]
        if era > self._era and known is not None:
            self._lowest_version = known.version
        self._era = max(era, self._era)

    def _replaces_configuration(
        self, found: routes.Configuration | None
    ) -> bool:
        """Whether a configuration is another, not lost with an era."""
        version = 0 if found is None else found.version
        return version >= self._lowest_version and (
            found != self._configuration[1]
        )

    def changes_since(
        self, epoch: int, revision: int, now: float
    ) -> Update | None:
        """Returns the changes since a revision; None before the first read.

        Args:
            epoch: Number of the process that the revision belongs to.
            revision: Revision that the requester has.
            now: Monotonic time in seconds.
        """
        if self._read_at is None:
            return None
        is_full = epoch != self._epoch or not 0 < revision <= self._revision
        after = 0 if is_full else revision
        changed_at, configuration = self._configuration
        peers_at, peers = self._peers
        evacuated_at, evacuated = self._evacuated
        return Update(
            epoch=self._epoch,
            revision=self._revision,
            age_s=now - self._read_at,
            is_full=is_full,
            configuration=configuration if changed_at > after else None,
            changed=tuple(
                record for at, record in self._upstreams.values() if at > after
            ),
            removed=tuple(
                name for name, at in self._removed.items() if at > after
            ),
            peers=peers if peers_at > after else None,
            evacuated=evacuated if evacuated_at > after else None,
            era=self._era,
        )


class Mirror:
    """Copy of another entry's shared state, built from its updates."""

    def __init__(self) -> None:
        self._epoch = 0
        self._revision = 0
        self._configuration: routes.Configuration | None = None
        self._upstreams: dict[str, routes.UpstreamRecord] = {}
        self._peers: tuple[registered_peers.Peer, ...] = ()
        self._evacuated: frozenset[str] = frozenset()

    @property
    def epoch(self) -> int:
        """Number of the mirrored process; 0 for none."""
        return self._epoch

    @property
    def revision(self) -> int:
        """Revision of the last update that was applied."""
        return self._revision

    def apply(self, update: Update) -> StoreContents | None:
        """Applies an update and returns the other entry's contents.

        Returns None, and leaves the copy as it was, if the update holds
        changes to the state of another process.
        """
        if update.is_full:
            self._upstreams.clear()
            self._configuration = None
            self._peers = ()
            self._evacuated = frozenset()
        elif update.epoch != self._epoch:
            return None
        self._epoch, self._revision = update.epoch, update.revision
        if update.configuration is not None:
            self._configuration = update.configuration
        if update.peers is not None:
            self._peers = update.peers
        if update.evacuated is not None:
            self._evacuated = update.evacuated
        for name in update.removed:
            self._upstreams.pop(name, None)
        for record in update.changed:
            self._upstreams[record.upstream_id] = record
        return StoreContents(
            self._configuration,
            tuple(self._upstreams.values()),
            self._peers,
            self._evacuated,
            update.era,
        )


def _has_changed(
    known: routes.UpstreamRecord, record: routes.UpstreamRecord
) -> bool:
    """Whether a record has changed in what affects requests.

    The rest of a warm-up falls with the time, so only its rise is a change.
    """
    if record.warmup_s > known.warmup_s:
        return True
    without_heartbeat = dataclasses.replace(
        record, sequence=known.sequence, warmup_s=known.warmup_s
    )
    return without_heartbeat != known
