"""Stateful fuzzing of at-most-once execution with several entries.

An entry is simulated by its policies only: a register for each incarnation
and ``identity.locate_issuer``. Relays between entries are messages that arrive
late, never, or after a bar. The oracle counts the runs of each action.
"""

from __future__ import annotations

import collections
import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from sesamevale import outcomes
from sesamevale.policy.register import identity
from sesamevale.policy.register import register
from tests.builders import hypothesis_settings
from tests.builders import policy_values

WINDOW_S = 100
ENTRIES = ("e1", "e2", "e3")


@dataclasses.dataclass(slots=True)
class Entry:
    """One incarnation of an entry."""

    incarnation: int
    actions: register.Register
    running: list[identity.Identity] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedCall:
    """A call that is being relayed to the issuer of its identity."""

    target: str
    incarnation: int
    action: identity.Identity


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Random calls, repeats, relays, bars, kills and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0
        self.incarnations = collections.Counter()
        self.entries: dict[str, Entry] = {}
        for name in ENTRIES:
            self.start(name)
        self.actions: list[identity.Identity] = []
        self.relays: list[RelayedCall] = []
        self.runs = collections.Counter()
        self.reported_not_run: set[str] = set()
        self.answers: dict[str, object] = {}

    def start(self, name: str) -> None:
        self.incarnations[name] += 1
        actions = register.Register(WINDOW_S, 1000, 1 << 20)
        self.entries[name] = Entry(self.incarnations[name], actions)

    def live(self) -> dict[str, int]:
        return {name: entry.incarnation for name, entry in self.entries.items()}

    @stateful.rule(name=st.sampled_from(ENTRIES))
    def new_action(self, name) -> None:
        if name not in self.entries:
            return
        entry = self.entries[name]
        expires = int(self.now_s) + WINDOW_S
        ticket = identity.Ticket(name, entry.incarnation, expires, "0" * 16)
        number = len(self.actions)
        self.actions.append(identity.Identity(ticket, f"a{number}"))

    @stateful.precondition(lambda self: self.actions and self.entries)
    @stateful.rule(pick=st.integers(0, 10_000), at=st.integers(0, 10))
    def call(self, pick, at) -> None:
        action = self.actions[pick % len(self.actions)]
        name = sorted(self.entries)[at % len(self.entries)]
        entry = self.entries[name]
        location = identity.locate_issuer(
            action, name, entry.incarnation, self.live()
        )
        if location.is_local:
            self.decide(entry, action)
        elif location.peer is not None:
            incarnation = action.ticket.incarnation
            relay = RelayedCall(location.peer, incarnation, action)
            self.relays.append(relay)

    def decide(self, entry: Entry, action: identity.Identity) -> None:
        decision = entry.actions.submit(action, "fingerprint", self.now_s)
        if isinstance(decision, register.Run):
            entry.running.append(action)
        elif isinstance(decision, register.Replay | register.Refuse):
            self.report(action, decision.outcome)

    def report(self, action, outcome) -> None:
        key = str(action)
        if isinstance(outcome, outcomes.NotRun):
            assert self.runs[key] == 0, "reported as not run after a run"
            self.reported_not_run.add(key)
        if isinstance(outcome, outcomes.Answered):
            first = self.answers.setdefault(key, outcome)
            assert first == outcome, "a repeat got a different answer"

    @stateful.precondition(lambda self: self.relays)
    @stateful.rule(pick=st.integers(0, 10_000), lost=st.booleans())
    def relay_arrives(self, pick, lost) -> None:
        relay = self.relays.pop(pick % len(self.relays))
        entry = self.entries.get(relay.target)
        if lost or entry is None:
            return
        if entry.incarnation == relay.incarnation:
            self.decide(entry, relay.action)

    @stateful.precondition(lambda self: self.actions)
    @stateful.rule(pick=st.integers(0, 10_000))
    def bar(self, pick) -> None:
        """Bars an action, as the sender of a relay without an answer does."""
        action = self.actions[pick % len(self.actions)]
        entry = self.entries.get(action.ticket.entry_id)
        if entry is None or entry.incarnation != action.ticket.incarnation:
            return
        result = entry.actions.bar(action, self.now_s)
        if isinstance(result, register.Barred):
            self.report(action, outcomes.NotRun(outcomes.Reason.BARRED))
        elif isinstance(result, register.Replay):
            self.report(action, result.outcome)

    @stateful.rule(
        name=st.sampled_from(ENTRIES),
        kind=st.sampled_from(["answer", "answer", "refuse", "unknown"]),
    )
    def upstream_ends(self, name, kind) -> None:
        entry = self.entries.get(name)
        if entry is None or not entry.running:
            return
        action = entry.running.pop(0)
        key = str(action)
        outcome: outcomes.Outcome
        if kind == "refuse":
            outcome = outcomes.NotRun(outcomes.Reason.OVERLOADED)
        else:
            self.run(key)
            outcome = outcomes.Unknown(outcomes.Reason.CUT)
            if kind == "answer":
                body = str(self.runs[key]).encode()
                outcome = outcomes.Answered(outcomes.Answer(200, (), body))
        entry.actions.settle(key, outcome)
        self.report(action, outcome)

    def run(self, key: str) -> None:
        self.runs[key] += 1
        assert self.runs[key] <= 1, "ran twice"
        assert key not in self.reported_not_run, (
            "ran after it was reported as not run"
        )

    @stateful.rule(name=st.sampled_from(ENTRIES), ran=st.booleans())
    def kill(self, name, ran) -> None:
        entry = self.entries.pop(name, None)
        if entry is None:
            return
        for action in entry.running if ran else ():
            self.run(str(action))

    @stateful.rule(name=st.sampled_from(ENTRIES))
    def restart(self, name) -> None:
        if name not in self.entries:
            self.start(name)

    @stateful.rule(name=st.sampled_from(ENTRIES), ran=st.booleans())
    def replace(self, name, ran) -> None:
        self.kill(name, ran)
        self.start(name)

    @stateful.rule(step=st.floats(0.1, 150.0))
    def pass_time(self, step) -> None:
        self.now_s += step
        for entry in self.entries.values():
            entry.actions.expire(self.now_s)


def machine_after_one_run() -> AtMostOnceMachine:
    machine = AtMostOnceMachine()
    machine.new_action("e1")
    machine.call(pick=0, at=0)
    machine.upstream_ends("e1", "answer")
    assert sum(machine.runs.values()) == 1
    return machine


def test_a_restarted_issuer_runs_nothing_of_its_predecessor():
    machine = machine_after_one_run()
    machine.replace("e1", ran=False)
    machine.call(pick=0, at=0)
    machine.call(pick=0, at=1)
    machine.upstream_ends("e1", "answer")
    assert sum(machine.runs.values()) == 1


def test_a_removed_action_does_not_run_again():
    machine = machine_after_one_run()
    machine.pass_time(WINDOW_S + 1.0)
    machine.call(pick=0, at=0)
    machine.upstream_ends("e1", "answer")
    assert sum(machine.runs.values()) == 1


def test_a_barred_action_does_not_run_when_its_relay_arrives():
    machine = AtMostOnceMachine()
    machine.new_action("e1")
    machine.call(pick=0, at=1)
    machine.bar(pick=0)
    machine.relay_arrives(pick=0, lost=False)
    machine.upstream_ends("e1", "answer")
    assert sum(machine.runs.values()) == 0


def test_a_refusal_of_a_full_register_is_final():
    """The action ran when it was repeated after others had expired."""
    actions = register.Register(WINDOW_S, 1, 1000)
    first = policy_values.action("a1", expires_s=60)
    refused = policy_values.action("a2", expires_s=100)
    assert actions.submit(first, "fingerprint", 50.0) == register.Run()
    actions.settle(str(first), outcomes.Unknown(outcomes.Reason.CUT))
    full = outcomes.NotRun(outcomes.Reason.REGISTER_FULL)
    decision = actions.submit(refused, "fingerprint", 50.0)
    assert decision == register.Refuse(full)
    assert actions.expire(60.0) == 1
    assert actions.submit(refused, "fingerprint", 60.0) == register.Replay(full)
    other = policy_values.action("a3", expires_s=100)
    assert actions.submit(other, "fingerprint", 60.0) == register.Run()


def test_a_register_that_cannot_remember_a_refusal_does_not_say_not_run():
    actions = register.Register(WINDOW_S, 1, 1000)
    decisions = [
        actions.submit(
            policy_values.action(f"a{number}", expires_s=100),
            "fingerprint",
            50.0,
        )
        for number in range(3)
    ]
    full = outcomes.Reason.REGISTER_FULL
    assert decisions == [
        register.Run(),
        register.Refuse(outcomes.NotRun(full)),
        register.Refuse(outcomes.Unknown(full)),
    ]


def test_a_removed_action_cannot_be_barred():
    actions = register.Register(WINDOW_S, 10, 1000)
    action = policy_values.action(expires_s=100)
    assert actions.submit(action, "fingerprint", 50.0) == register.Run()
    answer = outcomes.Answered(outcomes.Answer(200, (), b"paid"))
    actions.settle(str(action), answer)
    assert actions.bar(action, 99.0) == register.Replay(answer)
    assert actions.expire(100.0) == 1
    assert actions.bar(action, 100.0) == register.CannotBar()


TestAtMostOnce = AtMostOnceMachine.TestCase
TestAtMostOnce.settings = hypothesis_settings.machine_settings(200, 40)
