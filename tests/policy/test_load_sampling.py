"""Choice of an upstream by sampled load."""

from __future__ import annotations

import random

from sesamevale.policy import load_sampling
from sesamevale.policy import upstream_search
from sesamevale.policy import upstream_state
from tests.builders import gateway


def fleet(*records):
    made = load_sampling.LoadBalancer("here", random.Random(3))
    made.set_upstreams(records, 0.0)
    return made


def search(now=0.0, **changes):
    values = {
        "route": "read",
        "arrived": now,
        "objective_s": 0.6,
        "excluded": frozenset(),
        "started": now,
    }
    return upstream_search.Search(**(values | changes))


def sample(made, name, now, **figures):
    load = gateway.load(**figures)
    made.record_load(made.candidates[name], load, now)


def test_upstreams_nearby_are_sampled_first():
    near = [gateway.upstream(f"n-{number}") for number in range(5)]
    far = [
        gateway.upstream(f"f-{number}", data_center="there")
        for number in range(5)
    ]
    step = fleet(*near, *far).next_step(search(), 0.0)
    assert isinstance(step, upstream_search.Sample)
    assert {each.record.data_center for each in step.upstreams} == {"here"}
    assert len(step.upstreams) == load_sampling.LOCAL_SAMPLES


def test_a_calm_upstream_is_taken_at_once():
    made = fleet(gateway.upstream("a"), gateway.upstream("b"))
    sample(made, "b", 0.0)
    step = made.next_step(search(), 0.001)
    assert isinstance(step, upstream_search.Send)
    assert step.best.candidate.record.upstream_id == "b"


def test_an_unsampled_upstream_is_not_assumed_to_be_fast():
    made = fleet(gateway.upstream("a"), gateway.upstream("b"))
    sample(made, "a", 0.0, slowdown=1.2)
    best = made.find_best(frozenset(), 0.001)
    assert best.candidate.record.upstream_id == "a"


def test_an_old_figure_does_not_count():
    made = fleet(gateway.upstream("a"))
    sample(made, "a", 0.0)
    later = upstream_state.LOAD_MAX_AGE_S * 1.01
    assert isinstance(
        made.next_step(search(later), later), upstream_search.Sample
    )


def test_a_noisy_data_centre_is_waited_for_before_others_are_sampled():
    made = fleet(
        gateway.upstream("a"), gateway.upstream("b", data_center="there")
    )
    looking = search()
    made.next_step(looking, 0.0)
    sample(made, "a", 0.005, slowdown=5.0)
    assert isinstance(made.next_step(looking, 0.006), upstream_search.Wait)
    late = load_sampling.LOCAL_WAIT_SHARE * 0.6 + 0.01
    looking.sampled_local = True
    sample(made, "a", late, slowdown=5.0)
    step = made.next_step(looking, late)
    assert isinstance(step, upstream_search.Sample)
    assert step.upstreams[0].record.upstream_id == "b"


def test_a_full_data_centre_is_left_sooner():
    made = fleet(
        gateway.upstream("a"), gateway.upstream("b", data_center="there")
    )
    looking = search()
    looking.sampled_local = True
    later = load_sampling.LOCAL_WAIT_SHARE * 0.6 / 2
    sample(made, "a", later, running=4)
    step = made.next_step(looking, later)
    assert isinstance(step, upstream_search.Sample)
    assert step.upstreams[0].record.upstream_id == "b"


def test_a_slow_upstream_that_is_in_time_is_good_enough():
    made = fleet(gateway.upstream("a"))
    made.record_duration("read", 0.1, 1.0)
    looking = search()
    made.next_step(looking, 0.0)
    sample(made, "a", 0.005, slowdown=3.0)
    assert isinstance(made.next_step(looking, 0.006), upstream_search.Send)


def test_a_request_that_can_be_in_time_waits_for_a_slot():
    made = fleet(gateway.upstream("a"))
    looking = search()
    made.next_step(looking, 0.0)
    sample(made, "a", 0.005, running=4)
    assert isinstance(made.next_step(looking, 0.006), upstream_search.Wait)


def test_a_request_without_a_slot_is_given_up_in_the_end():
    made = fleet(gateway.upstream("a"))
    looking = search()
    looking.sampled_local = looking.sampled_remote = True
    sample(made, "a", 0.55, running=4)
    assert isinstance(
        made.next_step(looking, 0.551), upstream_search.NoCapacity
    )


def test_a_late_request_yields_to_those_that_can_be_in_time():
    made = fleet(gateway.upstream("a"))
    looking = search(0.0, arrived=-1.0, must_yield=True)
    looking.sampled_local = looking.sampled_remote = True
    sample(made, "a", 0.0, slowdown=5.0)
    assert isinstance(made.next_step(looking, 0.001), upstream_search.Wait)
    looking.must_yield = False
    looking.sampled_local = looking.sampled_remote = True
    assert isinstance(made.next_step(looking, 0.002), upstream_search.Send)


def test_a_caller_that_asks_again_has_waited_already():
    made = fleet()
    assert made.estimate_first_arrival("read", 10.0, 4.0) == 10.0
    assert made.estimate_first_arrival("read", 11.0, 3.0) == 10.0
    assert made.estimate_first_arrival("read", 11.0, float("inf")) == 11.0


def test_requests_sent_since_a_sample_fill_its_slots():
    made = fleet(gateway.upstream("a"))
    sample(made, "a", 0.0, running=2)
    candidate = made.candidates["a"]
    assert candidate.has_free_slot(0.001)
    candidate.attempt_started()
    candidate.attempt_started()
    assert not candidate.has_free_slot(0.001)


def test_an_unreachable_upstream_is_passed_over_while_others_can_be_used():
    made = fleet(gateway.upstream("a"), gateway.upstream("b"))
    made.candidates["a"].record_unreachable(0.0)
    assert made.find_best(frozenset(), 0.1).candidate.record.upstream_id == "b"
    assert (
        made.find_best(frozenset("b"), 0.1).candidate.record.upstream_id == "a"
    )


def test_an_upstream_that_fails_is_expected_to_take_longer():
    made = fleet(gateway.upstream("a"), gateway.upstream("b"))
    sample(made, "a", 0.0)
    sample(made, "b", 0.0, slowdown=1.3)
    for _ in range(3):
        made.candidates["a"].record_failure(0.0)
    assert (
        made.find_best(frozenset(), 0.001).candidate.record.upstream_id == "b"
    )


def test_a_new_start_at_an_address_is_another_candidate():
    made = fleet(gateway.upstream("a"))
    before = made.candidates["a"]
    left = made.set_upstreams([gateway.upstream("a", started_ms=2000)], 1.0)
    assert left == ["a"]
    assert made.candidates["a"] is not before


def test_nobody_is_left_when_all_were_tried():
    made = fleet(gateway.upstream("a"))
    step = made.next_step(search(excluded=frozenset("a")), 0.0)
    assert isinstance(step, upstream_search.NoCandidates)
