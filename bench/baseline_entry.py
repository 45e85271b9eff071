"""Runs an entry with a baseline in place of its routing, for comparison only.

The environment variable ``BASELINE`` selects it: ``random``, ``two-choices``
or ``own-count`` (the upstream with the fewest calls in flight from this entry,
with ejection of slow and failing upstreams). A baseline sends each call when
it arrives; calls beyond an upstream's slots wait at the upstream.
"""

from __future__ import annotations

import os
import random

from sesamevale import daemon
from sesamevale import outcomes
from sesamevale.dispatching import coordinator
from sesamevale.policy.balancing import homes
from sesamevale.policy.calls import call_state
from sesamevale.policy.calls import dispatch
from sesamevale.policy.calls import effects

BASELINE_KIND = os.environ.get("BASELINE", "own-count")


class BaselineDispatchPolicy(dispatch.DispatchPolicy):
    """Chooses an upstream when a call arrives; uses no homes and no queue."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self._random = random.Random()

    def set_homes(
        self, home_map: homes.HomeMap | None, now: float
    ) -> list[effects.Effect]:
        """Makes this entry own every upstream, whatever the home map."""
        self._owned = frozenset(self._pool.states)
        return []

    def _place(
        self, state: call_state.CallState, now: float
    ) -> list[effects.Effect]:
        names = [
            name for name in sorted(self._owned) if self._is_usable(name, now)
        ]
        untried = [name for name in names if name not in state.tried] or names
        if not untried:
            return self._refuse(state, outcomes.Reason.NO_UPSTREAM)
        return self._bind(state, self._choose(untried), now)

    def _is_usable(self, name: str, now: float) -> bool:
        if BASELINE_KIND != "own-count":
            return True
        return self._pool.states[name].allowed_slots(now) > 0

    def _choose(self, names: list[str]) -> str:
        if BASELINE_KIND == "random":
            return self._random.choice(names)
        if BASELINE_KIND == "two-choices":
            names = self._random.sample(names, min(2, len(names)))
        else:
            self._random.shuffle(names)
        return min(names, key=lambda name: self._pool.states[name].in_flight)


coordinator.dispatch.DispatchPolicy = BaselineDispatchPolicy  # type: ignore[misc]

if __name__ == "__main__":
    daemon.main()
