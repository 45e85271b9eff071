"""Configuration documents in TOML files."""

from __future__ import annotations

import dataclasses
import pathlib
import time
import tomllib

import pydantic

from sesamevale import document_models
from sesamevale.etcd import manifests
from sesamevale.policy import document_follower

__all__ = ["DocumentError", "Fault", "as_manifest", "load", "parse"]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document.

    Attributes:
        file: Name of the file.
        path: Path in the document, or the line of a syntax error.
        found: What is there, if it can be shown.
        message: What is accepted.
    """

    file: str
    path: str
    found: str
    message: str

    def __str__(self) -> str:
        shown = f" (found {self.found})" if self.found else ""
        return f"{self.file}: {self.path}: {self.message}{shown}"


class DocumentError(Exception):
    """A document that was named at start cannot be used.

    Args:
        faults: All faults that were found.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


def load(path: str) -> document_models.DocumentModel | list[Fault]:
    """Reads and checks a document file; returns all faults if there are."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [Fault(path, "file", "", f"cannot be read: {error}")]
    return parse(text, path)


def parse(text: str, name: str) -> document_models.DocumentModel | list[Fault]:
    """Checks the text of a document; returns all faults if there are.

    Args:
        text: TOML text.
        name: Name of the file for faults.
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
    """Returns a manifest and parts for a document that was not submitted."""
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
