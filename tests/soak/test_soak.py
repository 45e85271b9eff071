"""Short runs of the soak: one fixed seed, and the seeds that once failed."""

from __future__ import annotations

import pytest

from tests.soak import run

# Seeds that once violated a guarantee, with the fault.
REGRESSIONS = [
    4,  # SIGHUP ended a process that was still importing its modules.
]


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_no_guarantee_is_violated(seed, tmp_path):
    violations, statuses = run.soak(seed, 6.0, tmp_path, mode="faults")
    assert not violations, "\n".join(violations)
    assert statuses[200] > 100


# A stopping entry closed connections whose requests were at an upstream.
def test_stopping_entries_answer_the_requests_they_have_taken(tmp_path):
    violations, statuses = run.soak(2, 4.0, tmp_path, mode="planned")
    assert not violations, "\n".join(violations)
    assert statuses[200] > 100


# Upstreams got more requests than the limits that they had named, and requests
# while they left or had asked for a pause.
def test_entries_keep_to_what_upstreams_say_of_themselves(tmp_path):
    violations, statuses = run.soak(2, 12.0, tmp_path, mode="signals")
    assert not violations, "\n".join(violations)
    assert statuses[200] > 100


# Entries kept what the store had before it came back older, or its numbers.
def test_a_store_that_comes_back_older_steers_nothing(tmp_path):
    violations, statuses = run.soak(3, 6.0, tmp_path, mode="drills")
    assert not violations, "\n".join(violations)
    assert statuses[200] > 100
