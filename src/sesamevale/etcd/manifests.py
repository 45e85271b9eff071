"""Validated manifests and registrations in the key-value service."""

from __future__ import annotations

import hashlib

import pydantic

from sesamevale.policy.configuration import document_follower

__all__ = [
    "Registration",
    "digest_of",
    "dump_manifest",
    "load_manifest",
]

DIGEST_BYTES = 16


class _ManifestModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    environment: str
    revision: int = pydantic.Field(gt=0)
    change_id: str
    base: int = pydantic.Field(ge=0)
    author: str
    time_s: int
    parts: dict[str, str]


class Registration(pydantic.BaseModel):
    """Registration of an entry: its addresses for peers and operators."""

    model_config = pydantic.ConfigDict(extra="ignore")

    entry_id: str
    host: str
    peer_port: int
    admin_host: str = ""
    admin_port: int = 0


def digest_of(content: bytes) -> str:
    """Returns the digest that names a part with this content."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def dump_manifest(manifest: document_follower.Manifest) -> bytes:
    """Returns a manifest as JSON."""
    model = _ManifestModel(
        environment=manifest.environment,
        revision=manifest.revision,
        change_id=manifest.change_id,
        base=manifest.base,
        author=manifest.author,
        time_s=manifest.time_s,
        parts=dict(manifest.parts),
    )
    return model.model_dump_json().encode()


def load_manifest(content: bytes) -> document_follower.Manifest | None:
    """Parses a manifest; None if it is malformed."""
    try:
        model = _ManifestModel.model_validate_json(content)
    except pydantic.ValidationError:
        return None
    return document_follower.Manifest(
        model.environment,
        model.revision,
        model.change_id,
        model.base,
        model.author,
        model.time_s,
        tuple(sorted(model.parts.items())),
    )
