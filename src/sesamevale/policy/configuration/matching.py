"""Matching of requests to services and rules."""

from __future__ import annotations

import dataclasses
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import documents

__all__ = ["Match", "compile_pattern", "match_request"]


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """Service and rule of a request."""

    service: documents.Service
    rule: documents.Rule


def compile_pattern(pattern: str) -> re.Pattern[str]:
    """Compiles a path pattern.

    ``*`` matches any characters within one segment, ``**`` any characters.

    Args:
        pattern: Pattern as written in a document.
    """
    pieces = re.split(r"(\*\*|\*)", pattern)
    translated = {"**": ".*", "*": "[^/]*"}
    expression = "".join(
        translated.get(piece, re.escape(piece)) for piece in pieces
    )
    return re.compile(expression)


def match_request(
    environment: documents.Environment, method: str, target: str
) -> Match | None:
    """Finds the first rule that matches a request.

    Args:
        environment: The document in force.
        method: HTTP method.
        target: Request target with path and query.

    Returns:
        The match, or None if no service or rule fits.
    """
    path = target.partition("?")[0]
    prefix = path[1:].partition("/")[0]
    for service in environment.services.values():
        if service.prefix != prefix:
            continue
        for rule in service.rules:
            if method in rule.methods and rule.path.fullmatch(path):
                return Match(service, rule)
    return None
