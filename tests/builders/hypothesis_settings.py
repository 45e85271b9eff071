"""Hypothesis settings of the stateful tests.

Failing examples are reported without shrinking. ``SHRINK=1`` in the
environment enables it, which can take minutes.
"""

from __future__ import annotations

import os

import hypothesis


def machine_settings(examples: int, steps: int) -> hypothesis.settings:
    phases = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
    if os.environ.get("SHRINK"):
        phases.append(hypothesis.Phase.shrink)
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
