"""Task that owns one service's upstreams, connections and retry budget."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import messaging
from sesamevale import outcomes
from sesamevale.forwarding import attempt_runner
from sesamevale.forwarding import inquiries
from sesamevale.forwarding import messages
from sesamevale.forwarding import permit_verdicts
from sesamevale.forwarding import permits
from sesamevale.forwarding import request_flow
from sesamevale.forwarding import sampling
from sesamevale.forwarding import signal_recorder
from sesamevale.policy.admission import retry_budget
from sesamevale.policy.balancing import load_sampling
from sesamevale.policy.calls import forwarding
from sesamevale.upstreams import link_pool

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import event_log
    from sesamevale import http1
    from sesamevale import metrics
    from sesamevale import routes
    from sesamevale.policy.admission import suspects

__all__ = ["ServiceTask"]

# Interval at which idle connections are checked for expiry.
SWEEP_INTERVAL_S = 1.0

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
        on_suspicions: Called with requests under which upstreams have ended,
            for the other entries.
        suspect_key: Key of the fingerprints of requests, the same at all
            entries.
        ask_permit: Sends a message to the task that gives out permits for
            the requests of tenants; None if they need none.
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
        on_suspicions: Callable[
            [tuple[suspects.Suspicion, ...]], None
        ] = lambda suspicions: None,
        suspect_key: bytes = b"",
        ask_permit: Callable[[permits.Message], None] | None = None,
    ) -> None:
        super().__init__(f"service-{service.name}")
        self._balancer = balancer
        self._budget = budget
        self._signal_recorder = signal_recorder.SignalRecorder(
            balancer.signals, balancer.warmups, events, recorder
        )
        self._connections_max = service.connections_max
        self._pool = link_pool.LinkPool(dialect)
        self._sampler = sampling.Sampler(
            service.health_path, self._pool, recorder, self.send
        )
        self._permits = permits.Permits(ask_permit, self.send)
        self._flow = request_flow.RequestFlow(
            balancer,
            budget,
            self._sampler,
            attempt_runner.AttemptRunner(
                self._pool, balancer, events, self.send, self._permits
            ),
            self._signal_recorder,
            recorder,
            self.send,
            on_misplaced,
        )
        self._inquiries = inquiries.Inquiries(
            events.entry_id,
            suspect_key,
            self.send,
            on_suspicions,
            events,
            recorder,
        )
        self._loop = asyncio.get_running_loop()
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def balancer(self) -> load_sampling.LoadBalancer:
        """Load balancer of this task, for status reports."""
        return self._balancer

    @property
    def active_count(self) -> int:
        """Number of requests that have not ended."""
        return len(self._flow.active_requests)

    async def __aexit__(self, *exc_info: object) -> None:
        self._sweeper.cancel()
        await super().__aexit__(*exc_info)
        self._inquiries.close()
        for active_request in self._flow.active_requests.values():
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
        for active_request in self._flow.active_requests.values():
            active_request.request.answer.put(calls.AnswerFailed(unknown))
        self._flow.active_requests.clear()
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


@functools.singledispatch
def _receive(message: messages.Message, task: ServiceTask) -> None:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: messages.Submit, task: ServiceTask) -> None:
    request = message.request
    task._budget.record_request(request.arrived)
    if task.balancer.order is not None:
        task.balancer.order.record_arrival(request.priority, request.arrived)
    limits = forwarding.AttemptLimits(
        request.route.repeatable, request.route.upstreams_max
    )
    active_request = messages.ActiveRequest(
        request, forwarding.Progress(limits)
    )
    task._flow.active_requests[request.number] = active_request
    refused = task._inquiries.judge(request)
    if refused is not None:
        task._flow.fail(active_request, refused)
        return
    task._flow.set_deadline_timer(active_request)
    if task._permits.admits(active_request):
        task._flow.start_search(active_request)


@_receive.register
def _(message: messages.PermitDecided, task: ServiceTask) -> None:
    active_request = task._flow.active_requests.get(message.request.number)
    if active_request is None:
        task._permits.give_back_late(message)
        return
    active_request.awaits_permit = False
    permit_verdicts.apply_verdict(message.verdict, task._flow, active_request)


@_receive.register
def _(message: messages.CallerGone, task: ServiceTask) -> None:
    active_request = task._flow.active_requests.get(message.number)
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
    task._flow.runner.stop(active_request)
    task._flow.finish(active_request)


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
    task._balancer.warmups.set_rate(
        message.service.warmup_rate_per_s, time.monotonic()
    )
    task._update_connection_share()


@_receive.register
def _(message: messages.SetEntryCount, task: ServiceTask) -> None:
    task._budget.set_entry_count(message.count, time.monotonic())
    task._update_connection_share()


@_receive.register
def _(message: messages.SetRegisteredEntries, task: ServiceTask) -> None:
    now = time.monotonic()
    for shares in (task._balancer.shares, task._balancer.warmups):
        shares.set_members(message.peers, message.read_at, now)


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
        task._flow.record_load(candidate, result.load)
    elif result.healthy:
        task._balancer.record_missing_load()
    for active_request in list(task._flow.active_requests.values()):
        if name not in active_request.pending_samples:
            continue
        active_request.pending_samples.discard(name)
        best = task._balancer.find_best(active_request.tried, now)
        if not active_request.pending_samples or (
            best is not None and best.is_good_enough
        ):
            task._flow.continue_search(active_request)


@_receive.register
def _(message: messages.RoundTimeout, task: ServiceTask) -> None:
    active_request = task._flow.active_requests.get(message.number)
    if active_request is not None and active_request.round == message.round:
        task._flow.continue_search(active_request)


@_receive.register
def _(message: messages.AttemptEnded, task: ServiceTask) -> None:
    active_request = task._flow.active_requests.get(message.number)
    if active_request is None or active_request.attempts != message.attempt:
        return
    candidate = active_request.candidate
    assert candidate is not None
    task._flow.finish_attempt(active_request, message.result)
    decision = task._inquiries.postpone(
        active_request,
        candidate,
        message.result,
        active_request.progress.decide_next(message.result),
    )
    if active_request.is_abandoned:
        task._flow.runner.stop(active_request)
        task._flow.finish(active_request)
    elif decision is not None:
        task._flow.apply(active_request, decision)


@_receive.register
def _(message: messages.InquiryEnded, task: ServiceTask) -> None:
    for active_request, decision in task._inquiries.end(message):
        number = active_request.request.number
        if task._flow.active_requests.get(number) is active_request:
            task._flow.apply(active_request, decision)


@_receive.register
def _(message: messages.SuspicionsHeard, task: ServiceTask) -> None:
    task._inquiries.hear(message.suspicions)


@_receive.register
def _(message: messages.StreamEnded, task: ServiceTask) -> None:
    active_request = task._flow.active_requests.get(message.number)
    if active_request is not None and active_request.is_streaming:
        task._flow.end_stream(active_request, complete=message.complete)


@_receive.register
def _(message: messages.DeadlineExpired, task: ServiceTask) -> None:
    active_request = task._flow.active_requests.get(message.number)
    if active_request is None:
        return
    if active_request.is_streaming:
        task._flow.fail_stream(active_request, Reason.DEADLINE)
        return
    candidate = active_request.candidate
    if active_request.link is not None and active_request.link.has_result:
        return
    if task._flow.runner.stop(active_request):
        assert candidate is not None
        candidate.record_failure(time.monotonic())
        decision = active_request.progress.decide_next(forwarding.TimedOut())
    else:
        active_request.progress.reason = Reason.DEADLINE
        decision = active_request.progress.give_up()
    active_request.round += 1
    active_request.pending_samples = set()
    task._flow.apply(active_request, decision)


@_receive.register
def _(message: messages.StartDrain, task: ServiceTask) -> None:
    task._flow.start_drain(message.schedule)


@_receive.register
def _(message: messages.EndRequests, task: ServiceTask) -> None:
    for active_request in list(task._flow.active_requests.values()):
        if active_request.is_streaming:
            task._flow.fail_stream(active_request, Reason.STOPPING)
            continue
        if active_request.link is not None and active_request.link.has_result:
            continue
        progress = active_request.progress
        if task._flow.runner.stop(active_request):
            progress.may_have_run = True
        progress.reason = Reason.STOPPING
        task._flow.apply(active_request, progress.give_up())


@_receive.register
def _(message: messages.CloseExpiredConnections, task: ServiceTask) -> None:
    task._pool.close_expired(time.monotonic())
    task._inquiries.forget()
