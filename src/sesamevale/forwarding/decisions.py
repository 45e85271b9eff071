"""What follows from the decisions on requests."""

from __future__ import annotations

import functools
import math
import time
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import outcomes
from sesamevale.policy.calls import forwarding

if TYPE_CHECKING:
    from sesamevale.forwarding import messages
    from sesamevale.forwarding import request_flow

__all__ = ["apply"]

# Shortest time to the deadline with which another attempt is made.
RETRY_TIME_MIN_S = 0.05


@functools.singledispatch
def apply(
    decision: forwarding.Decision,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    """Does what has been decided on a request."""
    raise TypeError(f"no handler for {type(decision).__name__}")


@apply.register(forwarding.Retry)
def _(
    decision: forwarding.Retry,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    now = time.monotonic()
    progress = active_request.progress
    if active_request.request.deadline - now < RETRY_TIME_MIN_S:
        flow.apply(active_request, progress.give_up())
    elif decision.uses_budget and not flow.may_spend(active_request, now):
        flow.recorder.count("retries_over_budget")
        flow.apply(active_request, progress.give_up())
    else:
        flow.recorder.count("retries")
        flow.start_search(active_request)


@apply.register(forwarding.Deliver)
def _(
    decision: forwarding.Deliver,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    answer = decision.answer
    channel = active_request.request.answer
    channel.put(calls.AnswerHead(answer.status, answer.headers))
    if answer.body:
        channel.put(calls.AnswerData(answer.body))
    if answer.rest is None:
        channel.put(calls.AnswerEnd())
        flow.finish(active_request)
        return
    channel.continue_with(answer.rest)
    # The timer may have expired while the result was in the inbox.
    flow.set_deadline_timer(active_request)


@apply.register(forwarding.Refuse)
def _(
    decision: forwarding.Refuse,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    retry_after_ms = math.ceil(decision.retry_after_s * 1000)
    flow.fail(active_request, outcomes.NotRun(decision.reason, retry_after_ms))


@apply.register(forwarding.Fail)
def _(
    decision: forwarding.Fail,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    flow.fail(active_request, outcomes.Unknown(decision.reason))
