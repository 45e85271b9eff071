"""Decision on how a request continues after each attempt."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from sesamevale import outcomes

if TYPE_CHECKING:
    from sesamevale import calls
    from sesamevale.policy.balancing import upstream_state
    from sesamevale.policy.signals import upstream_signals

__all__ = [
    "Answered",
    "AttemptLimits",
    "Decision",
    "Deliver",
    "Fail",
    "Lost",
    "NotSent",
    "Progress",
    "Refuse",
    "Rejected",
    "Reset",
    "Result",
    "Retry",
    "TimedOut",
]

Reason = outcomes.Reason

SERVER_ERROR = 500
# Failed connections after which a request is given up.
CONNECTION_FAILURES_MAX = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The upstream answered.

    Attributes:
        status: HTTP status code.
        headers: Header fields with hop-by-hop fields removed.
        body: The body, or its first part if ``rest`` is set.
        rest: Remaining messages of an answer that is too large to buffer.
        load: Load report that came with the answer.
        signals: Signals that came with the answer; None if it is not certain
            to be from this upstream.
    """

    status: int
    headers: calls.Headers
    body: bytes
    rest: calls.AnswerChannel | None = None
    load: upstream_state.Load | None = None
    signals: upstream_signals.Signals | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream answered that it did not run the request.

    Attributes:
        misplaced: Whether another upstream answered at the address.
        load: Load report that came with the answer.
        signals: Signals that came with the answer; None if it is not certain
            to be from this upstream.
    """

    misplaced: bool = False
    load: upstream_state.Load | None = None
    signals: upstream_signals.Signals | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and has no usable answer.

    Attributes:
        reason: Why there is no usable answer.
        closed_by_upstream: Whether the upstream has closed or reset the
            connection, as it does when its process ends.
    """

    reason: Reason
    closed_by_upstream: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """The connection was reset before an answer began.

    Some upstreams do this when they are full, but it may have run.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The request was sent and not answered before its deadline."""


Result = Answered | Rejected | NotSent | Lost | Reset | TimedOut


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Decision: send the request to another upstream.

    Attributes:
        uses_budget: Whether the attempt counts against the retry budget.
    """

    uses_budget: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Decision: pass an answer on to the caller."""

    answer: Answered


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision: end the request with the outcome that it has not run.

    Attributes:
        reason: Why it is refused.
        retry_after_s: Time in seconds until it can be served; 0 if unknown.
    """

    reason: Reason
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Decision: end the request without an answer; it may have run."""

    reason: Reason


Decision = Retry | Deliver | Refuse | Fail


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Limits on the attempts of a request.

    Attributes:
        repeatable: Whether it may run more than once.
        upstreams_max: Largest number of upstreams that it may be sent to.
    """

    repeatable: bool
    upstreams_max: int


@dataclasses.dataclass(slots=True)
class Progress:
    """Results of the attempts of one request so far.

    Attributes:
        limits: Limits on the attempts.
        sent_count: Number of upstreams that it was sent to.
        unsent_count: Number of attempts that did not reach an upstream.
        may_have_run: Whether an upstream may have run it.
        failure: Server error of an upstream, kept while another is tried.
        reason: Reason of the last attempt without an answer.
        retry_after_s: Time in seconds until the request can be served; 0 if
            unknown.
    """

    limits: AttemptLimits
    sent_count: int = 0
    unsent_count: int = 0
    may_have_run: bool = False
    failure: Answered | None = None
    reason: Reason = Reason.NO_UPSTREAM
    retry_after_s: float = 0.0

    def decide_next(self, result: Result) -> Decision:
        """Records the result of an attempt and decides how to continue."""
        return _decide_next(result, self)

    def give_up(self) -> Decision:
        """Decides the outcome of a request that is not tried again."""
        if self.failure is not None:
            return Deliver(self.failure)
        if self.may_have_run:
            return Fail(self.reason)
        return Refuse(self.reason, self.retry_after_s)

    def _retry_or_give_up(self) -> Decision:
        if self.sent_count < self.limits.upstreams_max:
            return Retry(uses_budget=True)
        return self.give_up()


@functools.singledispatch
def _decide_next(result: Result, progress: Progress) -> Decision:
    raise TypeError(f"no handler for {type(result).__name__}")


@_decide_next.register
def _(result: Answered, progress: Progress) -> Decision:
    progress.sent_count += 1
    progress.may_have_run = True
    if result.status < SERVER_ERROR or not progress.limits.repeatable:
        return Deliver(result)
    if result.rest is not None:
        return Deliver(result)
    progress.failure = result
    return progress._retry_or_give_up()


@_decide_next.register
def _(result: Rejected, progress: Progress) -> Decision:
    progress.sent_count += 1
    progress.reason = Reason.SHED
    if progress.may_have_run and not progress.limits.repeatable:
        return progress.give_up()
    return progress._retry_or_give_up()


@_decide_next.register
def _(result: NotSent, progress: Progress) -> Decision:
    progress.unsent_count += 1
    progress.reason = Reason.CONNECT_FAILED
    if progress.unsent_count >= CONNECTION_FAILURES_MAX:
        return progress.give_up()
    return Retry(uses_budget=progress.sent_count > 0)


@_decide_next.register
def _(result: Lost, progress: Progress) -> Decision:
    progress.sent_count += 1
    progress.may_have_run = True
    progress.reason = result.reason
    if not progress.limits.repeatable:
        return progress.give_up()
    return progress._retry_or_give_up()


@_decide_next.register
def _(result: Reset, progress: Progress) -> Decision:
    return _decide_next(Lost(Reason.CUT), progress)


@_decide_next.register
def _(result: TimedOut, progress: Progress) -> Decision:
    progress.sent_count += 1
    progress.may_have_run = True
    progress.reason = Reason.DEADLINE
    return progress.give_up()
