"""Course of the requests of one service, from the first search to the end."""

from __future__ import annotations

import asyncio
import functools
import math
import time
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import outcomes
from sesamevale.forwarding import decisions
from sesamevale.forwarding import messages
from sesamevale.forwarding import signal_recorder
from sesamevale.forwarding import upstream_health
from sesamevale.forwarding import waiting
from sesamevale.policy.balancing import upstream_search
from sesamevale.policy.calls import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import metrics
    from sesamevale.forwarding import attempt_runner
    from sesamevale.forwarding import requests
    from sesamevale.forwarding import sampling
    from sesamevale.policy.admission import drain_schedule
    from sesamevale.policy.admission import retry_budget
    from sesamevale.policy.balancing import load_sampling
    from sesamevale.policy.balancing import upstream_state

__all__ = ["RequestFlow"]

# Timeout of the samples of one round. A sample takes a round trip and a few
# milliseconds at the upstream.
SAMPLE_ROUND_TIMEOUT_S = 0.025
# Share of the latency objective that must have passed before a request counts
# as one that its caller sends again.
RETURN_SHARE = 0.1

Reason = outcomes.Reason


class RequestFlow:
    """Takes the requests of one service from step to step.

    It belongs to the task of the service, which calls it from its messages;
    what takes time ends with a message to that task.

    Args:
        balancer: Chooses upstreams.
        budget: Retry budget of this entry for the service.
        sampler: Samples the load of upstreams.
        runner: Runs the attempts.
        signals: Records the signals of upstreams.
        recorder: Records metrics.
        send: Sends a message to the task of the service.
        on_misplaced: Called with the identifier of an upstream at whose
            address another upstream answers.
    """

    def __init__(
        self,
        balancer: load_sampling.LoadBalancer,
        budget: retry_budget.RetryBudget,
        sampler: sampling.Sampler,
        runner: attempt_runner.AttemptRunner,
        signals: signal_recorder.SignalRecorder,
        recorder: metrics.MetricsRecorder,
        send: Callable[[messages.Message], None],
        on_misplaced: Callable[[str], None],
    ) -> None:
        self._balancer = balancer
        self._budget = budget
        self._sampler = sampler
        self._runner = runner
        self._signal_recorder = signals
        self._recorder = recorder
        self._send = send
        self._on_misplaced = on_misplaced
        self._active_requests: dict[int, messages.ActiveRequest] = {}
        self._drain_schedule: drain_schedule.DrainSchedule | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def active_requests(self) -> dict[int, messages.ActiveRequest]:
        """Requests that have not ended, by number."""
        return self._active_requests

    @property
    def recorder(self) -> metrics.MetricsRecorder:
        """Records metrics."""
        return self._recorder

    @property
    def runner(self) -> attempt_runner.AttemptRunner:
        """Runs the attempts."""
        return self._runner

    def start_drain(self, schedule: drain_schedule.DrainSchedule) -> None:
        """Starts no attempt that is expected to outlast the drain."""
        self._drain_schedule = schedule

    def start_search(self, active_request: messages.ActiveRequest) -> None:
        """Starts the search for the upstream of the next attempt."""
        request = active_request.request
        remaining_s = request.caller_deadline - request.arrived
        name = request.route.name
        active_request.search = upstream_search.Search(
            name,
            self._balancer.durations.estimate_first_arrival(
                name, request.arrived, remaining_s
            ),
            request.route.objective_s,
            active_request.tried,
            time.monotonic(),
            request.deadline,
            priority=request.priority,
        )
        active_request.search.has_returned = _has_returned(
            request, active_request.search
        )
        self.continue_search(active_request)

    def continue_search(self, active_request: messages.ActiveRequest) -> None:
        """Starts the next round of the search for an upstream."""
        assert active_request.search is not None
        active_request.pending_samples = set()
        active_request.is_waiting = False
        active_request.round += 1
        now = time.monotonic()
        active_request.search.must_yield = waiting.any_can_meet_objective(
            self._active_requests.values(), self._balancer, now
        )
        if self._balancer.has_scarce_room:
            active_request.search.ahead = waiting.count_ahead(
                self._active_requests.values(), active_request
            )
        _perform_step(
            self._balancer.next_step(active_request.search, now),
            self,
            active_request,
        )

    def _continue_search_after(
        self, active_request: messages.ActiveRequest, seconds: float
    ) -> None:
        timeout = messages.RoundTimeout(
            active_request.request.number, active_request.round
        )
        self._loop.call_later(seconds, self._send, timeout)

    def _may_start_attempt(
        self,
        active_request: messages.ActiveRequest,
        best: upstream_state.RankedCandidate,
    ) -> bool:
        if self._drain_schedule is None:
            return True
        route = active_request.request.route.name
        duration_s = self._balancer.expected_duration_s(route, best)
        return self._drain_schedule.allows_attempt(time.monotonic(), duration_s)

    def may_spend(
        self, active_request: messages.ActiveRequest, now: float
    ) -> bool:
        """Spends a retry of the budget if the request may have one."""
        assert active_request.search is not None
        return self._budget.try_spend(
            now,
            may_use_reserve=self._balancer.may_use_reserve(
                active_request.search, now
            ),
        )

    def finish_attempt(
        self, active_request: messages.ActiveRequest, result: forwarding.Result
    ) -> None:
        """Records what an attempt tells of its upstream."""
        candidate = active_request.candidate
        assert candidate is not None
        self._runner.finish(active_request, result)
        if isinstance(result, forwarding.Answered | forwarding.Rejected):
            self._signal_recorder.record(
                candidate.record,
                result.signals,
                signal_recorder.Source.REQUEST,
            )
            self.record_load(candidate, result.load)
        upstream_health.record_result(
            result, candidate, self._recorder, self._on_misplaced
        )

    def record_load(
        self,
        candidate: upstream_state.Candidate,
        load: upstream_state.Load | None,
    ) -> None:
        """Records a load report and continues the searches it may end."""
        if load is None:
            return
        now = time.monotonic()
        self._balancer.record_load(candidate, load, now)
        name = candidate.record.upstream_id
        active_requests = self._active_requests.values()
        for active_request in waiting.by_urgency(
            active_requests, self._balancer, now
        ):
            if not self._balancer.has_free_slot(candidate, now):
                return
            if name not in active_request.tried:
                self.continue_search(active_request)

    def set_deadline_timer(
        self, active_request: messages.ActiveRequest
    ) -> None:
        """Starts the timer of the request's deadline, or starts it anew."""
        if active_request.timer is not None:
            active_request.timer.cancel()
        request = active_request.request
        deadline = messages.DeadlineExpired(request.number)
        active_request.timer = self._loop.call_at(
            request.deadline, self._send, deadline
        )

    def end_stream(
        self, active_request: messages.ActiveRequest, *, complete: bool
    ) -> None:
        """Closes the connection of an answer that is streamed."""
        candidate = active_request.candidate
        assert candidate is not None
        self._runner.stop(active_request)
        if not complete:
            candidate.record_failure(time.monotonic())
        self.finish(active_request)

    def fail_stream(
        self, active_request: messages.ActiveRequest, reason: Reason
    ) -> None:
        """Ends an answer that is streamed before it is complete."""
        failed = calls.AnswerFailed(outcomes.Unknown(reason))
        active_request.request.answer.put(failed)
        self.end_stream(active_request, complete=False)

    def apply(
        self,
        active_request: messages.ActiveRequest,
        decision: forwarding.Decision,
    ) -> None:
        """Does what has been decided on a request."""
        decisions.apply(decision, self, active_request)

    def fail(
        self,
        active_request: messages.ActiveRequest,
        outcome: outcomes.NotRun | outcomes.Unknown,
    ) -> None:
        """Ends a request with an outcome instead of an answer."""
        active_request.request.answer.put(calls.AnswerFailed(outcome))
        self.finish(active_request)

    def finish(self, active_request: messages.ActiveRequest) -> None:
        """Forgets a request that has ended."""
        self._active_requests.pop(active_request.request.number, None)
        self._runner.release_permit(active_request)
        if active_request.timer is not None:
            active_request.timer.cancel()


def _has_returned(
    request: requests.Request, search: upstream_search.Search
) -> bool:
    """Whether the caller of a request seems to have sent it before."""
    waited_s = request.arrived - search.arrived
    return waited_s > RETURN_SHARE * search.objective_s


@functools.singledispatch
def _perform_step(
    step: upstream_search.Step,
    flow: RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    raise TypeError(f"no handler for {type(step).__name__}")


@_perform_step.register
def _(
    step: upstream_search.Send,
    flow: RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    if not flow._may_start_attempt(active_request, step.best):
        active_request.progress.reason = Reason.STOPPING
        flow.apply(active_request, active_request.progress.give_up())
        return
    order = flow._balancer.order
    if order is not None:
        order.record_served(active_request.request.priority, time.monotonic())
    flow._runner.start(active_request, step.best)


@_perform_step.register
def _(
    step: upstream_search.Sample,
    flow: RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    now = time.monotonic()
    for candidate in step.upstreams:
        active_request.pending_samples.add(candidate.record.upstream_id)
        flow._sampler.start_sample(candidate, now)
    flow._continue_search_after(active_request, SAMPLE_ROUND_TIMEOUT_S)


@_perform_step.register
def _(
    step: upstream_search.NoCapacity,
    flow: RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    if not active_request.progress.sent_count:
        active_request.progress.reason = Reason.OVERLOADED
    flow.apply(active_request, active_request.progress.give_up())


@_perform_step.register
def _(
    step: upstream_search.NoRoom,
    flow: RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    progress = active_request.progress
    if not progress.sent_count:
        progress.reason = Reason.RATE_LIMITED
        if step.after_s < math.inf:
            progress.retry_after_s = step.after_s
    flow.apply(active_request, progress.give_up())


@_perform_step.register
def _(
    step: upstream_search.TooLate,
    flow: RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    active_request.progress.reason = Reason.DEADLINE
    flow.apply(active_request, active_request.progress.give_up())


@_perform_step.register
def _(
    step: upstream_search.Wait,
    flow: RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    active_request.is_waiting = True
    flow._continue_search_after(active_request, step.after_s)


@_perform_step.register
def _(
    step: upstream_search.NoCandidates,
    flow: RequestFlow,
    active_request: messages.ActiveRequest,
) -> None:
    flow.apply(active_request, active_request.progress.give_up())
