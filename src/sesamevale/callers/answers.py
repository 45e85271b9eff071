"""Answers for calls that no upstream answered."""

from __future__ import annotations

import json
import math

from sesamevale import calls
from sesamevale import http1
from sesamevale import outcomes

__all__ = ["for_outcome", "outcome_name"]

Reason = outcomes.Reason

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_ROUTE: 404,
    Reason.NO_RULE: 404,
    Reason.IDENTITY_REQUIRED: 428,
    Reason.IDENTITY_MISMATCH: 422,
    Reason.IDENTITY_EXPIRED: 409,
    Reason.ISSUER_GONE: 409,
    Reason.NOT_RETAINED: 409,
    Reason.CUT: 502,
    Reason.OVER_QUOTA: 429,
    Reason.PEER_LOST: 502,
    Reason.TOO_LARGE: 413,
    Reason.UNKNOWN_KEY: 401,
}
# Credentials that an answer with status 401 asks for.
CHALLENGE = b"Bearer"
DEADLINE_STATUS = 504
DEFAULT_STATUS = 503
# A 404 would tell a caller that its action has not run.
UNKNOWN_STATUS = 502
UNKNOWN_STATUSES = frozenset((409, UNKNOWN_STATUS))

PROXY_ERROR_BY_REASON = {
    Reason.BAD_REQUEST: "http_request_error",
    Reason.CONNECT_FAILED: "connection_refused",
    Reason.CUT: "connection_terminated",
    Reason.DEADLINE: "http_response_timeout",
    Reason.NO_RULE: "destination_not_found",
    Reason.NO_UPSTREAM: "destination_unavailable",
    Reason.PEER_LOST: "connection_terminated",
    Reason.NO_ROUTE: "destination_not_found",
    Reason.SHED: "destination_unavailable",
    Reason.TOO_LARGE: "http_request_error",
    Reason.UNKNOWN_KEY: "http_request_denied",
}
DEFAULT_PROXY_ERROR = "proxy_internal_response"


def outcome_name(outcome: outcomes.NotRun | outcomes.Unknown) -> str:
    """Returns the name of an outcome in header fields and metrics."""
    return "not-run" if isinstance(outcome, outcomes.NotRun) else "unknown"


def for_outcome(
    outcome: outcomes.NotRun | outcomes.Unknown,
    entry_id: str,
    *,
    fractional_seconds: bool = False,
) -> tuple[calls.AnswerHead, bytes]:
    """Returns the answer to a call that no upstream answered.

    Args:
        outcome: Outcome of the call.
        entry_id: Identifier of this entry.
        fractional_seconds: Whether Retry-After may hold fractions of a second;
            otherwise it is rounded up.

    Returns:
        The head of the answer and its body.
    """
    name = outcome_name(outcome)
    reason = outcome.reason
    error = PROXY_ERROR_BY_REASON.get(reason, DEFAULT_PROXY_ERROR)
    proxy_status = f'{entry_id}; error={error}; details="{name}: {reason}"'
    body = json.dumps({"outcome": name, "reason": str(reason)}).encode()
    headers = [
        (http1.HeaderName.PROXY_STATUS, proxy_status.encode()),
        (http1.HeaderName.OUTCOME, name.encode()),
        (b"content-type", b"application/json"),
        (http1.HeaderName.CONTENT_LENGTH, b"%d" % len(body)),
        (http1.HeaderName.RETRIES_LEFT, b"0"),
    ]
    if reason is Reason.UNKNOWN_KEY:
        headers.append((http1.HeaderName.CHALLENGE, CHALLENGE))
    if isinstance(outcome, outcomes.NotRun) and outcome.retry_after_ms > 0:
        seconds = outcome.retry_after_ms / 1000
        text = f"{seconds:g}" if fractional_seconds else f"{math.ceil(seconds)}"
        headers.append((http1.HeaderName.RETRY_AFTER, text.encode()))
    return calls.AnswerHead(_status(outcome), tuple(headers)), body


def _status(outcome: outcomes.NotRun | outcomes.Unknown) -> int:
    if isinstance(outcome, outcomes.Unknown):
        if outcome.reason is Reason.DEADLINE:
            return DEADLINE_STATUS
        status = STATUS_BY_REASON.get(outcome.reason, UNKNOWN_STATUS)
        return status if status in UNKNOWN_STATUSES else UNKNOWN_STATUS
    return STATUS_BY_REASON.get(outcome.reason, DEFAULT_STATUS)
