"""Keys in the header fields of requests, and the tenants they stand for."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from sesamevale import outcomes
from sesamevale.policy.configuration import credentials

if TYPE_CHECKING:
    from sesamevale import calls
    from sesamevale import http1

__all__ = ["forwarded_fields", "read_key", "refusal_reason"]

Reason = outcomes.Reason


def read_key(headers: calls.Headers, dialect: http1.Dialect) -> bytes | None:
    """Returns the key of a request; None if it has none or several."""
    values = [value for name, value in headers if name == dialect.authorization]
    return dialect.read_key(values[0]) if len(values) == 1 else None


@functools.singledispatch
def refusal_reason(identity: credentials.Identity) -> Reason | None:
    """Returns why a request is refused; None if it is not."""
    raise TypeError(f"no handler for {type(identity).__name__}")


@refusal_reason.register
def _(identity: credentials.Identified) -> Reason | None:
    return None


@refusal_reason.register
def _(identity: credentials.Unidentified) -> Reason | None:
    return Reason.UNKNOWN_KEY


@refusal_reason.register
def _(identity: credentials.Stale) -> Reason | None:
    return Reason.NO_CONFIGURATION


def forwarded_fields(
    headers: calls.Headers,
    dialect: http1.Dialect,
    identity: credentials.Identified,
) -> calls.Headers:
    """Replaces the key of a request by the name of its tenant.

    Args:
        headers: Header fields that may be forwarded.
        dialect: Names of the header fields.
        identity: Whose request it is.
    """
    own = (dialect.authorization, dialect.tenant)
    kept = tuple(field for field in headers if field[0] not in own)
    if identity.tenant is None:
        return kept
    return (*kept, (dialect.tenant, identity.tenant.name.encode("ascii")))
