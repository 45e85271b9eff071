"""Differences between two versions of a document."""

from __future__ import annotations

import dataclasses
from typing import Any

__all__ = ["Change", "compare", "conflicting_paths"]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Change of one value.

    Attributes:
        path: Path of the value in the document.
        before: Old value; None if there was none.
        after: New value; None if there is none.
    """

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path} = {self.after!r}"
        if self.after is None:
            return f"- {self.path} = {self.before!r}"
        return f"~ {self.path}: {self.before!r} -> {self.after!r}"


def compare(before: Any, after: Any, path: str = "") -> list[Change]:
    """Lists the values that differ between two JSON values.

    Lists whose items have names are compared by name, others as a whole.

    Args:
        before: Old value.
        after: New value.
        path: Path of the values in the document.
    """
    if before == after:
        return []
    before_items = _items(before)
    after_items = _items(after)
    if before_items is None or after_items is None:
        return [Change(path, before, after)]
    changes = []
    for key in sorted(before_items.keys() | after_items.keys()):
        inner = f"{path}.{key}" if path else key
        changes += compare(before_items.get(key), after_items.get(key), inner)
    return changes


def conflicting_paths(first: list[Change], second: list[Change]) -> list[str]:
    """Lists the paths that both sides have changed differently."""
    after = {change.path: change.after for change in first}
    return [
        change.path
        for change in second
        if change.path in after and after[change.path] != change.after
    ]


def _items(value: Any) -> dict[str, Any] | None:
    """Returns the named items of a value; None if it has no names."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        return None
    if not all(isinstance(item, dict) and "name" in item for item in value):
        return None
    return {item["name"]: item for item in value}
