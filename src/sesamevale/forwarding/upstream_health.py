"""Health of upstreams as inferred from the results of attempts."""

from __future__ import annotations

import functools
import time
from collections.abc import Callable

from sesamevale import metrics
from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.calls import forwarding

__all__ = ["record_result"]

SERVER_ERROR = 500


@functools.singledispatch
def record_result(
    result: forwarding.Result,
    candidate: upstream_state.Candidate,
    recorder: metrics.MetricsRecorder,
    on_misplaced: Callable[[str], None],
) -> None:
    """Updates the health of an upstream by the result of an attempt.

    Args:
        result: The result.
        candidate: The upstream.
        recorder: Records metrics.
        on_misplaced: Called with the identifier of an upstream at whose
            address another upstream answers.
    """
    raise TypeError(f"no handler for {type(result).__name__}")


@record_result.register
def _(
    result: forwarding.Answered,
    candidate: upstream_state.Candidate,
    recorder: metrics.MetricsRecorder,
    on_misplaced: Callable[[str], None],
) -> None:
    if result.status >= SERVER_ERROR:
        candidate.record_failure(time.monotonic())
    else:
        candidate.record_success()


@record_result.register
def _(
    result: forwarding.Rejected,
    candidate: upstream_state.Candidate,
    recorder: metrics.MetricsRecorder,
    on_misplaced: Callable[[str], None],
) -> None:
    recorder.count("attempts_rejected")
    candidate.record_failure(time.monotonic())
    if result.misplaced:
        on_misplaced(candidate.record.upstream_id)


@record_result.register
def _(
    result: forwarding.NotSent,
    candidate: upstream_state.Candidate,
    recorder: metrics.MetricsRecorder,
    on_misplaced: Callable[[str], None],
) -> None:
    recorder.count("attempts_not_sent")
    candidate.record_unreachable(time.monotonic())


@record_result.register
def _(
    result: forwarding.Reset,
    candidate: upstream_state.Candidate,
    recorder: metrics.MetricsRecorder,
    on_misplaced: Callable[[str], None],
) -> None:
    recorder.count("attempts_reset")
    candidate.record_reset(time.monotonic())


@record_result.register
def _(
    result: forwarding.Lost,
    candidate: upstream_state.Candidate,
    recorder: metrics.MetricsRecorder,
    on_misplaced: Callable[[str], None],
) -> None:
    recorder.count("attempts_lost")
    candidate.record_failure(time.monotonic())
