"""Parses the event log lines that entries write."""

from __future__ import annotations

import dataclasses
import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Event", "find_request_events", "parse_lines"]

STATE_EVENTS = frozenset(
    (
        "config_in_force",
        "config_refused",
        "drained",
        "members",
        "ready",
        "reload_refused",
        "reloaded",
        "started",
        "stopped",
        "stopping",
        "store_back",
        "store_lost",
        "store_values_rejected",
        "upstream",
        "upstream_signal",
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of an entry's log.

    Attributes:
        time: ISO 8601 time of the entry's clock.
        entry: Entry that wrote the line.
        name: Name of the event.
        fields: The other fields of the line.
    """

    time: str
    entry: str
    name: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        fields = " ".join(f"{key}={each}" for key, each in self.fields.items())
        return f"{self.time} {self.entry} {self.name} {fields}"


def parse_lines(lines: Iterable[str]) -> list[Event]:
    """Returns the events among the lines, in order of time.

    Text before a line's JSON object is ignored, since log collectors put
    fields of their own there.
    """
    found = []
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            content = json.loads(line[begin:])
        except ValueError:
            continue
        if not isinstance(content, dict) or "event" not in content:
            continue
        found.append(
            Event(
                str(content.pop("time", "")),
                str(content.pop("entry", "")),
                str(content.pop("event")),
                content,
            )
        )
    return sorted(found, key=lambda each: each.time)


def find_request_events(events: list[Event], request_id: str) -> list[Event]:
    """Returns a request's events and the state of its entry at the time.

    Args:
        events: Events in order of time.
        request_id: Identifier of the caller's attempt.

    Returns:
        The state of the entry, then the request's own events. The state is
        the last event of each kind in ``STATE_EVENTS`` that the entry wrote
        before the end of the request; for ``upstream``, the last one of each
        upstream that the request used. Signals that were in force at the
        upstreams of its service are part of it.
    """
    own = [each for each in events if each.fields.get("request") == request_id]
    if not own:
        return []
    upstreams = {each.fields.get("upstream") for each in own} - {None}
    services = {each.fields.get("service") for each in own} - {None}
    last: dict[object, Event] = {}
    for each in events:
        if each.time > own[-1].time:
            break
        if each.entry != own[0].entry or each.name not in STATE_EVENTS:
            continue
        key = _state_key(each, upstreams, services)
        if each.fields.get("change") == "ended":
            last.pop(key, None)
        elif key is not None:
            last[key] = each
    state = sorted(last.values(), key=lambda each: each.time)
    return [*state, *own]


def _state_key(
    event: Event, upstreams: set[object], services: set[object]
) -> object:
    """Returns what a later event replaces; None for others' upstreams."""
    upstream = event.fields.get("upstream")
    if event.name == "upstream":
        return upstream if upstream in upstreams else None
    if event.name == "upstream_signal":
        if event.fields.get("service") not in services:
            return None
        return upstream, event.fields.get("signal")
    return event.name
