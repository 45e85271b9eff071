"""Tests of signals that upstreams send in their answers, over sockets."""

from __future__ import annotations

import pytest

from tests.builders import gateway
from tests.forwarding import test_service_task
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

LIMIT_FIELD = ("server-limit", "1.5")
NAMED = ScriptedAnswer(headers=(LIMIT_FIELD,))
FAILED = ScriptedAnswer(status=500, headers=(LIMIT_FIELD,))
REJECTED = scripted_upstream.rejection(headers=(LIMIT_FIELD,))


def begun(harness):
    return harness.recorder.counters["signals_limit_began"]


def ended(harness):
    return harness.recorder.counters["signals_limit_ended"]


@pytest.mark.parametrize(
    "answer", [NAMED, FAILED, REJECTED], ids=["answer", "failure", "rejection"]
)
def test_a_limit_is_read_from_each_kind_of_answer(answer):
    async def scenario():
        one = test_service_task.upstream(answer)
        async with test_service_task.Harness(one) as harness:
            await harness.submit(gateway.request())
            assert begun(harness) == 1
            assert ended(harness) == 0

    test_service_task.run(scenario)


def test_a_limit_is_read_from_samples_and_ends_with_them():
    async def scenario():
        one = test_service_task.upstream(NAMED)
        one.health_headers = (LIMIT_FIELD,)
        async with test_service_task.Harness(one) as harness:
            await harness.submit(gateway.request())
            assert begun(harness) == 1
            one.health_headers = ()
            await harness.submit(gateway.request())
            assert ended(harness) == 1

    test_service_task.run(scenario)


def test_a_limit_in_an_answer_of_another_upstream_is_ignored():
    async def scenario():
        one = test_service_task.upstream(
            scripted_upstream.rejection(421, headers=(LIMIT_FIELD,))
        )
        one.answers_as = "u-2"
        async with test_service_task.Harness(one) as harness:
            await harness.submit(gateway.request())
            assert begun(harness) == 0

    test_service_task.run(scenario)
