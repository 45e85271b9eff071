"""Tests of load balancing by sampled load."""

from __future__ import annotations

import math
import random

from sesamevale.policy.balancing import load_sampling
from sesamevale.policy.balancing import upstream_search
from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.signals import upstream_signals
from tests.builders import gateway


def new_balancer(*records):
    balancer = load_sampling.LoadBalancer("here", random.Random(3))
    balancer.set_upstreams(records, 0.0)
    return balancer


def new_search(now=0.0, **changes):
    values = {
        "route": "read",
        "arrived": now,
        "objective_s": 0.6,
        "excluded": frozenset(),
        "started": now,
    }
    return upstream_search.Search(**(values | changes))


def report_load(balancer, name, now, **values):
    load = gateway.load(**values)
    balancer.record_load(balancer.candidates[name], load, now)


def test_local_upstreams_are_sampled_first():
    local = [gateway.upstream(f"n-{number}") for number in range(5)]
    remote = [
        gateway.upstream(f"f-{number}", data_center="there")
        for number in range(5)
    ]
    step = new_balancer(*local, *remote).next_step(new_search(), 0.0)
    assert isinstance(step, upstream_search.Sample)
    assert {each.record.data_center for each in step.upstreams} == {"here"}
    assert len(step.upstreams) == load_sampling.LOCAL_SAMPLES


def test_an_upstream_with_an_acceptable_slowdown_is_chosen_at_once():
    balancer = new_balancer(gateway.upstream("a"), gateway.upstream("b"))
    report_load(balancer, "b", 0.0)
    step = balancer.next_step(new_search(), 0.001)
    assert isinstance(step, upstream_search.Send)
    assert step.best.candidate.record.upstream_id == "b"


def test_an_unsampled_upstream_is_not_assumed_to_be_fast():
    balancer = new_balancer(gateway.upstream("a"), gateway.upstream("b"))
    report_load(balancer, "a", 0.0, slowdown=1.2)
    best = balancer.find_best(frozenset(), 0.001)
    assert best.candidate.record.upstream_id == "a"


def test_an_old_load_report_is_ignored():
    balancer = new_balancer(gateway.upstream("a"))
    report_load(balancer, "a", 0.0)
    later = upstream_state.LOAD_MAX_AGE_S * 1.01
    assert isinstance(
        balancer.next_step(new_search(later), later), upstream_search.Sample
    )


def test_a_slow_local_upstream_is_waited_for_before_others_are_sampled():
    balancer = new_balancer(
        gateway.upstream("a"), gateway.upstream("b", data_center="there")
    )
    search = new_search()
    balancer.next_step(search, 0.0)
    report_load(balancer, "a", 0.005, slowdown=5.0)
    assert isinstance(balancer.next_step(search, 0.006), upstream_search.Wait)
    late = load_sampling.LOCAL_WAIT_SHARE * 0.6 + 0.01
    search.sampled_local = True
    report_load(balancer, "a", late, slowdown=5.0)
    step = balancer.next_step(search, late)
    assert isinstance(step, upstream_search.Sample)
    assert step.upstreams[0].record.upstream_id == "b"


def test_others_are_sampled_sooner_when_the_local_upstreams_are_full():
    balancer = new_balancer(
        gateway.upstream("a"), gateway.upstream("b", data_center="there")
    )
    search = new_search()
    search.sampled_local = True
    later = load_sampling.LOCAL_WAIT_SHARE * 0.6 / 2
    report_load(balancer, "a", later, running=4)
    step = balancer.next_step(search, later)
    assert isinstance(step, upstream_search.Sample)
    assert step.upstreams[0].record.upstream_id == "b"


def test_a_slow_upstream_that_meets_the_objective_is_chosen():
    balancer = new_balancer(gateway.upstream("a"))
    balancer.durations.record("read", 0.1, 1.0, 0.0)
    search = new_search()
    balancer.next_step(search, 0.0)
    report_load(balancer, "a", 0.005, slowdown=3.0)
    assert isinstance(balancer.next_step(search, 0.006), upstream_search.Send)


def test_a_request_that_can_be_in_time_waits_for_a_slot():
    balancer = new_balancer(gateway.upstream("a"))
    search = new_search()
    balancer.next_step(search, 0.0)
    report_load(balancer, "a", 0.005, running=4)
    assert isinstance(balancer.next_step(search, 0.006), upstream_search.Wait)


def test_a_request_without_a_slot_is_refused_after_a_while():
    balancer = new_balancer(gateway.upstream("a"))
    search = new_search()
    search.sampled_local = search.sampled_remote = True
    report_load(balancer, "a", 0.55, running=4)
    assert isinstance(
        balancer.next_step(search, 0.551), upstream_search.NoCapacity
    )


def test_a_late_request_yields_to_those_that_can_meet_their_objective():
    balancer = new_balancer(gateway.upstream("a"))
    search = new_search(0.0, arrived=-1.0, must_yield=True)
    search.sampled_local = search.sampled_remote = True
    report_load(balancer, "a", 0.0, slowdown=5.0)
    assert isinstance(balancer.next_step(search, 0.001), upstream_search.Wait)
    search.must_yield = False
    search.sampled_local = search.sampled_remote = True
    assert isinstance(balancer.next_step(search, 0.002), upstream_search.Send)


def test_a_late_request_leaves_a_good_upstream_to_those_that_wait():
    balancer = new_balancer(gateway.upstream("a"))
    late = new_search(0.0, arrived=-1.0, must_yield=True)
    report_load(balancer, "a", 0.0)
    assert not isinstance(balancer.next_step(late, 0.001), upstream_search.Send)
    in_time = new_search(0.0, must_yield=True)
    step = balancer.next_step(in_time, 0.002)
    assert isinstance(step, upstream_search.Send)


def test_the_first_arrival_of_a_retry_is_estimated():
    durations = new_balancer().durations
    assert durations.estimate_first_arrival("read", 10.0, 4.0) == 10.0
    assert durations.estimate_first_arrival("read", 11.0, 3.0) == 10.0
    assert durations.estimate_first_arrival("read", 11.0, float("inf")) == 11.0


def test_requests_sent_since_a_sample_fill_its_slots():
    balancer = new_balancer(gateway.upstream("a"))
    report_load(balancer, "a", 0.0, running=2)
    candidate = balancer.candidates["a"]
    assert balancer.has_free_slot(candidate, 0.001)
    candidate.attempt_started()
    candidate.attempt_started()
    assert not balancer.has_free_slot(candidate, 0.001)


def test_an_unreachable_upstream_is_skipped_while_others_can_be_used():
    balancer = new_balancer(gateway.upstream("a"), gateway.upstream("b"))
    balancer.candidates["a"].record_unreachable(0.0)
    assert (
        balancer.find_best(frozenset(), 0.1).candidate.record.upstream_id == "b"
    )
    assert (
        balancer.find_best(frozenset("b"), 0.1).candidate.record.upstream_id
        == "a"
    )


def test_an_upstream_that_fails_is_expected_to_take_longer():
    balancer = new_balancer(gateway.upstream("a"), gateway.upstream("b"))
    report_load(balancer, "a", 0.0)
    report_load(balancer, "b", 0.0, slowdown=1.3)
    for _ in range(3):
        balancer.candidates["a"].record_failure(0.0)
    assert (
        balancer.find_best(frozenset(), 0.001).candidate.record.upstream_id
        == "b"
    )


def test_a_restarted_upstream_is_a_new_candidate():
    balancer = new_balancer(gateway.upstream("a"))
    before = balancer.candidates["a"]
    removed = balancer.set_upstreams(
        [gateway.upstream("a", started_ms=2000)], 1.0
    )
    assert removed == ["a"]
    assert balancer.candidates["a"] is not before


# Guards against upstreams that take nothing for now and are never used again,
# since only requests and their samples tell that they take some.
def test_upstreams_that_take_nothing_are_sampled_now_and_then():
    records = [gateway.upstream("a"), gateway.upstream("b")]
    balancer = new_balancer(*records)
    for each in records:
        balancer.signals.record_answer(
            upstream_signals.instance_of(each),
            (upstream_signals.RateLimit(0.0),),
            0.0,
        )
    sampled = 0
    for tick in range(200):
        now = tick / 20
        step = balancer.next_step(new_search(now, started=now), now)
        if isinstance(step, upstream_search.Sample):
            sampled += len(step.upstreams)
        else:
            assert isinstance(step, upstream_search.NoRoom)
            assert step.after_s == math.inf
    assert 2 <= sampled <= 2 * 10


def test_no_candidates_remain_when_all_were_tried():
    balancer = new_balancer(gateway.upstream("a"))
    step = balancer.next_step(new_search(excluded=frozenset("a")), 0.0)
    assert isinstance(step, upstream_search.NoCandidates)
