"""Log lines about the state that a gateway entry reads from the store."""

from __future__ import annotations

import functools
import time
from typing import TYPE_CHECKING

from sesamevale import event_log
from sesamevale.policy.membership import evacuations
from sesamevale.policy.signals import discovered_upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale.policy.membership import store_view

__all__ = [
    "log_changes",
    "log_configuration",
    "log_store_view",
    "log_upstreams_known",
]

Change = discovered_upstreams.UpstreamChange | evacuations.EvacuationChange


def log_changes(events: event_log.EventLog, changes: Iterable[Change]) -> None:
    """Writes one line for each change."""
    for change in changes:
        _log_change(change, events)


def log_configuration(
    events: event_log.EventLog, version: int, previous: int, read_at: float
) -> None:
    """Writes that a version is in force."""
    events.state(
        "config_in_force",
        version=version,
        previous=previous,
        age_s=_age_s(read_at),
    )


def log_upstreams_known(
    events: event_log.EventLog, count: int, read_at: float
) -> None:
    """Writes that the upstreams are known for the first time."""
    events.state("upstreams_known", count=count, age_s=_age_s(read_at))


def log_store_view(
    events: event_log.EventLog, view: store_view.Summary
) -> None:
    """Writes how the store is seen."""
    events.state(
        "store_view",
        state=view.contact.value,
        absent=view.absent.value,
        era=view.era,
    )


def _age_s(read_at: float) -> float:
    """Returns the age of a read of the store in seconds."""
    return round(time.monotonic() - read_at, 3)


@functools.singledispatch
def _log_change(change: Change, events: event_log.EventLog) -> None:
    raise TypeError(f"no handler for {type(change).__name__}")


@_log_change.register
def _(
    change: discovered_upstreams.UpstreamChange, events: event_log.EventLog
) -> None:
    events.state(
        "upstream",
        upstream=change.upstream_id,
        service=change.service,
        change=change.kind,
    )


@_log_change.register
def _(change: evacuations.EvacuationChange, events: event_log.EventLog) -> None:
    events.state(
        "evacuation",
        data_center=change.data_center,
        change=change.change,
        age_s=_age_s(change.read_at),
    )
