"""Reads the event lines that entries have written."""

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
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One line.

    Attributes:
        time: ISO 8601 time of the entry's clock.
        entry: Entry that wrote it.
        name: What happened.
        fields: The rest of the line.
    """

    time: str
    entry: str
    name: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = " ".join(f"{key}={each}" for key, each in self.fields.items())
        return f"{self.time} {self.entry} {self.name} {shown}"


def parse_lines(lines: Iterable[str]) -> list[Event]:
    """Returns the events among the lines, in order of time.

    Anything in front of a line's JSON object is passed over, as log
    collectors put their own fields there.
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
    """Returns a request's events and what its entry believed meanwhile.

    Args:
        events: Events in order of time.
        request_id: Identifier of the caller's attempt.

    Returns:
        The request's own events, preceded by the last change of each kind
        that the entry had noted before and followed by none.
    """
    own = [each for each in events if each.fields.get("request") == request_id]
    if not own:
        return []
    upstreams = {each.fields.get("upstream") for each in own} - {None}
    last: dict[object, Event] = {}
    for each in events:
        if each.time > own[-1].time:
            break
        if each.entry != own[0].entry or each.name not in STATE_EVENTS:
            continue
        if each.name == "upstream":
            if each.fields.get("upstream") in upstreams:
                last[each.fields["upstream"]] = each
        else:
            last[each.name] = each
    context = sorted(last.values(), key=lambda each: each.time)
    return [*context, *own]
