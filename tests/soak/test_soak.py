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
    violations, statuses = run.soak(seed, 6.0, tmp_path)
    assert not violations
    assert statuses[200] > 100
