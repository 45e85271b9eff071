"""What follows for a request from the verdict on its permit."""

from __future__ import annotations

import functools

from sesamevale import outcomes
from sesamevale.forwarding import messages
from sesamevale.forwarding import request_flow
from sesamevale.policy.admission import quota_types as types

__all__ = ["apply_verdict"]

Reason = outcomes.Reason


@functools.singledispatch
def apply_verdict(
    verdict: types.Verdict,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    """Continues a request whose permit was decided on."""
    raise TypeError(f"no handler for {type(verdict).__name__}")


@apply_verdict.register
def _(
    verdict: types.Admitted,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    active_request.is_admitted = True
    flow.start_search(active_request)


@apply_verdict.register
def _(
    verdict: types.Granted,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    active_request.permit = verdict
    flow.continue_search(active_request)


@apply_verdict.register
def _(
    verdict: types.OverQuota,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    active_request.progress.retry_after_s = verdict.retry_after_s
    _refuse(flow, active_request, Reason.OVER_QUOTA)


@apply_verdict.register
def _(
    verdict: types.Unreachable,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    _refuse(flow, active_request, Reason.QUOTA_UNREACHABLE)


@apply_verdict.register
def _(
    verdict: types.KeyWithdrawn,
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    _refuse(flow, active_request, Reason.UNKNOWN_KEY)


def _refuse(
    flow: request_flow.RequestFlow,
    active_request: messages.ActiveRequest,
    reason: Reason,
) -> None:
    progress = active_request.progress
    progress.reason = reason
    flow.apply(active_request, progress.give_up())
