"""Task that owns one service's upstreams, connections and retry budget."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import messaging
from sesamevale import outcomes
from sesamevale.forwarding import messages
from sesamevale.forwarding import sampling
from sesamevale.forwarding import upstream_health
from sesamevale.forwarding import waiting
from sesamevale.policy import forwarding
from sesamevale.policy import load_sampling
from sesamevale.policy import retry_budget
from sesamevale.policy import searching
from sesamevale.policy import upstream_state
from sesamevale.upstreams import link_messages
from sesamevale.upstreams import link_pool

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import event_log
    from sesamevale import http1
    from sesamevale import metrics
    from sesamevale import routes

__all__ = ["ServiceTask"]

# Longest wait for the samples of one round. A sample takes the upstream a few
# milliseconds and a round trip.
SAMPLE_WAIT_S = 0.025
# A connection that was used within this time is known to be alive.
VERIFIED_IDLE_S = 0.1
SWEEP_INTERVAL_S = 1.0
# Time left below which another attempt makes no sense.
USEFUL_LEFT_S = 0.05
SERVER_ERROR = 500

Reason = outcomes.Reason


class ServiceTask(messaging.Actor[messages.Message]):
    """Forwards the requests of one service.

    Args:
        service: The service.
        fleet: State that chooses upstreams.
        budget: Retry budget of this entry for the service.
        dialect: Header fields.
        events: Where decisions are logged.
        book: Measurements.
        on_misplaced: Called with the identifier of an upstream whose address
            answers for another one.
    """

    def __init__(
        self,
        service: routes.Service,
        fleet: load_sampling.Fleet,
        budget: retry_budget.RetryBudget,
        dialect: http1.Dialect,
        events: event_log.EventLog,
        book: metrics.Book,
        on_misplaced: Callable[[str], None],
    ) -> None:
        super().__init__(f"service-{service.name}")
        self._fleet = fleet
        self._budget = budget
        self._events = events
        self._book = book
        self._on_misplaced = on_misplaced
        self._connections_max = service.connections_max
        self._pool = link_pool.LinkPool(dialect)
        self._sampler = sampling.Sampler(
            service.health_path, self._pool, book, self.send
        )
        self._running: dict[int, messages.Running] = {}
        self._loop = asyncio.get_running_loop()
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def fleet(self) -> load_sampling.Fleet:
        """Upstreams as this task sees them, for reports."""
        return self._fleet

    @property
    def active(self) -> int:
        """Requests that have not ended."""
        return len(self._running)

    async def __aexit__(self, *exc_info: object) -> None:
        self._sweeper.cancel()
        await super().__aexit__(*exc_info)
        for running in self._running.values():
            if running.link is not None:
                running.link.close()
            if running.timer is not None:
                running.timer.cancel()
        self._pool.close_all()

    def receive(self, message: messages.Message) -> None:
        """Implements ``messaging.Actor``."""
        _receive(message, self)

    def _share_connections(self) -> None:
        """Divides the connections of each upstream among the entries."""
        self._pool.set_share(self._connections_max / self._budget.entries)

    def _sweep(self) -> None:
        self.send(messages.Sweep())
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _select(self, running: messages.Running) -> None:
        """Begins the choice of an upstream for the next attempt."""
        request = running.request
        patience_s = request.caller_deadline - request.arrived
        name = request.route.name
        running.search = searching.Search(
            name,
            self._fleet.first_arrival(name, request.arrived, patience_s),
            request.route.objective_s,
            running.tried,
            time.monotonic(),
        )
        self._continue(running)

    def _continue(self, running: messages.Running) -> None:
        """Goes on with the choice of an upstream."""
        assert running.search is not None
        running.awaited = set()
        running.pausing = False
        running.round += 1
        now = time.monotonic()
        running.search.must_yield = waiting.has_hopeful(
            self._running.values(), self._fleet, now
        )
        _follow(self._fleet.next_step(running.search, now), self, running)

    def _wake_after(self, running: messages.Running, seconds: float) -> None:
        over = messages.RoundOver(running.request.number, running.round)
        self._loop.call_later(seconds, self.send, over)

    def _send(
        self, running: messages.Running, best: upstream_state.Ranked
    ) -> None:
        request = running.request
        now = time.monotonic()
        candidate = best.candidate
        entry = candidate.entry
        running.attempts += 1
        attempt = running.attempts
        idle_max_s = VERIFIED_IDLE_S
        if request.route.repeatable:
            idle_max_s = float("inf")
        link = self._pool.take(entry, idle_max_s, now)
        running.round += 1
        running.candidate, running.link = candidate, link
        running.expected, running.sent_at = best.expected, now
        candidate.started()

        def report(result: forwarding.Result) -> None:
            self.send(messages.AttemptEnded(request.number, attempt, result))

        link.send(link_messages.Forward(request, report))
        self._events.decision(
            "attempt",
            request=request.request_id.decode("ascii", "replace"),
            attempt=attempt,
            service=request.service,
            upstream=entry.upstream_id,
            data_center=entry.data_center,
            expected=round(best.expected, 2),
            load=_describe(candidate.load),
            load_fresh=candidate.is_fresh(now),
            tried=len(running.tried),
            config=request.version,
        )

    def _attempt_over(
        self, running: messages.Running, result: forwarding.Result
    ) -> None:
        """Takes what an attempt says of its upstream."""
        candidate, link = running.candidate, running.link
        assert candidate is not None and link is not None
        running.candidate = running.link = None
        candidate.ended()
        name = candidate.entry.upstream_id
        running.tried |= {name}
        if isinstance(result, forwarding.Answered) and result.rest is not None:
            self._pool.release(name)
        else:
            self._pool.give_back(name, link)
        if _is_success(result):
            seconds = time.monotonic() - running.sent_at
            route = running.request.route.name
            self._fleet.answered(route, seconds, running.expected)
        if isinstance(result, forwarding.Answered | forwarding.Rejected):
            self._note_load(candidate, result.load)
        upstream_health.record_result(
            result, candidate, self._book, self._on_misplaced
        )

    def _note_load(
        self,
        candidate: upstream_state.Candidate,
        load: upstream_state.Load | None,
    ) -> None:
        """Takes a load figure and goes on with what waited for one."""
        if load is None:
            return
        now = time.monotonic()
        self._fleet.sampled(candidate, load, now)
        name = candidate.entry.upstream_id
        everybody = self._running.values()
        for running in waiting.by_urgency(everybody, self._fleet, now):
            if not candidate.has_room(now):
                return
            if name not in running.tried:
                self._continue(running)

    def _apply(
        self, running: messages.Running, decision: forwarding.Decision
    ) -> None:
        _apply(decision, self, running)

    def _conclude(
        self,
        running: messages.Running,
        outcome: outcomes.NotRun | outcomes.Unknown,
    ) -> None:
        running.request.answer.put(calls.Failed(outcome))
        self._finish(running)

    def _finish(self, running: messages.Running) -> None:
        self._running.pop(running.request.number, None)
        if running.timer is not None:
            running.timer.cancel()

    def _stop_attempt(self, running: messages.Running) -> bool:
        """Ends the current attempt; True if it may have been sent."""
        candidate, link = running.candidate, running.link
        if candidate is None or link is None:
            return False
        sent = link.has_sent
        running.candidate = running.link = None
        candidate.ended()
        self._pool.discard(candidate.entry.upstream_id, link)
        running.attempts += 1
        return sent


def _is_success(result: forwarding.Result) -> bool:
    if not isinstance(result, forwarding.Answered):
        return False
    return result.status < SERVER_ERROR


def _describe(load: upstream_state.Load | None) -> str:
    if load is None:
        return ""
    return f"{load.running}+{load.waiting}/{load.slots}x{load.slowdown:g}"


@functools.singledispatch
def _receive(message: messages.Message, task: ServiceTask) -> None:
    raise TypeError(f"no rule for {type(message).__name__}")


@_receive.register
def _(message: messages.Submit, task: ServiceTask) -> None:
    request = message.request
    task._budget.note_request(request.arrived)
    limits = forwarding.Attempt(
        request.route.repeatable, request.route.upstreams_max
    )
    running = messages.Running(request, forwarding.Progress(limits))
    task._running[request.number] = running
    deadline = messages.Deadline(request.number)
    running.timer = task._loop.call_at(request.deadline, task.send, deadline)
    task._select(running)


@_receive.register
def _(message: messages.CallerGone, task: ServiceTask) -> None:
    running = task._running.get(message.number)
    if running is None:
        return
    link = running.link
    if (
        link is not None
        and link.has_sent
        and (not running.request.route.repeatable)
    ):
        running.orphaned = True
        return
    task._stop_attempt(running)
    task._finish(running)


@_receive.register
def _(message: messages.SetUpstreams, task: ServiceTask) -> None:
    now = time.monotonic()
    for name in task._fleet.set_entries(message.entries, now):
        task._pool.forget(name)


@_receive.register
def _(message: messages.SetService, task: ServiceTask) -> None:
    task._sampler.path = message.service.health_path
    task._connections_max = message.service.connections_max
    task._share_connections()


@_receive.register
def _(message: messages.SetEntryCount, task: ServiceTask) -> None:
    task._budget.set_entries(message.count, time.monotonic())
    task._share_connections()


@_receive.register
def _(message: messages.SampleEnded, task: ServiceTask) -> None:
    now = time.monotonic()
    candidate, sampled = message.candidate, message.sampled
    name = candidate.entry.upstream_id
    task._sampler.ended(message, now)
    if sampled.load is not None:
        task._note_load(candidate, sampled.load)
    elif sampled.healthy:
        task._fleet.silent_on_load()
    for running in list(task._running.values()):
        if name not in running.awaited:
            continue
        running.awaited.discard(name)
        best = task._fleet.best(running.tried, now)
        if not running.awaited or (best is not None and best.is_calm):
            task._continue(running)


@_receive.register
def _(message: messages.RoundOver, task: ServiceTask) -> None:
    running = task._running.get(message.number)
    if running is not None and running.round == message.round:
        task._continue(running)


@_receive.register
def _(message: messages.AttemptEnded, task: ServiceTask) -> None:
    running = task._running.get(message.number)
    if running is None or running.attempts != message.attempt:
        return
    task._attempt_over(running, message.result)
    if running.orphaned:
        task._finish(running)
        return
    task._apply(running, running.progress.after(message.result))


@_receive.register
def _(message: messages.Deadline, task: ServiceTask) -> None:
    running = task._running.get(message.number)
    if running is None:
        return
    candidate = running.candidate
    if running.link is not None and running.link.has_result:
        return
    if task._stop_attempt(running):
        assert candidate is not None
        candidate.failed(time.monotonic())
        decision = running.progress.after(forwarding.TimedOut())
    else:
        running.progress.why = Reason.DEADLINE
        decision = running.progress.give_up()
    running.round += 1
    running.awaited = set()
    task._apply(running, decision)


@_receive.register
def _(message: messages.Sweep, task: ServiceTask) -> None:
    task._pool.close_expired(time.monotonic())


@functools.singledispatch
def _follow(
    step: searching.Step, task: ServiceTask, running: messages.Running
) -> None:
    raise TypeError(f"no rule for {type(step).__name__}")


@_follow.register
def _(
    step: searching.Send, task: ServiceTask, running: messages.Running
) -> None:
    task._send(running, step.best)


@_follow.register
def _(
    step: searching.Sample, task: ServiceTask, running: messages.Running
) -> None:
    now = time.monotonic()
    for candidate in step.upstreams:
        running.awaited.add(candidate.entry.upstream_id)
        task._sampler.ask(candidate, now)
    task._wake_after(running, SAMPLE_WAIT_S)


@_follow.register
def _(
    step: searching.NoRoom, task: ServiceTask, running: messages.Running
) -> None:
    if not running.progress.sent:
        running.progress.why = Reason.OVERLOADED
    task._apply(running, running.progress.give_up())


@_follow.register
def _(
    step: searching.LookAgain, task: ServiceTask, running: messages.Running
) -> None:
    running.pausing = True
    task._wake_after(running, step.after_s)


@_follow.register
def _(
    step: searching.Nobody, task: ServiceTask, running: messages.Running
) -> None:
    task._apply(running, running.progress.give_up())


@functools.singledispatch
def _apply(
    decision: forwarding.Decision, task: ServiceTask, running: messages.Running
) -> None:
    raise TypeError(f"no rule for {type(decision).__name__}")


@_apply.register
def _(
    decision: forwarding.Retry, task: ServiceTask, running: messages.Running
) -> None:
    now = time.monotonic()
    progress = running.progress
    if running.request.deadline - now < USEFUL_LEFT_S:
        task._apply(running, progress.give_up())
    elif decision.pays and not task._budget.take(now):
        task._book.count("retries_over_budget")
        task._apply(running, progress.give_up())
    else:
        task._book.count("retries")
        task._select(running)


@_apply.register
def _(
    decision: forwarding.Deliver, task: ServiceTask, running: messages.Running
) -> None:
    found = decision.answer
    answer = running.request.answer
    answer.put(calls.AnswerHead(found.status, found.headers))
    if found.body:
        answer.put(calls.AnswerData(found.body))
    if found.rest is None:
        answer.put(calls.AnswerEnd())
    else:
        answer.follow(found.rest)
    task._finish(running)


@_apply.register
def _(
    decision: forwarding.Refuse, task: ServiceTask, running: messages.Running
) -> None:
    task._conclude(running, outcomes.NotRun(decision.why))


@_apply.register
def _(
    decision: forwarding.Fail, task: ServiceTask, running: messages.Running
) -> None:
    task._conclude(running, outcomes.Unknown(decision.why))
