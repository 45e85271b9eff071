"""Bound on the slots in use while entries disagree about homes."""

from __future__ import annotations

import collections

import hypothesis
from hypothesis import strategies as st

from sesamevale import outcomes
from sesamevale.policy.balancing import homes
from sesamevale.policy.calls import attempts
from sesamevale.policy.calls import dispatch
from sesamevale.policy.calls import effects
from tests.builders import documents
from tests.builders import policy_values

SLOTS = 2
SERVICE = documents.plain_service(upstreams=3, slots=SLOTS, queue_limit=50)


def policy_owning_all(entry_id: str) -> dispatch.DispatchPolicy:
    """Returns the policy of an entry that is the home of all upstreams."""
    owners = {each.name: entry_id for each in SERVICE.upstreams}
    policy = dispatch.DispatchPolicy(SERVICE, entry_id, 0.0)
    policy.set_homes(homes.HomeMap(owners), 0.0)
    return policy


@hypothesis.given(
    entries=st.integers(1, 4),
    steps=st.lists(
        st.tuples(st.integers(0, 3), st.booleans()), min_size=1, max_size=80
    ),
)
def test_conflicting_homes_use_at_most_slots_times_entries(entries, steps):
    policies = [policy_owning_all(f"e{number}") for number in range(entries)]
    running: list[tuple[int, effects.Bind]] = []
    for call_id, (pick, ends) in enumerate(steps, 1):
        index = pick % entries
        if ends and running:
            owner, bind = running.pop(0)
            done = attempts.Completed(0.01)
            wanted = policies[owner].attempt_ended(bind.attempt_id, done, 0.0)
            index = owner
        else:
            wanted = policies[index].submit(
                policy_values.call_properties(call_id), 0.0
            )
        binds = [each for each in wanted if isinstance(each, effects.Bind)]
        running += [(index, bind) for bind in binds]
        used = collections.Counter(bind.upstream for _, bind in running)
        assert all(count <= SLOTS * entries for count in used.values())


def test_an_attempt_cancelled_before_sending_records_no_failure():
    policy = policy_owning_all("e1")
    wanted = policy.submit(policy_values.call_properties(1), 0.0)
    bind = next(each for each in wanted if isinstance(each, effects.Bind))
    cancelled = attempts.NotSent(outcomes.Reason.CALLER_GONE)
    policy.attempt_ended(bind.attempt_id, cancelled, 0.0)
    state = policy.pool.states[bind.upstream]
    assert state.failures == 0
    assert state.ejections == 0
