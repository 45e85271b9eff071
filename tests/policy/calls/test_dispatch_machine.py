"""Stateful fuzzing of the dispatch policy against a simple oracle."""

from __future__ import annotations

import math

from hypothesis import stateful
from hypothesis import strategies as st

from sesamevale import outcomes
from sesamevale.policy.calls import attempts
from sesamevale.policy.calls import call_state
from sesamevale.policy.calls import dispatch
from sesamevale.policy.calls import effects
from tests.builders import documents
from tests.builders import hypothesis_settings
from tests.builders import policy_values

SLOTS = 2
RETRIES = 2


class Oracle:
    """Attempts and end of each call, as counted at the upstreams."""

    def __init__(self) -> None:
        self.properties: dict[int, call_state.CallProperties] = {}
        self.sent: dict[int, int] = {}
        self.may_have_run: dict[int, int] = {}
        self.ended: dict[int, str] = {}
        self.reported: dict[int, object] = {}
        self.hedged: set[int] = set()


class DispatchMachine(stateful.RuleBasedStateMachine):
    """Random calls, results, cancellations and clock steps."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.service = documents.plain_service(
            upstreams=3, slots=SLOTS, hedge_share=0.2, queue_limit=6
        )
        self.dispatch = dispatch.DispatchPolicy(self.service, "e1", 0.0)
        self.oracle = Oracle()
        self.running: dict[int, effects.Bind] = {}
        self.aborted: set[int] = set()
        self.timers: list[effects.SetTimer] = []
        self.next_call = 1

    def apply(self, wanted: list[effects.Effect]) -> None:
        for effect in wanted:
            if isinstance(effect, effects.Bind):
                self.bind(effect)
            elif isinstance(effect, effects.AbortAttempt):
                self.aborted.add(effect.attempt_id)
            elif isinstance(effect, effects.SetTimer):
                self.timers.append(effect)
            elif isinstance(effect, effects.FailCall):
                self.record_end(effect.call_id, effect.outcome)
            elif isinstance(effect, effects.DeliverAnswer):
                self.record_end(effect.call_id, effect.answer)
            else:
                raise AssertionError(effect)

    def bind(self, bind: effects.Bind) -> None:
        call = bind.call_id
        assert call not in self.oracle.ended, "bound after its end"
        others = [
            each for each in self.running.values() if each.call_id == call
        ]
        assert all(each.upstream != bind.upstream for each in others)
        if others:
            assert self.oracle.properties[call].hedge, (
                "second attempt in flight without a hedge"
            )
        if not self.oracle.properties[call].repeatable:
            assert not self.oracle.may_have_run.get(call, 0), (
                "bound again after it may have run"
            )
        self.running[bind.attempt_id] = bind
        self.oracle.sent[call] = self.oracle.sent.get(call, 0) + 1

    def record_end(self, call_id: int, reported: object) -> None:
        assert call_id not in self.oracle.ended, "ended twice"
        self.oracle.ended[call_id] = type(reported).__name__
        self.oracle.reported[call_id] = reported
        if isinstance(reported, outcomes.NotRun):
            assert not self.oracle.may_have_run.get(call_id, 0)
            live = [
                each
                for each in self.running.values()
                if each.call_id == call_id
            ]
            assert not live, "refused while an attempt was in flight"

    @stateful.rule(
        repeatable=st.booleans(),
        hedge=st.booleans(),
        priority=st.integers(0, 2),
        caller=st.sampled_from(["a", "b", "c"]),
        lifetime=st.floats(0.05, 5.0),
    )
    def submit(self, repeatable, hedge, priority, caller, lifetime) -> None:
        call = policy_values.call_properties(
            self.next_call,
            repeatable=repeatable,
            hedge=hedge and repeatable,
            priority=priority,
            caller=caller,
            deadline=self.now + lifetime,
            retries=RETRIES,
        )
        self.next_call += 1
        self.oracle.properties[call.call_id] = call
        self.apply(self.dispatch.submit(call, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        pick=st.integers(0, 1000),
        kind=st.sampled_from(
            [
                "done",
                "done",
                "done",
                "failed",
                "held",
                "shed",
                "not_sent",
                "lost",
            ]
        ),
        seconds=st.floats(0.001, 0.5),
    )
    def end_attempt(self, pick, kind, seconds) -> None:
        attempt_id = sorted(self.running)[pick % len(self.running)]
        bind = self.running.pop(attempt_id)
        if attempt_id in self.aborted:
            self.mark_ran(bind)
            result: attempts.Result = attempts.Aborted()
        else:
            result = self.result(bind, kind, seconds)
        self.apply(self.dispatch.attempt_ended(attempt_id, result, self.now))

    @stateful.rule(
        kind=st.sampled_from(["shed", "not_sent", "lost"]),
        rounds=st.integers(1, 4),
    )
    def everything_fails(self, kind, rounds) -> None:
        for _ in range(rounds * len(self.running)):
            if self.running:
                self.end_attempt(0, kind, 0.01)

    def result(self, bind, kind, seconds) -> attempts.Result:
        if kind == "shed":
            return attempts.ShedByUpstream()
        if kind == "not_sent":
            return attempts.NotSent(outcomes.Reason.CONNECT_FAILED)
        self.mark_ran(bind)
        if kind == "lost":
            return attempts.Lost(partly_delivered=False)
        if kind == "held" and bind.buffer_failures:
            answer = outcomes.Answer(500, (), b"")
            return attempts.BufferedFailure(answer, seconds)
        if self.oracle.ended.get(bind.call_id) is None:
            self.record_end(bind.call_id, "answer")
        return attempts.Completed(seconds, failed=kind == "failed")

    def mark_ran(self, bind: effects.Bind) -> None:
        count = self.oracle.may_have_run.get(bind.call_id, 0) + 1
        self.oracle.may_have_run[bind.call_id] = count

    @stateful.precondition(lambda self: self.oracle.properties)
    @stateful.rule(pick=st.integers(0, 1000))
    def caller_goes(self, pick) -> None:
        call_id = 1 + pick % len(self.oracle.properties)
        was_open = call_id not in self.oracle.ended
        self.apply(self.dispatch.cancel(call_id, self.now))
        if was_open and not self.dispatch.is_active(call_id):
            self.oracle.ended[call_id] = "cancelled"

    @stateful.rule(step=st.floats(0.001, 1.0))
    def pass_time(self, step) -> None:
        until = self.now + step
        while True:
            due = [timer for timer in self.timers if timer.at <= until]
            if not due:
                break
            timer = min(due, key=lambda each: each.at)
            self.timers.remove(timer)
            self.now = max(self.now, timer.at)
            self.apply(
                self.dispatch.timer_fired(timer.kind, timer.call_id, self.now)
            )
        self.now = until

    @stateful.invariant()
    def slots_are_not_exceeded(self) -> None:
        for name, state in self.dispatch.pool.states.items():
            used = sum(each.upstream == name for each in self.running.values())
            assert used <= SLOTS
            assert used == state.in_flight

    @stateful.invariant()
    def retries_stay_within_budget(self) -> None:
        for call_id, sent in self.oracle.sent.items():
            hedges = 1 if self.oracle.properties[call_id].hedge else 0
            assert sent <= 1 + RETRIES + hedges

    @stateful.invariant()
    def no_call_waits_while_a_slot_is_free(self) -> None:
        if self.dispatch.queued:
            free = self.dispatch.pool.free_slots(
                list(self.dispatch.pool.states), self.now
            )
            pending = [
                timer.at
                for timer in self.timers
                if timer.kind is effects.TimerKind.SLOTS
            ]
            assert free == 0 or min(pending, default=math.inf) <= self.now

    def teardown(self) -> None:
        """Checks that every call has ended once its deadline has passed."""
        self.pass_time(100.0)
        for call_id in self.oracle.properties:
            assert call_id in self.oracle.ended, "no outcome by the deadline"
        for _ in range(1000):
            if not self.running:
                break
            self.end_attempt(0, "done", 0.01)
        assert self.dispatch.active == 0
        assert self.dispatch.queued == 0


TestDispatch = DispatchMachine.TestCase
TestDispatch.settings = hypothesis_settings.machine_settings(150, 40)
