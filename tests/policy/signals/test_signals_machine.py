"""State machine: what upstreams say of themselves binds each choice."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.admission import rate_shares
from sesamevale.policy.balancing import load_sampling
from sesamevale.policy.balancing import upstream_search
from sesamevale.policy.signals import upstream_signals
from tests.builders import gateway
from tests.builders import hypothesis_settings

# Bounds of the rules: use of an upstream after it has said that it leaves,
# and requests in a pause from the reaction time on.
DRAIN_S = 2.0
REACTION_S = 0.5
PAUSE_REQUESTS_MAX = 2
NAMES = ("u-0", "u-1", "u-2")


class SignalsMachine(stateful.RuleBasedStateMachine):
    """One entry and three upstreams; the oracle is what these have said."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        shares = rate_shares.RateShares(
            "e-0", "here", upstream_signals.UpstreamSignals()
        )
        self.balancer = load_sampling.LoadBalancer(
            "here", random.Random(1), shares
        )
        self.starts = dict.fromkeys(NAMES, 1000)
        self.listed = set(NAMES)
        self.left_at: dict[str, float] = {}
        self.pauses: list[tuple[str, float, float]] = []
        self.sent: list[tuple[str, float]] = []
        self._list()

    def _record(self, name):
        return gateway.upstream(name, started_ms=self.starts[name])

    def _list(self):
        records = [self._record(name) for name in sorted(self.listed)]
        self.balancer.signals.retain(
            map(upstream_signals.instance_of, records), self.now
        )
        self.balancer.set_upstreams(records, self.now)

    def _say(self, name, *signals):
        instance = upstream_signals.instance_of(self._record(name))
        if name in self.left_at:
            signals += (upstream_signals.Leaving(),)
        self.balancer.signals.record_answer(instance, signals, self.now)

    @stateful.rule(seconds=strategies.floats(0.01, 3.0))
    def wait(self, seconds):
        self.now += seconds
        self._list()

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def leave(self, name):
        self.left_at.setdefault(name, self.now)
        self._say(name)

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        seconds=strategies.floats(0.1, 8.0),
    )
    def pause(self, name, seconds):
        self.pauses.append((name, self.now, self.now + seconds))
        self._say(name, upstream_signals.Pause(seconds))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def answer(self, name):
        self._say(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def lapse_or_return(self, name):
        self.listed ^= {name}
        self._list()

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def start_anew(self, name):
        self.starts[name] += 1
        self.left_at.pop(name, None)
        self.pauses = [each for each in self.pauses if each[0] != name]
        self.sent = [each for each in self.sent if each[0] != name]
        self._list()

    @stateful.rule(
        count=strategies.integers(1, 5),
        excluded=strategies.sets(strategies.sampled_from(NAMES), max_size=1),
    )
    def send(self, count, excluded):
        """Sends requests; with an excluded upstream, they are repeats."""
        for _ in range(count):
            for candidate in self.balancer.candidates.values():
                candidate.record_load(gateway.load(), self.now)
            search = upstream_search.Search(
                "read", self.now, 0.6, frozenset(excluded), self.now
            )
            step = self.balancer.next_step(search, self.now)
            if isinstance(step, upstream_search.Send):
                candidate = step.best.candidate
                self.balancer.record_attempt(candidate, self.now)
                candidate.attempt_ended()
                name = candidate.record.upstream_id
                self.sent.append((name, self.now))
                assert self.now <= self.left_at.get(name, self.now) + DRAIN_S
            else:
                self._check_refusal(excluded)

    def _check_refusal(self, excluded):
        """An upstream that says nothing of itself is used."""
        silent = self.listed - set(self.left_at) - set(excluded)
        silent -= {name for name, _, _ in self.pauses}
        assert not silent

    @stateful.invariant()
    def pauses_are_kept(self):
        for name, began, ends in self.pauses:
            within = [
                at
                for sent_to, at in self.sent
                if sent_to == name and began + REACTION_S <= at < ends
            ]
            assert len(within) <= PAUSE_REQUESTS_MAX


def test_what_upstreams_say_binds_each_choice():
    stateful.run_state_machine_as_test(
        SignalsMachine, settings=hypothesis_settings.machine_settings(150, 30)
    )


@hypothesis.given(
    seconds=strategies.floats(0.5, 5.0), count=strategies.integers(2, 10)
)
@hypothesis.settings(deadline=None)
def test_requests_wait_for_the_end_of_a_pause_if_they_are_in_time(
    seconds, count
):
    machine = SignalsMachine()
    for name in NAMES:
        machine.pause(name, seconds)
    for _ in range(count):
        search = upstream_search.Search(
            "read", machine.now, 0.6, frozenset(), machine.now
        )
        step = machine.balancer.next_step(search, machine.now)
        if isinstance(step, upstream_search.NoRoom):
            assert step.after_s <= seconds + 1e-9
            assert step.after_s > 0.2
        else:
            assert isinstance(step, upstream_search.Wait)
            assert seconds < 0.6
