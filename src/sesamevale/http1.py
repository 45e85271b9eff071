"""Header fields and helpers that HTTP/1.1 clients and servers share."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sesamevale import calls
    from sesamevale.policy.balancing import upstream_state
    from sesamevale.policy.signals import upstream_signals

__all__ = [
    "INTERIM_ANSWERS_MAX",
    "Dialect",
    "HeaderName",
    "check_status",
    "get_header",
    "get_integer_header",
    "strip_hop_by_hop",
]

# Largest number of interim answers (1xx) before an answer.
INTERIM_ANSWERS_MAX = 16
# The parser takes larger codes of three digits for final answers.
STATUS_MAX = 599
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# A request must have these fields, whatever its Connection field names.
REQUIRED = frozenset((b"host",))


class HeaderName:
    """Names of the header fields that the system reads or writes."""

    CHALLENGE = b"www-authenticate"
    CONNECTION = b"connection"
    CONTENT_LENGTH = b"content-length"
    DEADLINE = b"sesamevale-deadline-ms"
    DIRECTORY_REVISION = b"sesamevale-directory-revision"
    EXPECT = b"expect"
    IDEMPOTENCY_KEY = b"idempotency-key"
    OUTCOME = b"sesamevale-outcome"
    PROXY_STATUS = b"proxy-status"
    RETRIES = b"sesamevale-retries"
    RETRIES_LEFT = b"sesamevale-retries-left"
    RETRY_AFTER = b"retry-after"
    TRACEPARENT = b"traceparent"
    TRANSFER_ENCODING = b"transfer-encoding"


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header fields that callers, entries and upstreams exchange.

    Names are in lower case.

    Attributes:
        request_id: Identifier of one attempt of a caller; upstreams echo it.
        deadline_ms: Time in milliseconds that the sender waits for an answer.
        signature: Signature by which an upstream proves the answer its own.
        expected_upstream: The only upstream that may run the request.
        not_run: Present if the upstream did not run the request.
        upstream_id: Upstream that answered.
        load: Load of the upstream.
        authorization: Credentials of the caller.
        tenant: Tenant whose key a request carried; only entries set it.
        read_key: Returns the key in the value of ``authorization``; None if
            it holds none.
        read_load: Parses the value of ``load``; None if it is malformed.
        read_signals: Parses the signals in an answer by its status and header
            fields; malformed ones are left out.
    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    expected_upstream: bytes
    not_run: bytes
    upstream_id: bytes
    load: bytes
    authorization: bytes
    tenant: bytes
    read_key: Callable[[bytes], bytes | None]
    read_load: Callable[[bytes], upstream_state.Load | None]
    read_signals: Callable[[int, calls.Headers], upstream_signals.Signals]


# Not forwarded with the other fields; the entry adds them to its requests.
ENTRY_HEADERS = frozenset(
    (
        HeaderName.DEADLINE,
        HeaderName.RETRIES,
        HeaderName.TRACEPARENT,
    )
)


def get_header(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Returns the first value of a field; names are in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def check_status(response: h11.Response) -> None:
    """Checks the status of a final answer.

    Raises:
        h11.RemoteProtocolError: HTTP has no such status (RFC 9110, section
            15), so the answer says nothing of the request.
    """
    if response.status_code > STATUS_MAX:
        raise h11.RemoteProtocolError("status code out of range")


def get_integer_header(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> int | None:
    """Returns a field's value as a non-negative integer.

    Returns:
        The value, or None if the field is absent, not a decimal number, or
        longer than 18 digits.
    """
    value = get_header(headers, name)
    if value is None or not value.isdigit() or len(value) > 18:
        return None
    return int(value)


def strip_hop_by_hop(
    headers: Iterable[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> calls.Headers:
    """Returns the fields that may be forwarded.

    Args:
        headers: Received fields, names in lower case.
        dropped: Names of further fields to leave out.
    """
    kept = []
    named: frozenset[bytes] = frozenset()
    for field in headers:
        key, value = field
        if key == HeaderName.CONNECTION:
            named |= _tokens(value) - REQUIRED
        elif key not in HOP_BY_HOP and key not in dropped:
            kept.append((key, value))
    if named:
        return tuple(field for field in kept if field[0] not in named)
    return tuple(kept)


def _tokens(value: bytes) -> frozenset[bytes]:
    return frozenset(token.strip().lower() for token in value.split(b","))
