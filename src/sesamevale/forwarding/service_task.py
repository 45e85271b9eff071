"""Task that owns one service's upstreams, connections and retry budget."""

from __future__ import annotations

import asyncio
import functools
import math
import time
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import messaging
from sesamevale import outcomes
from sesamevale.forwarding import attempt_runner
from sesamevale.forwarding import messages
from sesamevale.forwarding import sampling
from sesamevale.forwarding import signal_recorder
from sesamevale.forwarding import upstream_health
from sesamevale.forwarding import waiting
from sesamevale.policy import forwarding
from sesamevale.policy import load_sampling
from sesamevale.policy import retry_budget
from sesamevale.policy import upstream_search
from sesamevale.policy import upstream_state
from sesamevale.upstreams import link_pool

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import event_log
    from sesamevale import http1
    from sesamevale import metrics
    from sesamevale import routes
    from sesamevale.policy import drain_schedule

__all__ = ["ServiceTask"]

# Timeout of the samples of one round. A sample takes a round trip and a few
# milliseconds at the upstream.
SAMPLE_ROUND_TIMEOUT_S = 0.025
# Interval at which idle connections are checked for expiry.
SWEEP_INTERVAL_S = 1.0
# Shortest time to the deadline with which another attempt is made.
RETRY_TIME_MIN_S = 0.05

Reason = outcomes.Reason


class ServiceTask(messaging.Actor[messages.Message]):
    """Forwards the requests of one service.

    Args:
        service: The service.
        balancer: Chooses upstreams.
        budget: Retry budget of this entry for the service.
        dialect: Names of the header fields.
        events: Log of decisions.
        recorder: Records metrics.
        on_misplaced: Called with the identifier of an upstream at whose
            address another upstream answers.
    """

    def __init__(
        self,
        service: routes.Service,
        balancer: load_sampling.LoadBalancer,
        budget: retry_budget.RetryBudget,
        dialect: http1.Dialect,
        events: event_log.EventLog,
        recorder: metrics.MetricsRecorder,
        on_misplaced: Callable[[str], None],
    ) -> None:
        super().__init__(f"service-{service.name}")
        self._balancer = balancer
        self._budget = budget
        self._recorder = recorder
        self._signal_recorder = signal_recorder.SignalRecorder(
            balancer.signals, events, recorder
        )
        self._on_misplaced = on_misplaced
        self._connections_max = service.connections_max
        self._pool = link_pool.LinkPool(dialect)
        self._sampler = sampling.Sampler(
            service.health_path, self._pool, recorder, self.send
        )
        self._runner = attempt_runner.AttemptRunner(
            self._pool, balancer, events, self.send
        )
        self._active_requests: dict[int, messages.ActiveRequest] = {}
        self._drain_schedule: drain_schedule.DrainSchedule | None = None
        self._loop = asyncio.get_running_loop()
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def balancer(self) -> load_sampling.LoadBalancer:
        """Load balancer of this task, for status reports."""
        return self._balancer

    @property
    def active_count(self) -> int:
        """Number of requests that have not ended."""
        return len(self._active_requests)

    async def __aexit__(self, *exc_info: object) -> None:
        self._sweeper.cancel()
        await super().__aexit__(*exc_info)
        for active_request in self._active_requests.values():
            if active_request.link is not None:
                active_request.link.close()
            if active_request.timer is not None:
                active_request.timer.cancel()
        self._pool.close_all()

    def fail_requests(self) -> None:
        """Ends the requests of this task after an exception has ended it.

        Its state may be inconsistent, so each outcome is unknown.
        """
        unknown = outcomes.Unknown(Reason.STOPPING)
        for active_request in self._active_requests.values():
            active_request.request.answer.put(calls.AnswerFailed(unknown))
        self._active_requests.clear()
        while len(self._inbox):
            message = self._inbox.get_nowait()
            if isinstance(message, messages.Submit):
                message.request.answer.put(calls.AnswerFailed(unknown))

    def receive(self, message: messages.Message) -> None:
        """Implements ``messaging.Actor``."""
        _receive(message, self)

    def _update_connection_share(self) -> None:
        """Divides the connections to each upstream among the entries."""
        self._pool.set_connection_share(
            self._connections_max / self._budget.entry_count
        )

    def _sweep(self) -> None:
        self.send(messages.CloseExpiredConnections())
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _start_search(self, active_request: messages.ActiveRequest) -> None:
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
        )
        self._continue_search(active_request)

    def _continue_search(self, active_request: messages.ActiveRequest) -> None:
        """Starts the next round of the search for an upstream."""
        assert active_request.search is not None
        active_request.pending_samples = set()
        active_request.is_waiting = False
        active_request.round += 1
        now = time.monotonic()
        active_request.search.must_yield = waiting.any_can_meet_objective(
            self._active_requests.values(), self._balancer, now
        )
        if self._balancer.signals.instances:
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
        self._loop.call_later(seconds, self.send, timeout)

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

    def _finish_attempt(
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
            self._record_load(candidate, result.load)
        upstream_health.record_result(
            result, candidate, self._recorder, self._on_misplaced
        )

    def _record_load(
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
                self._continue_search(active_request)

    def _set_deadline_timer(
        self, active_request: messages.ActiveRequest
    ) -> None:
        if active_request.timer is not None:
            active_request.timer.cancel()
        request = active_request.request
        deadline = messages.DeadlineExpired(request.number)
        active_request.timer = self._loop.call_at(
            request.deadline, self.send, deadline
        )

    def _end_stream(
        self, active_request: messages.ActiveRequest, *, complete: bool
    ) -> None:
        """Closes the connection of an answer that is streamed."""
        candidate = active_request.candidate
        assert candidate is not None
        self._runner.stop(active_request)
        if not complete:
            candidate.record_failure(time.monotonic())
        self._finish(active_request)

    def _fail_stream(
        self, active_request: messages.ActiveRequest, reason: Reason
    ) -> None:
        """Ends an answer that is streamed before it is complete."""
        failed = calls.AnswerFailed(outcomes.Unknown(reason))
        active_request.request.answer.put(failed)
        self._end_stream(active_request, complete=False)

    def _apply(
        self,
        active_request: messages.ActiveRequest,
        decision: forwarding.Decision,
    ) -> None:
        _apply(decision, self, active_request)

    def _fail(
        self,
        active_request: messages.ActiveRequest,
        outcome: outcomes.NotRun | outcomes.Unknown,
    ) -> None:
        active_request.request.answer.put(calls.AnswerFailed(outcome))
        self._finish(active_request)

    def _finish(self, active_request: messages.ActiveRequest) -> None:
        self._active_requests.pop(active_request.request.number, None)
        if active_request.timer is not None:
            active_request.timer.cancel()


@functools.singledispatch
def _receive(message: messages.Message, task: ServiceTask) -> None:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: messages.Submit, task: ServiceTask) -> None:
    request = message.request
    task._budget.record_request(request.arrived)
    limits = forwarding.AttemptLimits(
        request.route.repeatable, request.route.upstreams_max
    )
    active_request = messages.ActiveRequest(
        request, forwarding.Progress(limits)
    )
    task._active_requests[request.number] = active_request
    task._set_deadline_timer(active_request)
    task._start_search(active_request)


@_receive.register
def _(message: messages.CallerGone, task: ServiceTask) -> None:
    active_request = task._active_requests.get(message.number)
    if active_request is None:
        return
    link = active_request.link
    if (
        link is not None
        and link.has_sent
        and not active_request.is_streaming
        and not active_request.request.route.repeatable
    ):
        active_request.is_abandoned = True
        return
    task._runner.stop(active_request)
    task._finish(active_request)


@_receive.register
def _(message: messages.SetUpstreams, task: ServiceTask) -> None:
    now = time.monotonic()
    task._signal_recorder.retain(message.records)
    for name in task._balancer.set_upstreams(message.records, now):
        task._pool.close_idle(name)


@_receive.register
def _(message: messages.SetService, task: ServiceTask) -> None:
    task._sampler.path = message.service.health_path
    task._connections_max = message.service.connections_max
    task._update_connection_share()


@_receive.register
def _(message: messages.SetEntryCount, task: ServiceTask) -> None:
    task._budget.set_entry_count(message.count, time.monotonic())
    task._update_connection_share()


@_receive.register
def _(message: messages.SetRegisteredEntries, task: ServiceTask) -> None:
    task._balancer.shares.set_members(
        message.peers, message.read_at, time.monotonic()
    )


@_receive.register
def _(message: messages.SampleEnded, task: ServiceTask) -> None:
    now = time.monotonic()
    candidate, result = message.candidate, message.result
    name = candidate.record.upstream_id
    task._sampler.finish_sample(message, now)
    task._signal_recorder.record(
        candidate.record, result.signals, signal_recorder.Source.SAMPLE
    )
    if result.load is not None:
        task._record_load(candidate, result.load)
    elif result.healthy:
        task._balancer.record_missing_load()
    for active_request in list(task._active_requests.values()):
        if name not in active_request.pending_samples:
            continue
        active_request.pending_samples.discard(name)
        best = task._balancer.find_best(active_request.tried, now)
        if not active_request.pending_samples or (
            best is not None and best.is_good_enough
        ):
            task._continue_search(active_request)


@_receive.register
def _(message: messages.RoundTimeout, task: ServiceTask) -> None:
    active_request = task._active_requests.get(message.number)
    if active_request is not None and active_request.round == message.round:
        task._continue_search(active_request)


@_receive.register
def _(message: messages.AttemptEnded, task: ServiceTask) -> None:
    active_request = task._active_requests.get(message.number)
    if active_request is None or active_request.attempts != message.attempt:
        return
    task._finish_attempt(active_request, message.result)
    if active_request.is_abandoned:
        task._runner.stop(active_request)
        task._finish(active_request)
        return
    task._apply(
        active_request, active_request.progress.decide_next(message.result)
    )


@_receive.register
def _(message: messages.StreamEnded, task: ServiceTask) -> None:
    active_request = task._active_requests.get(message.number)
    if active_request is not None and active_request.is_streaming:
        task._end_stream(active_request, complete=message.complete)


@_receive.register
def _(message: messages.DeadlineExpired, task: ServiceTask) -> None:
    active_request = task._active_requests.get(message.number)
    if active_request is None:
        return
    if active_request.is_streaming:
        task._fail_stream(active_request, Reason.DEADLINE)
        return
    candidate = active_request.candidate
    if active_request.link is not None and active_request.link.has_result:
        return
    if task._runner.stop(active_request):
        assert candidate is not None
        candidate.record_failure(time.monotonic())
        decision = active_request.progress.decide_next(forwarding.TimedOut())
    else:
        active_request.progress.reason = Reason.DEADLINE
        decision = active_request.progress.give_up()
    active_request.round += 1
    active_request.pending_samples = set()
    task._apply(active_request, decision)


@_receive.register
def _(message: messages.StartDrain, task: ServiceTask) -> None:
    task._drain_schedule = message.schedule


@_receive.register
def _(message: messages.EndRequests, task: ServiceTask) -> None:
    for active_request in list(task._active_requests.values()):
        if active_request.is_streaming:
            task._fail_stream(active_request, Reason.STOPPING)
            continue
        if active_request.link is not None and active_request.link.has_result:
            continue
        progress = active_request.progress
        if task._runner.stop(active_request):
            progress.may_have_run = True
        progress.reason = Reason.STOPPING
        task._apply(active_request, progress.give_up())


@_receive.register
def _(message: messages.CloseExpiredConnections, task: ServiceTask) -> None:
    task._pool.close_expired(time.monotonic())


@functools.singledispatch
def _perform_step(
    step: upstream_search.Step,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    raise TypeError(f"no handler for {type(step).__name__}")


@_perform_step.register
def _(
    step: upstream_search.Send,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    if not task._may_start_attempt(active_request, step.best):
        active_request.progress.reason = Reason.STOPPING
        task._apply(active_request, active_request.progress.give_up())
        return
    task._runner.start(active_request, step.best)


@_perform_step.register
def _(
    step: upstream_search.Sample,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    now = time.monotonic()
    for candidate in step.upstreams:
        active_request.pending_samples.add(candidate.record.upstream_id)
        task._sampler.start_sample(candidate, now)
    task._continue_search_after(active_request, SAMPLE_ROUND_TIMEOUT_S)


@_perform_step.register
def _(
    step: upstream_search.NoCapacity,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    if not active_request.progress.sent_count:
        active_request.progress.reason = Reason.OVERLOADED
    task._apply(active_request, active_request.progress.give_up())


@_perform_step.register
def _(
    step: upstream_search.NoRoom,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    progress = active_request.progress
    if not progress.sent_count:
        progress.reason = Reason.RATE_LIMITED
        if step.after_s < math.inf:
            progress.retry_after_s = step.after_s
    task._apply(active_request, progress.give_up())


@_perform_step.register
def _(
    step: upstream_search.TooLate,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    active_request.progress.reason = Reason.DEADLINE
    task._apply(active_request, active_request.progress.give_up())


@_perform_step.register
def _(
    step: upstream_search.Wait,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    active_request.is_waiting = True
    task._continue_search_after(active_request, step.after_s)


@_perform_step.register
def _(
    step: upstream_search.NoCandidates,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    task._apply(active_request, active_request.progress.give_up())


@functools.singledispatch
def _apply(
    decision: forwarding.Decision,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    raise TypeError(f"no handler for {type(decision).__name__}")


@_apply.register
def _(
    decision: forwarding.Retry,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    now = time.monotonic()
    progress = active_request.progress
    if active_request.request.deadline - now < RETRY_TIME_MIN_S:
        task._apply(active_request, progress.give_up())
    elif decision.uses_budget and not task._budget.try_spend(now):
        task._recorder.count("retries_over_budget")
        task._apply(active_request, progress.give_up())
    else:
        task._recorder.count("retries")
        task._start_search(active_request)


@_apply.register
def _(
    decision: forwarding.Deliver,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    answer = decision.answer
    channel = active_request.request.answer
    channel.put(calls.AnswerHead(answer.status, answer.headers))
    if answer.body:
        channel.put(calls.AnswerData(answer.body))
    if answer.rest is None:
        channel.put(calls.AnswerEnd())
        task._finish(active_request)
        return
    channel.continue_with(answer.rest)
    # The timer may have expired while the result was in the inbox.
    task._set_deadline_timer(active_request)


@_apply.register
def _(
    decision: forwarding.Refuse,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    retry_after_ms = math.ceil(decision.retry_after_s * 1000)
    task._fail(active_request, outcomes.NotRun(decision.reason, retry_after_ms))


@_apply.register
def _(
    decision: forwarding.Fail,
    task: ServiceTask,
    active_request: messages.ActiveRequest,
) -> None:
    task._fail(active_request, outcomes.Unknown(decision.reason))
