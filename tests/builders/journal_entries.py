"""Builders of entries in the benchmark's journal."""

from __future__ import annotations

import json
import pathlib


def day(name="quiet-1", credit=0.9, price=0.1, rules=None, **fields):
    """Returns a day whose credit has two parts of equal weight."""
    return {
        "name": name,
        "seed": 7,
        "parts": [["whole day", 0.5, credit], ["served at all", 0.5, credit]],
        "prices": [["machine-seconds", 100.0, price], ["cloud calls", 1, 0.0]],
        "rules": rules or {},
        "served": credit,
        "fault": None,
    } | fields


def bench_run(identifier="a1", days=None, **fields):
    return {
        "id": identifier,
        "at": ["2026-12-04T10:00:00Z", "2026-12-04T10:01:00Z"],
        "cmd": "score",
        "site": "harbour",
        "head": "0123456789abcdef",
        "why": "",
        "days": [day()] if days is None else days,
    } | fields


def write(folder: pathlib.Path, *runs) -> pathlib.Path:
    for each in runs:
        (folder / f"{each['id']}.json").write_text(json.dumps(each))
    return folder
