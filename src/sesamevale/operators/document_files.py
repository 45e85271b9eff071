"""Loads and validates configuration documents from TOML files."""

from __future__ import annotations

import dataclasses
import pathlib
import time
import tomllib

import pydantic

from sesamevale import document_models
from sesamevale.etcd import manifests
from sesamevale.policy.configuration import document_follower

__all__ = ["DocumentError", "Fault", "as_manifest", "load", "parse"]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document.

    Attributes:
        file: Name of the file.
        path: Path in the document, or the line of a syntax error; ``file`` if
            the file cannot be read.
        found: The value found, if it is a string, a number or a boolean; empty
            otherwise.
        message: What is wrong, or which values are accepted.
    """

    file: str
    path: str
    found: str
    message: str

    def __str__(self) -> str:
        suffix = f" (found {self.found})" if self.found else ""
        return f"{self.file}: {self.path}: {self.message}{suffix}"


class DocumentError(Exception):
    """The document file given at start is missing or invalid.

    Args:
        faults: All faults that were found.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


def load(path: str) -> document_models.DocumentModel | list[Fault]:
    """Loads a document file; returns all its faults if it is invalid."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [Fault(path, "file", "", f"cannot be read: {error}")]
    return parse(text, path)


def parse(text: str, name: str) -> document_models.DocumentModel | list[Fault]:
    """Validates the text of a document; returns all faults if it is invalid.

    Args:
        text: TOML text.
        name: Name of the file, for the faults.
    """
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        message, _, place = str(error).partition(" (at ")
        return [Fault(name, place.rstrip(")") or "syntax", "", message)]
    try:
        return document_models.DocumentModel.model_validate(content)
    except pydantic.ValidationError as error:
        return [
            Fault(
                name,
                _path(each["loc"]),
                _format_value(each["input"]),
                each["msg"].removeprefix("Value error, "),
            )
            for each in error.errors()
        ]


def as_manifest(
    model: document_models.DocumentModel, environment: str
) -> tuple[document_follower.Manifest, dict[str, bytes]]:
    """Builds the manifest of a document that was not submitted.

    Returns:
        The manifest, and the content of each part by its digest.
    """
    parts = document_models.to_parts(model)
    digests = {
        name: manifests.digest_of(content) for name, content in parts.items()
    }
    contents = {digests[name]: content for name, content in parts.items()}
    now_s = int(time.time())
    manifest = document_follower.Manifest(
        environment,
        now_s,
        "file",
        0,
        "file",
        now_s,
        tuple(sorted(digests.items())),
    )
    return manifest, contents


def _path(location: tuple[int | str, ...]) -> str:
    text = ""
    for step in location:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text or "document"


def _format_value(value: object) -> str:
    if isinstance(value, str | int | float | bool):
        return repr(value)
    return ""
