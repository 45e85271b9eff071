"""``sesamevale schema``: prints the JSON schema of documents."""

from __future__ import annotations

from sesamevale import document_models
from sesamevale.operators.commands import common

__all__ = ["schema"]


def schema() -> None:
    """Prints the JSON schema of documents.

    Example: sesamevale schema > document.schema.json
    """
    common.print_json(document_models.schema())
