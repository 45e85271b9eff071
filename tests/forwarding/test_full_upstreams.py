"""Upstreams that reset connections while they are full.

They were ejected for half a second and more, or expected to fail, although
they served what they had taken.
"""

from __future__ import annotations

import asyncio
import time

from sesamevale import outcomes
from sesamevale.policy.balancing import upstream_state
from tests.builders import gateway
from tests.forwarding import test_service_task
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

RESET = ScriptedAnswer(raw=b"", reset=True)


class ResettingSamples(scripted_upstream.ScriptedUpstream):
    """Resets the first connections on which its load is sampled."""

    def __init__(self, count):
        super().__init__()
        self._resets_left = count

    def _answer(self, http, writer, answer, request):
        if request is None and self._resets_left:
            self._resets_left -= 1
            raw = writer.get_extra_info("socket")
            raw.setsockopt(
                scripted_upstream.socket.SOL_SOCKET,
                scripted_upstream.socket.SO_LINGER,
                scripted_upstream.LINGER_RESET,
            )
            writer.transport.abort()
            raise ConnectionResetError
        super()._answer(http, writer, answer, request)


def candidate_of(harness):
    return harness.task.balancer.candidates["u-1"]


def test_a_reset_sample_of_a_full_upstream_does_not_eject_it():
    async def scenario():
        async with test_service_task.Harness(ResettingSamples(1)) as harness:
            started = time.monotonic()
            result = await harness.submit(gateway.request())
            assert result == (200, b"done")
            assert time.monotonic() - started < upstream_state.FIRST_EJECTION_S
            assert not candidate_of(harness).is_ejected(time.monotonic())

    asyncio.run(scenario())


def test_a_reset_charge_is_unknown_and_its_upstream_stays_in_use():
    async def scenario():
        one = scripted_upstream.ScriptedUpstream("u-1", [RESET])
        async with test_service_task.Harness(one) as harness:
            charge = gateway.request(test_service_task.CHARGE)
            outcome = await harness.submit(charge)
            assert outcome == outcomes.Unknown(outcomes.Reason.CUT)
            now = time.monotonic()
            candidate = candidate_of(harness)
            assert not candidate.is_ejected(now)
            idle = upstream_state.AverageLoad(1.0)
            later = now + 2 * upstream_state.LOAD_MAX_AGE_S
            healthy = upstream_state.Candidate(gateway.upstream(), later)
            assert candidate.expected_slowdown(idle, later) == (
                healthy.expected_slowdown(idle, later)
            )

    asyncio.run(scenario())


def test_an_upstream_that_was_reset_counts_as_full_for_a_moment():
    candidate = upstream_state.Candidate(gateway.upstream(), 0.0)
    idle = upstream_state.AverageLoad(1.0)
    candidate.record_reset(1.0)
    assert not candidate.has_free_slot(idle, 1.0)
    assert candidate.has_free_slot(idle, 1.1)


def test_an_upstream_that_resets_every_connection_is_ejected():
    candidate = upstream_state.Candidate(gateway.upstream(), 0.0)
    for _ in range(upstream_state.RESETS_MAX):
        candidate.record_reset(1.0)
    assert candidate.is_ejected(1.1)
