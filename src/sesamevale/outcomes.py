"""Outcomes of calls: answered, not run or unknown."""

from __future__ import annotations

import dataclasses
import enum

__all__ = [
    "Answer",
    "Answered",
    "NotRun",
    "Outcome",
    "Reason",
    "Unknown",
]


class Reason(enum.StrEnum):
    """Why a call has no answer from an upstream.

    The values that their names do not explain:

    Attributes:
        BARRED: The issuer prevents the action, which has not run.
        CUT: The connection to the upstream ended before the whole answer.
        ISSUER_GONE: The process that issued the identity has ended or cannot
            be reached.
        MEMORY: This entry has no memory for the call.
        NOT_RETAINED: The action has run, but its answer was not kept.
        OVER_QUOTA: The tenant has used up its quota.
        OVERLOADED: There is no capacity for the call in time.
        PEER_LOST: The connection to another entry failed.
        QUOTA_UNREACHABLE: The entries that share the tenant's quota cannot be
            reached.
        RATE_LIMITED: The limits that the upstreams name leave no room in time.
        SHED: An upstream rejected the call without running it.
        UNKNOWN_KEY: The request carries no key of a tenant.
        SPOILT: The answer was malformed, unsigned or for another request.
        SUSPECT: Upstreams have ended under requests like this one.
    """

    BAD_REQUEST = "bad_request"
    BARRED = "barred"
    CALLER_GONE = "caller_gone"
    CONNECT_FAILED = "connect_failed"
    CUT = "cut"
    DEADLINE = "deadline"
    IDENTITY_EXPIRED = "identity_expired"
    IDENTITY_MISMATCH = "identity_mismatch"
    IDENTITY_REQUIRED = "identity_required"
    ISSUER_GONE = "issuer_gone"
    NO_BUDGET = "no_budget"
    NO_CONFIGURATION = "no_configuration"
    NO_DOCUMENT = "no_document"
    NO_ROUTE = "no_route"
    NO_RULE = "no_rule"
    NO_UPSTREAM = "no_upstream"
    MEMORY = "memory"
    NOT_RETAINED = "not_retained"
    OVER_QUOTA = "over_quota"
    OVERLOADED = "overloaded"
    PEER_LOST = "peer_lost"
    QUOTA_UNREACHABLE = "quota_unreachable"
    RATE_LIMITED = "rate_limited"
    REGISTER_FULL = "register_full"
    SHED = "shed"
    SPOILT = "spoilt"
    STOPPING = "stopping"
    SUSPECT = "suspect"
    TOO_LARGE = "too_large"
    UNKNOWN_KEY = "unknown_key"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer, buffered in memory.

    Attributes:
        status: HTTP status code.
        headers: Header fields with hop-by-hop fields removed.
        body: The complete body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An upstream answered and the answer is complete."""

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No upstream ran the call, and none will.

    Attributes:
        reason: Why the call was refused.
        retry_after_ms: Delay before the caller should try again, in
            milliseconds; 0 if there is no advice.
    """

    reason: Reason
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have run.

    Attributes:
        reason: Why there is no complete answer.
    """

    reason: Reason


Outcome = Answered | NotRun | Unknown
