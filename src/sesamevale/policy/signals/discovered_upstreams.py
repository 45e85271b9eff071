"""Usable upstreams, derived from successive reads of the discovery."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale import routes

__all__ = ["DiscoveredUpstreams", "UpstreamChange"]

# Longer than the delay of any heartbeat of an upstream that has stopped.
DEPARTED_RETENTION_S = 60.0
# Longer than it takes a record to lapse that nobody writes any more.
COPY_LIFETIME_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChange:
    """Change of the state of one upstream.

    Attributes:
        upstream_id: Identifier of the upstream.
        service: Service that the upstream belongs to.
        kind: added, back, draining, gone or misplaced.
    """

    upstream_id: str
    service: str
    kind: str


@dataclasses.dataclass(slots=True)
class _TrackedUpstream:
    record: routes.UpstreamRecord
    fenced: bool
    is_missing: bool = False
    departed_at: float | None = None
    copied_until: float = float("-inf")


class DiscoveredUpstreams:
    """States of the discovered upstreams, by identifier.

    An upstream that was read as draining is fenced, which means that it gets
    no requests until a read shows that it has started again. One that is
    missing from a read is unusable at once, except for a time after an outage
    of the store, in which records may have lapsed because heartbeats were
    missed.
    """

    def __init__(self) -> None:
        self._known: dict[str, _TrackedUpstream] = {}
        self._last_read: float | None = None
        self._era = 0
        self._by_service: dict[str, tuple[routes.UpstreamRecord, ...]] = {}

    @property
    def last_read(self) -> float | None:
        """Monotonic time of the last read in seconds; None before it."""
        return self._last_read

    def usable(self, service: str) -> tuple[routes.UpstreamRecord, ...]:
        """Returns the upstreams of a service that may get requests."""
        return self._by_service.get(service, ())

    def record_read(
        self,
        records: Iterable[routes.UpstreamRecord],
        now: float,
        grace_until: float = float("-inf"),
        era: int = 0,
    ) -> list[UpstreamChange]:
        """Applies a complete read of the discovery and returns the changes.

        Args:
            records: All records that could be decoded.
            now: When the read was sent, in monotonic seconds.
            grace_until: Until when missing upstreams may be used; they are
                dropped by ``drop_missing``.
            era: Era of the store. A record of an upstream that is gone may
                come from the copy with which a new era begins.
        """
        self._last_read = now
        if era > self._era:
            self._era = era
            for known in self._known.values():
                known.copied_until = now + COPY_LIFETIME_S
        changes: list[UpstreamChange] = []
        seen = set()
        for record in records:
            seen.add(record.upstream_id)
            self._apply_record(record, now, changes)
        for upstream_id in self._known.keys() - seen:
            known = self._known[upstream_id]
            if now < grace_until and not known.fenced:
                known.is_missing = True
            else:
                self._record_missing(upstream_id, now, changes)
        self._rebuild_index()
        return changes

    def drop_missing(self, now: float) -> list[UpstreamChange]:
        """Drops the upstreams that were kept although they are missing.

        Args:
            now: Monotonic time in seconds.
        """
        changes: list[UpstreamChange] = []
        for upstream_id, known in list(self._known.items()):
            if known.is_missing:
                self._record_missing(upstream_id, now, changes)
        self._rebuild_index()
        return changes

    def fence(self, upstream_id: str) -> list[UpstreamChange]:
        """Fences an upstream whose address answers for another one."""
        known = self._known.get(upstream_id)
        if known is None or known.fenced:
            return []
        known.fenced = True
        self._rebuild_index()
        return [UpstreamChange(upstream_id, known.record.service, "misplaced")]

    def _apply_record(
        self,
        record: routes.UpstreamRecord,
        now: float,
        changes: list[UpstreamChange],
    ) -> None:
        known = self._known.get(record.upstream_id)
        if known is not None:
            known.is_missing = False
            if _may_be_copied(record, known, now):
                return
        if known is None or _is_new_start(record, known):
            self._known[record.upstream_id] = _TrackedUpstream(
                record, record.draining
            )
            kind = "draining" if record.draining else "added"
            changes.append(
                UpstreamChange(record.upstream_id, record.service, kind)
            )
            return
        if _is_older(record, known.record):
            return
        if known.departed_at is not None:
            if record.sequence == known.record.sequence:
                return
            known.departed_at = None
            if not known.fenced:
                changes.append(
                    UpstreamChange(record.upstream_id, record.service, "back")
                )
        if record.draining and not known.fenced:
            known.fenced = True
            changes.append(
                UpstreamChange(record.upstream_id, record.service, "draining")
            )
        known.record = record

    def _record_missing(
        self, upstream_id: str, now: float, changes: list[UpstreamChange]
    ) -> None:
        known = self._known[upstream_id]
        known.is_missing = False
        if known.departed_at is not None:
            if now - known.departed_at > DEPARTED_RETENTION_S:
                del self._known[upstream_id]
            return
        known.departed_at = now
        changes.append(
            UpstreamChange(upstream_id, known.record.service, "gone")
        )

    def _rebuild_index(self) -> None:
        grouped: dict[str, list[routes.UpstreamRecord]] = {}
        for known in self._known.values():
            if not known.fenced and known.departed_at is None:
                grouped.setdefault(known.record.service, []).append(
                    known.record
                )
        self._by_service = {
            service: tuple(records) for service, records in grouped.items()
        }


def _is_new_start(
    record: routes.UpstreamRecord, known: _TrackedUpstream
) -> bool:
    """Whether a record is of a later start than the known one."""
    if record.started_ms or known.record.started_ms:
        return record.started_ms > known.record.started_ms
    return known.departed_at is not None and not known.fenced


def _may_be_copied(
    record: routes.UpstreamRecord, known: _TrackedUpstream, now: float
) -> bool:
    """Whether a record may be an old one of an upstream that is gone."""
    return (
        known.departed_at is not None
        and now < known.copied_until
        and record.started_ms <= known.record.started_ms
    )


def _is_older(
    record: routes.UpstreamRecord, known: routes.UpstreamRecord
) -> bool:
    """Whether a record was written before the known one."""
    if record.started_ms != known.started_ms:
        return record.started_ms < known.started_ms
    return record.sequence < known.sequence
