"""Tests of the decisions after attempts, against a count of actual runs."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from sesamevale import outcomes
from sesamevale.policy.calls import forwarding

Reason = outcomes.Reason

# Results by name, each with whether an upstream can have run the request.
RESULTS = {
    "good": (forwarding.Answered(200, (), b""), True),
    "failure": (forwarding.Answered(500, (), b""), True),
    "rejected": (forwarding.Rejected(), False),
    "not sent": (forwarding.NotSent(), False),
    "lost": (forwarding.Lost(Reason.CUT), True),
    "timed out": (forwarding.TimedOut(), True),
}


@hypothesis.given(
    repeatable=strategies.booleans(),
    upstreams_max=strategies.integers(1, 3),
    names=strategies.lists(
        strategies.sampled_from(sorted(RESULTS)), min_size=10, max_size=10
    ),
    budget=strategies.integers(0, 4),
)
def test_guarantees_hold_for_every_sequence_of_results(
    repeatable, upstreams_max, names, budget
):
    limits = forwarding.AttemptLimits(repeatable, upstreams_max)
    progress = forwarding.Progress(limits)
    runs = sent = 0
    decision = None
    for name in names:
        result, ran = RESULTS[name]
        runs += ran
        sent += name != "not sent"
        decision = progress.decide_next(result)
        if not isinstance(decision, forwarding.Retry):
            break
        if decision.uses_budget:
            if not budget:
                decision = progress.give_up()
                break
            budget -= 1
    assert not isinstance(decision, forwarding.Retry)
    assert sent <= upstreams_max
    if not repeatable:
        assert runs <= 1
    if isinstance(decision, forwarding.Refuse):
        assert runs == 0
    if isinstance(decision, forwarding.Fail):
        assert runs > 0
    if isinstance(decision, forwarding.Deliver):
        assert decision.answer in (RESULTS["good"][0], RESULTS["failure"][0])


def test_a_server_error_is_delivered_when_no_other_upstream_answers():
    progress = forwarding.Progress(forwarding.AttemptLimits(True, 2))
    failure = forwarding.Answered(500, (), b"broken")
    assert progress.decide_next(failure) == forwarding.Retry(uses_budget=True)
    lost = forwarding.Lost(Reason.CUT)
    assert progress.decide_next(lost) == forwarding.Deliver(failure)


def test_failed_connections_use_no_budget_until_a_request_was_sent():
    progress = forwarding.Progress(forwarding.AttemptLimits(True, 2))
    unsent = forwarding.NotSent()
    assert progress.decide_next(unsent) == forwarding.Retry(uses_budget=False)
    progress.decide_next(forwarding.Rejected())
    assert progress.decide_next(unsent) == forwarding.Retry(uses_budget=True)
