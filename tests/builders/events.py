"""Builders of event lines in the format of an entry's log."""

from __future__ import annotations

import json


def line(second: float, event: str, entry: str = "e-1", **fields) -> str:
    content = {
        "time": f"2026-12-04T10:00:{second:06.3f}+00:00",
        "entry": entry,
        "event": event,
        **fields,
    }
    return json.dumps(content)
