"""Names of the keys in the key-value service."""

from __future__ import annotations

__all__ = [
    "entries_prefix",
    "entry",
    "history",
    "history_prefix",
    "manifest",
    "part",
]

ROOT = "sesamevale"


def manifest(environment: str) -> str:
    """Returns the key of the manifest in force."""
    return f"{ROOT}/{environment}/manifest"


def part(environment: str, digest: str) -> str:
    """Returns the key of one part of a document, given its digest."""
    return f"{ROOT}/{environment}/parts/{digest}"


def history_prefix(environment: str) -> str:
    """Returns the key prefix of the manifests of all accepted changes."""
    return f"{ROOT}/{environment}/history/"


def history(environment: str, revision: int) -> str:
    """Returns the key of the manifest of one accepted change."""
    return f"{history_prefix(environment)}{revision:020d}"


def entries_prefix(environment: str) -> str:
    """Returns the key prefix of the registrations of entries."""
    return f"{ROOT}/{environment}/entries/"


def entry(environment: str, entry_id: str) -> str:
    """Returns the key of the registration of one entry."""
    return f"{entries_prefix(environment)}{entry_id}"
