"""State machine: suspicions against an oracle that keeps all that happened.

The oracle knows each run of each request. What must hold: a request that an
upstream has answered since is not refused; one to which two ends are put down,
or under which three have happened, is; a suspicion ends in time; what is heard
twice or late makes no difference.
"""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.admission import suspects
from tests.builders import hypothesis_settings
from tests.builders import suspicions

# Fewer than an attack has, which other tests cover.
REQUESTS = range(1, suspects.KIND_CULPRITS_MAX)
UPSTREAMS = range(11, 17)


class SuspectsMachine(stateful.RuleBasedStateMachine):
    """One entry that sees some of what happens and hears of the rest."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.table = suspects.Suspects("e-1")
        self.happened: list[suspects.Suspicion] = []

    def _record(self, suspicion):
        self.table.record(suspicion, self.now)
        self.happened.append(suspicion)

    @stateful.rule(seconds=strategies.floats(0.01, 8.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(
        running=strategies.sets(strategies.sampled_from(REQUESTS), min_size=1),
        upstream=strategies.sampled_from(UPSTREAMS),
    )
    def end(self, running, upstream):
        """An upstream ends under some requests; each start is another one."""
        instance = upstream + 100 * len(self.happened)
        for each in sorted(running):
            self._record(suspicions.death(each, instance, self.now))

    @stateful.rule(request=strategies.sampled_from(REQUESTS))
    def answer(self, request):
        self._record(suspicions.answer(request, self.now))

    @stateful.precondition(lambda self: self.happened)
    @stateful.rule(data=strategies.data())
    def hear_again(self, data):
        self.table.record(
            data.draw(strategies.sampled_from(self.happened)), self.now
        )

    @stateful.rule(request=strategies.sampled_from(REQUESTS))
    def send(self, request):
        judgement = self.table.judge(request, suspicions.KIND, self.now)
        if judgement.verdict is suspects.Verdict.TRY_ALONE:
            self.table.begin_trial(request, self.now)
            again = self.table.judge(request, suspicions.KIND, self.now)
            assert again.verdict is suspects.Verdict.REFUSE
            self.table.end_trial(request)

    def _ends(self):
        """Returns the times of the ends since its answer, by request."""
        found = {}
        for request in REQUESTS:
            own = [e for e in self.happened if e.request == request]
            answered = max(
                (e.at for e in own if e.upstream == suspects.CLEARED),
                default=0.0,
            )
            ends = {
                e.upstream: e.at
                for e in own
                if e.upstream != suspects.CLEARED and e.at > answered
            }
            if ends:
                found[request] = ends
        return found

    def _was_answered(self, request):
        return any(
            each.request == request and each.upstream == suspects.CLEARED
            for each in self.happened
        )

    def _is_explained(self, upstream, request, ends):
        """Whether another request explains an upstream's end better."""
        for other in (each for each in ends if upstream in ends[each]):
            if self._was_answered(request) != self._was_answered(other):
                if self._was_answered(request):
                    return True
            elif len(ends[other]) > max(1, len(ends[request])):
                return True
        return False

    @stateful.invariant()
    def verdicts_follow_from_what_happened(self):
        ends = self._ends()
        for request in REQUESTS:
            verdict = self.table.judge(
                request, suspicions.KIND, self.now
            ).verdict
            own = ends.get(request, {})
            most = [
                upstream
                for upstream in own
                if not self._is_explained(upstream, request, ends)
            ]
            if not own:
                assert verdict is suspects.Verdict.SEND
                continue
            age_s = self.now - max(own.values())
            is_blamed = len(most) >= suspects.DEATHS_MAX
            was_often_there = len(own) >= suspects.SHARED_DEATHS_MAX
            if age_s < suspects.FIRST_REFUSAL_S:
                is_refused = verdict is suspects.Verdict.REFUSE
                assert is_refused == (is_blamed or was_often_there)
                if not most and not was_often_there:
                    assert verdict is suspects.Verdict.SEND
            if age_s > 2 * suspects.REFUSAL_MAX_S + suspects.TRIAL_MAX_S:
                assert verdict is not suspects.Verdict.REFUSE

    @stateful.invariant()
    def a_refusal_says_when_it_ends(self):
        for request in REQUESTS:
            judgement = self.table.judge(request, suspicions.KIND, self.now)
            is_refused = judgement.verdict is suspects.Verdict.REFUSE
            assert is_refused == (judgement.retry_after_s > 0)
            assert judgement.retry_after_s <= 2 * suspects.REFUSAL_MAX_S


def test_suspicions_follow_from_what_happened():
    stateful.run_state_machine_as_test(
        SuspectsMachine,
        settings=hypothesis.settings(
            hypothesis_settings.machine_settings(150, 30)
        ),
    )
