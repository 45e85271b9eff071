"""Dispatch policy for the calls of one service at one entry.

A call is bound to an upstream at once if a slot is free. Other calls wait in
one queue and are bound only when a slot becomes free. An entry that owns none
of the upstreams relays the call to an entry that does.
"""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING

from sesamevale import outcomes
from sesamevale.policy.admission import queueing
from sesamevale.policy.balancing import hedging
from sesamevale.policy.balancing import peer_loads
from sesamevale.policy.balancing import pool
from sesamevale.policy.calls import attempts
from sesamevale.policy.calls import call_state
from sesamevale.policy.calls import effects

if TYPE_CHECKING:
    from sesamevale import documents
    from sesamevale.policy.balancing import homes

__all__ = ["DispatchPolicy"]

INITIAL_SERVICE_TIME_S = 0.01
SERVICE_TIME_SMOOTHING_WEIGHT = 0.05
# A queued call with less time left than this is refused instead of bound.
MIN_REMAINING_SERVICE_TIMES = 1.5
# Time to keep free between the estimated wait in the queue and the deadline,
# and the largest share of the remaining time that it may take.
QUEUE_MARGIN_SERVICE_TIMES = 4.0
QUEUE_MARGIN_SHARE_MAX = 0.5


class DispatchPolicy:
    """Decides where and when the calls of one service run.

    Each method that handles an event returns the effects to apply, in order.
    The class does no input or output, and the current time is an argument.

    Args:
        service: The service.
        entry_id: Identifier of this entry.
        now: Monotonic time in seconds.
        warm: Whether upstreams start with all their slots.
    """

    def __init__(
        self,
        service: documents.Service,
        entry_id: str,
        now: float,
        *,
        warm: bool = True,
    ) -> None:
        self._service = service
        self._entry_id = entry_id
        self._pool = pool.UpstreamPool(service.upstreams, now, warm=warm)
        self._queue = queueing.FairQueue()
        self._hedger = hedging.Hedger(service.hedge_share)
        self._peers = peer_loads.PeerLoads()
        self._owned: frozenset[str] = frozenset()
        self._calls: dict[int, call_state.CallState] = {}
        self._attempts: dict[int, call_state.AttemptState] = {}
        self._attempt_ids = itertools.count(1)
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._slots_timer_at: float | None = None
        self._counts = call_state.Counts()

    @property
    def counts(self) -> call_state.Counts:
        """Counters since the start."""
        return self._counts

    @property
    def pool(self) -> pool.UpstreamPool:
        """Upstreams and their health."""
        return self._pool

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._queue)

    @property
    def owned(self) -> frozenset[str]:
        """Names of the upstreams that this entry owns."""
        return self._owned

    @property
    def active(self) -> int:
        """Calls that have not ended."""
        return len(self._calls)

    def is_active(self, call_id: int) -> bool:
        """Whether a call has not ended."""
        return call_id in self._calls

    def call_id_of(self, attempt_id: int) -> int:
        """Returns the call that an attempt in flight belongs to."""
        return self._attempts[attempt_id].call_id

    def load(self, now: float) -> attempts.PeerLoad:
        """Returns the load that this entry reports to other entries."""
        free = self._pool.free_slots(self._candidates(), now)
        return attempts.PeerLoad(free, len(self._queue))

    def set_service(
        self, service: documents.Service, now: float
    ) -> list[effects.Effect]:
        """Applies a new version of the service."""
        if service.hedge_share != self._service.hedge_share:
            self._hedger = hedging.Hedger(service.hedge_share)
        self._service = service
        self._pool.update(service.upstreams, now)
        return self._serve_queue(now)

    def set_homes(
        self, home_map: homes.HomeMap | None, now: float
    ) -> list[effects.Effect]:
        """Replaces the owners of the upstreams and places queued calls again.

        Args:
            home_map: Owners of the upstreams; None if the service has no homes.
            now: Monotonic time in seconds.
        """
        owners = home_map.owners if home_map is not None else {}
        self._owned = frozenset(
            name for name, owner in owners.items() if owner == self._entry_id
        )
        others = [owner for owner in owners.values() if owner != self._entry_id]
        self._peers.set_homes(others)
        return self._place_queued_calls(now)

    def set_leaving_upstreams(
        self, names: frozenset[str], now: float
    ) -> list[effects.Effect]:
        """Replaces the upstreams that the list of VMs marks as leaving."""
        self._pool.set_listed_leaving(names)
        return self._serve_queue(now)

    def record_probe(
        self, upstream: str, now: float, *, healthy: bool, leaving: bool
    ) -> list[effects.Effect]:
        """Records the result of a probe."""
        self._pool.record_probe(upstream, now, healthy=healthy)
        if leaving:
            self._pool.record_leaving(upstream, now)
        return self._serve_queue(now)

    def update_peer_load(
        self, entry_id: str, load: attempts.PeerLoad, now: float
    ) -> list[effects.Effect]:
        """Records the load of another entry and may relay queued calls."""
        self._peers.record_report(entry_id, load)
        return self._relay_queued_calls(now)

    def submit(
        self, properties: call_state.CallProperties, now: float
    ) -> list[effects.Effect]:
        """Starts the dispatch of a call."""
        self._counts.submitted += 1
        if properties.hedge:
            self._hedger.call_started()
        state = call_state.CallState(properties, properties.retries)
        self._calls[properties.call_id] = state
        timer = effects.SetTimer(
            effects.TimerKind.DEADLINE, properties.deadline, properties.call_id
        )
        return [timer, *self._place(state, now)]

    def attempt_ended(
        self, attempt_id: int, result: attempts.Result, now: float
    ) -> list[effects.Effect]:
        """Records the result of an attempt."""
        attempt = self._attempts.pop(attempt_id)
        if attempt.upstream is not None:
            self._pool.release_slot(attempt.upstream)
        if attempt.entry_id is not None:
            self._peers.record_relay_end(attempt.entry_id)
        state = self._calls.get(attempt.call_id)
        if state is not None:
            state.attempts.pop(attempt_id, None)
        wanted = _handle_result(result, self, attempt, state, now)
        return wanted + self._serve_queue(now)

    def cancel(self, call_id: int, now: float) -> list[effects.Effect]:
        """Cancels a call whose caller has disconnected.

        A call that must not be repeated is left to finish once it was sent.
        """
        state = self._calls.get(call_id)
        if state is None:
            return []
        if self._queue.remove(call_id):
            del self._calls[call_id]
            return self._serve_queue(now)
        if not state.properties.repeatable:
            return []
        return self._end_call(state)

    def timer_fired(
        self, kind: effects.TimerKind, call_id: int, now: float
    ) -> list[effects.Effect]:
        """Handles the expiry of a timer that ``SetTimer`` requested."""
        if kind is effects.TimerKind.SLOTS:
            self._slots_timer_at = None
            return self._serve_queue(now)
        state = self._calls.get(call_id)
        if state is None or state.ended:
            return []
        if kind is effects.TimerKind.HEDGE:
            return self._hedge(state, now)
        return self._give_up(state, outcomes.Reason.DEADLINE)

    def end_calls(self) -> list[effects.Effect]:
        """Ends all calls, since this entry stops."""
        wanted: list[effects.Effect] = []
        for state in list(self._calls.values()):
            wanted += self._give_up(state, outcomes.Reason.STOPPING)
        return wanted

    def _candidates(self) -> frozenset[str] | list[str]:
        return self._owned or list(self._pool.states)

    def _place(
        self, state: call_state.CallState, now: float
    ) -> list[effects.Effect]:
        """Binds, relays, queues or refuses a call."""
        if not self._service.upstreams:
            return self._refuse(state, outcomes.Reason.NO_UPSTREAM)
        if not self._owned and state.properties.hops > 0:
            entry_id = self._peers.best_home(state.tried)
            if entry_id is not None:
                return self._relay(state, entry_id, now)
        chosen = None
        if not len(self._queue):
            chosen = self._choose(state, now)
        if chosen is not None:
            return self._bind(state, chosen, now)
        if self._owned and state.properties.hops > 0:
            entry_id = self._peers.idle_home(state.tried)
            if entry_id is not None:
                return self._relay(state, entry_id, now)
        if not self._can_meet_deadline(state, now):
            return self._refuse(state, outcomes.Reason.OVERLOADED)
        return self._enqueue(state, now)

    def _choose(self, state: call_state.CallState, now: float) -> str | None:
        candidates = self._candidates()
        chosen = self._pool.choose(candidates, state.tried, now)
        if chosen is None and state.tried.issuperset(candidates):
            chosen = self._pool.choose(candidates, (), now)
        return None if chosen is None else chosen.upstream.name

    def _can_meet_deadline(
        self, state: call_state.CallState, now: float
    ) -> bool:
        """Whether a call that is queued can probably meet its deadline.

        A call that is sent with little time left mostly ends past its
        deadline and wastes a slot, so the remaining time has to cover the
        estimated wait and a margin of several service times.
        """
        remaining = state.properties.deadline - now
        margin = min(
            QUEUE_MARGIN_SERVICE_TIMES * self._service_time_s,
            QUEUE_MARGIN_SHARE_MAX * remaining,
        )
        slots = self._pool.allowed_slots(self._candidates(), now)
        ahead = self._queue.count_ahead_of(state.properties.priority)
        wait = ahead * self._service_time_s / max(1, slots)
        return wait + margin < remaining

    def _bind(
        self, state: call_state.CallState, upstream: str, now: float
    ) -> list[effects.Effect]:
        properties = state.properties
        attempt = self._new_attempt(state, now, upstream=upstream)
        self._pool.acquire_slot(upstream, now)
        self._counts.bound += 1
        may_retry = (
            properties.repeatable
            and properties.replayable
            and state.retries > 0
        )
        bind: effects.Effect = effects.Bind(
            properties.call_id,
            attempt.attempt_id,
            upstream,
            state.retries if self._service.nested else 0,
            may_retry,
        )
        delay = self._hedger.delay
        if not properties.hedge or state.hedged or delay is None:
            return [bind]
        at = now + delay
        return [
            bind,
            effects.SetTimer(effects.TimerKind.HEDGE, at, properties.call_id),
        ]

    def _relay(
        self, state: call_state.CallState, entry_id: str, now: float
    ) -> list[effects.Effect]:
        attempt = self._new_attempt(state, now, entry_id=entry_id)
        self._peers.record_relay(entry_id)
        self._counts.relayed += 1
        return [
            effects.Relay(
                state.properties.call_id,
                attempt.attempt_id,
                entry_id,
                state.retries,
            )
        ]

    def _new_attempt(
        self,
        state: call_state.CallState,
        now: float,
        *,
        upstream: str | None = None,
        entry_id: str | None = None,
    ) -> call_state.AttemptState:
        attempt = call_state.AttemptState(
            next(self._attempt_ids),
            state.properties.call_id,
            upstream,
            entry_id,
            now,
        )
        state.attempts[attempt.attempt_id] = attempt
        state.tried.add(upstream or entry_id or "")
        self._attempts[attempt.attempt_id] = attempt
        return attempt

    def _enqueue(
        self, state: call_state.CallState, now: float
    ) -> list[effects.Effect]:
        properties = state.properties
        queued_call = queueing.QueuedCall(
            properties.call_id, properties.priority, properties.caller
        )
        wanted: list[effects.Effect] = []
        if len(self._queue) >= self._service.queue_limit:
            evicted_id = self._queue.eviction_candidate(queued_call)
            if evicted_id is None:
                return self._refuse(state, outcomes.Reason.OVERLOADED)
            self._queue.remove(evicted_id)
            wanted = self._refuse(
                self._calls[evicted_id], outcomes.Reason.OVERLOADED
            )
        self._queue.push(queued_call)
        self._counts.queued += 1
        return wanted + self._set_slots_timer(now)

    def _serve_queue(self, now: float) -> list[effects.Effect]:
        """Binds queued calls while there are free slots."""
        wanted: list[effects.Effect] = []
        while len(self._queue):
            if self._pool.free_slots(self._candidates(), now) <= 0:
                wanted += self._set_slots_timer(now)
                break
            call_id = self._queue.pop()
            if call_id is None:
                break
            wanted += self._bind_queued_call(self._calls[call_id], now)
        return wanted

    def _bind_queued_call(
        self, state: call_state.CallState, now: float
    ) -> list[effects.Effect]:
        remaining = state.properties.deadline - now
        if remaining < MIN_REMAINING_SERVICE_TIMES * self._service_time_s:
            return self._refuse(state, outcomes.Reason.DEADLINE)
        chosen = self._choose(state, now)
        if chosen is None:
            state.tried.clear()
            chosen = self._choose(state, now)
        if chosen is None:
            return self._refuse(state, outcomes.Reason.NO_UPSTREAM)
        return self._bind(state, chosen, now)

    def _set_slots_timer(self, now: float) -> list[effects.Effect]:
        """Sets a timer for slots that become free without any event."""
        at = self._pool.next_slot_change(now)
        if at is None:
            return []
        if self._slots_timer_at is not None and self._slots_timer_at <= at:
            return []
        self._slots_timer_at = at
        return [effects.SetTimer(effects.TimerKind.SLOTS, at)]

    def _place_queued_calls(self, now: float) -> list[effects.Effect]:
        waiting = []
        while (call_id := self._queue.pop()) is not None:
            waiting.append(call_id)
        wanted: list[effects.Effect] = []
        for call_id in waiting:
            wanted += self._place(self._calls[call_id], now)
        return wanted

    def _relay_queued_calls(self, now: float) -> list[effects.Effect]:
        """Relays queued calls to homes that probably have free slots."""
        wanted: list[effects.Effect] = []
        while len(self._queue) and self._peers.idle_home(()) is not None:
            call_id = self._queue.pop()
            if call_id is None:
                break
            state = self._calls[call_id]
            entry_id = self._peers.idle_home(state.tried)
            if entry_id is None or state.properties.hops <= 0:
                self._requeue_at_front(state)
                break
            wanted += self._relay(state, entry_id, now)
        return wanted

    def _requeue_at_front(self, state: call_state.CallState) -> None:
        properties = state.properties
        queued_call = queueing.QueuedCall(
            properties.call_id, properties.priority, properties.caller
        )
        self._queue.push(queued_call, front=True)

    def _hedge(
        self, state: call_state.CallState, now: float
    ) -> list[effects.Effect]:
        """Starts a second attempt if a slot is free and the budget allows."""
        if state.hedged or len(state.attempts) != 1 or len(self._queue):
            return []
        chosen = self._pool.choose(self._candidates(), state.tried, now)
        if chosen is None or not self._hedger.try_spend():
            return []
        state.hedged = True
        self._counts.hedged += 1
        wanted = self._bind(state, chosen.upstream.name, now)
        last = max(state.attempts)
        state.attempts[last].hedge = True
        return wanted

    def _give_up(
        self, state: call_state.CallState, reason: outcomes.Reason
    ) -> list[effects.Effect]:
        """Ends a call; its outcome is "unknown" if it may have run."""
        self._queue.remove(state.properties.call_id)
        if not state.attempts:
            return self._refuse(state, reason)
        self._counts.unknown += 1
        outcome = outcomes.Unknown(reason)
        fail_call = effects.FailCall(state.properties.call_id, outcome)
        return [fail_call, *self._end_call(state)]

    def _end_call(self, state: call_state.CallState) -> list[effects.Effect]:
        """Removes a call and cancels its attempts."""
        self._calls.pop(state.properties.call_id, None)
        state.ended = True
        return [
            effects.AbortAttempt(attempt_id) for attempt_id in state.attempts
        ]

    def _refuse(
        self,
        state: call_state.CallState,
        reason: outcomes.Reason,
        retry_after_ms: int = 0,
    ) -> list[effects.Effect]:
        """Ends a call that is not sent or not retried.

        The outcome is "not run" if no earlier attempt may have run, and
        "unknown" otherwise.
        """
        outcome: outcomes.NotRun | outcomes.Unknown
        if state.may_have_run:
            self._counts.unknown += 1
            outcome = outcomes.Unknown(reason)
        else:
            self._counts.refused += 1
            outcome = outcomes.NotRun(reason, retry_after_ms)
        wanted = self._end_call(state)
        return [effects.FailCall(state.properties.call_id, outcome), *wanted]

    def _handle_not_run(
        self,
        state: call_state.CallState | None,
        reason: outcomes.Reason,
        retry_after_ms: int,
        now: float,
    ) -> list[effects.Effect]:
        """Retries or refuses a call whose attempt certainly did not run."""
        if state is None or state.attempts:
            return []
        if not state.properties.replayable:
            return self._refuse(state, reason, retry_after_ms)
        if state.retries <= 0:
            return self._refuse(state, reason, retry_after_ms)
        state.retries -= 1
        self._counts.retried += 1
        return self._place(state, now)

    def _handle_possible_run(
        self,
        state: call_state.CallState | None,
        reason: outcomes.Reason,
        now: float,
        *,
        partly_delivered: bool,
        retry: bool,
    ) -> list[effects.Effect]:
        """Retries or ends a call whose attempt may have run."""
        if state is not None:
            state.may_have_run = True
        if state is None or state.attempts:
            return []
        properties = state.properties
        retry = (
            retry
            and not partly_delivered
            and properties.repeatable
            and properties.replayable
        )
        if retry and state.retries > 0:
            state.retries -= 1
            self._counts.retried += 1
            return self._place(state, now)
        self._counts.unknown += 1
        wanted = self._end_call(state)
        outcome = outcomes.Unknown(reason)
        return [effects.FailCall(properties.call_id, outcome), *wanted]

    def _account_nested_retries(
        self, state: call_state.CallState, retries_left: int | None
    ) -> None:
        """Deducts the retries that the layers behind the upstream have used.

        A nested upstream that does not report how many retries are left is
        assumed to have used them all.
        """
        if self._service.nested:
            state.retries = min(state.retries, retries_left or 0)

    def _record_service_time(self, seconds: float) -> None:
        change = seconds - self._service_time_s
        self._service_time_s += SERVICE_TIME_SMOOTHING_WEIGHT * change
        self._hedger.record_duration(seconds)


@functools.singledispatch
def _handle_result(
    result: attempts.Result,
    dispatch: DispatchPolicy,
    attempt: call_state.AttemptState,
    state: call_state.CallState | None,
    now: float,
) -> list[effects.Effect]:
    raise TypeError(f"no handler for {type(result).__name__}")


@_handle_result.register
def _(
    result: attempts.Completed,
    dispatch: DispatchPolicy,
    attempt: call_state.AttemptState,
    state: call_state.CallState | None,
    now: float,
) -> list[effects.Effect]:
    if attempt.upstream is not None:
        if result.failed:
            dispatch._pool.record_failure(attempt.upstream, now)
        else:
            dispatch._pool.record_success(attempt.upstream, result.seconds, now)
            dispatch._record_service_time(result.seconds)
        if result.leaving:
            dispatch._pool.record_leaving(attempt.upstream, now)
    if attempt.entry_id is not None and result.load is not None:
        dispatch._peers.record_report(attempt.entry_id, result.load)
    if state is None:
        return []
    if attempt.hedge:
        dispatch._counts.hedge_wins += 1
    return dispatch._end_call(state)


@_handle_result.register
def _(
    result: attempts.BufferedFailure,
    dispatch: DispatchPolicy,
    attempt: call_state.AttemptState,
    state: call_state.CallState | None,
    now: float,
) -> list[effects.Effect]:
    if attempt.upstream is not None:
        dispatch._pool.record_failure(attempt.upstream, now)
        if result.leaving:
            dispatch._pool.record_leaving(attempt.upstream, now)
    if state is not None:
        state.may_have_run = True
    if state is None or state.attempts:
        return []
    dispatch._account_nested_retries(state, result.retries_left)
    if state.retries > 0:
        state.retries -= 1
        dispatch._counts.retried += 1
        return dispatch._place(state, now)
    deliver = effects.DeliverAnswer(state.properties.call_id, result.answer)
    return [deliver, *dispatch._end_call(state)]


@_handle_result.register
def _(
    result: attempts.ShedByUpstream,
    dispatch: DispatchPolicy,
    attempt: call_state.AttemptState,
    state: call_state.CallState | None,
    now: float,
) -> list[effects.Effect]:
    dispatch._counts.shed_by_upstream += 1
    if attempt.upstream is not None:
        dispatch._pool.record_shed(attempt.upstream, now)
        if result.leaving:
            dispatch._pool.record_leaving(attempt.upstream, now)
    reason = outcomes.Reason.SHED
    return dispatch._handle_not_run(state, reason, result.retry_after_ms, now)


@_handle_result.register
def _(
    result: attempts.NotSent,
    dispatch: DispatchPolicy,
    attempt: call_state.AttemptState,
    state: call_state.CallState | None,
    now: float,
) -> list[effects.Effect]:
    if attempt.upstream is not None:
        if result.reason is outcomes.Reason.CONNECT_FAILED:
            dispatch._pool.record_failure(attempt.upstream, now, severe=True)
        return dispatch._handle_not_run(state, result.reason, 0, now)
    if state is None or state.attempts:
        return []
    if not state.properties.replayable:
        return dispatch._refuse(state, result.reason)
    return dispatch._place(state, now)


@_handle_result.register
def _(
    result: attempts.Lost,
    dispatch: DispatchPolicy,
    attempt: call_state.AttemptState,
    state: call_state.CallState | None,
    now: float,
) -> list[effects.Effect]:
    if attempt.upstream is not None:
        dispatch._pool.record_failure(attempt.upstream, now)
    reason = outcomes.Reason.CUT
    if attempt.entry_id is not None:
        reason = outcomes.Reason.PEER_LOST
    if state is not None:
        dispatch._account_nested_retries(state, None)
    return dispatch._handle_possible_run(
        state, reason, now, partly_delivered=result.partly_delivered, retry=True
    )


@_handle_result.register
def _(
    result: attempts.PeerRefused,
    dispatch: DispatchPolicy,
    attempt: call_state.AttemptState,
    state: call_state.CallState | None,
    now: float,
) -> list[effects.Effect]:
    if attempt.entry_id is not None:
        dispatch._peers.record_report(attempt.entry_id, result.load)
    if state is None:
        return []
    return dispatch._refuse(state, result.reason, result.retry_after_ms)


@_handle_result.register
def _(
    result: attempts.PeerOutcomeUnknown,
    dispatch: DispatchPolicy,
    attempt: call_state.AttemptState,
    state: call_state.CallState | None,
    now: float,
) -> list[effects.Effect]:
    return dispatch._handle_possible_run(
        state, result.reason, now, partly_delivered=False, retry=False
    )


@_handle_result.register
def _(
    result: attempts.Aborted,
    dispatch: DispatchPolicy,
    attempt: call_state.AttemptState,
    state: call_state.CallState | None,
    now: float,
) -> list[effects.Effect]:
    if attempt.upstream is not None:
        dispatch._hedger.record_duration(now - attempt.started)
    if state is None or state.attempts:
        return []
    return dispatch._handle_possible_run(
        state, outcomes.Reason.CUT, now, partly_delivered=False, retry=True
    )
