"""Tests of signals that upstreams send in their answers, over sockets."""

from __future__ import annotations

import asyncio
import time

import pytest

from sesamevale import outcomes
from sesamevale.policy.admission import rate_shares
from sesamevale.policy.signals import upstream_signals
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
            await asyncio.sleep(rate_shares.RECHECK_INTERVAL_MIN_S + 0.1)
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


def test_what_a_limit_leaves_no_room_for_is_refused_at_once():
    async def scenario():
        one = test_service_task.upstream(NAMED)
        one.health_headers = (LIMIT_FIELD,)
        async with test_service_task.Harness(one) as harness:
            await harness.submit(gateway.request())
            started = time.monotonic()
            outcome = await harness.submit(gateway.request())
            assert time.monotonic() - started < 0.2
            assert isinstance(outcome, outcomes.NotRun)
            assert outcome.reason is outcomes.Reason.RATE_LIMITED
            assert 1000 <= outcome.retry_after_ms <= 2000

    test_service_task.run(scenario)


# Upstreams that took nothing for now got everything.
def test_an_upstream_that_names_a_limit_of_zero_gets_nothing_until_it_ends():
    nothing = ("server-limit", "0")

    async def scenario():
        one = test_service_task.upstream(ScriptedAnswer(headers=(nothing,)))
        async with test_service_task.Harness(one) as harness:
            await harness.submit(gateway.request())
            one.health_headers = (nothing,)
            for _ in range(4):
                outcome = await harness.submit(gateway.request())
                assert isinstance(outcome, outcomes.NotRun)
                assert outcome.reason is outcomes.Reason.RATE_LIMITED
            assert len(one.requests) == 1
            one.health_headers = ()
            await asyncio.sleep(rate_shares.RECHECK_INTERVAL_MIN_S + 0.1)
            assert await harness.submit(gateway.request()) == (200, b"done")

    test_service_task.run(scenario)


# Upstreams got more requests than the limit that they had named.
def test_a_retry_does_not_go_to_an_upstream_without_room():
    async def scenario():
        one = test_service_task.upstream(NAMED)
        two = test_service_task.upstream(
            NAMED, ScriptedAnswer(status=500), name="u-2", load="4,4,4,900"
        )
        one.health_headers = (LIMIT_FIELD,)
        async with test_service_task.Harness(one, two) as harness:
            await harness.submit(gateway.request())
            assert len(one.requests) == 1
            two.load = "0,0,4,100"
            await harness.submit(gateway.request())
            await harness.submit(gateway.request())
            assert len(two.requests) == 2
            assert len(one.requests) == 1

    test_service_task.run(scenario)


LEAVES = ScriptedAnswer(headers=(("server-leaving", "1"),))
PAUSES = scripted_upstream.rejection(headers=(("retry-after", "3"),))


# Upstreams that said that they leave got requests until the store said so too.
def test_an_upstream_that_says_it_leaves_gets_nothing_more():
    async def scenario():
        one = test_service_task.upstream(LEAVES)
        two = test_service_task.upstream(name="u-2", load="4,4,4,900")
        async with test_service_task.Harness(one, two) as harness:
            await harness.submit(gateway.request())
            assert len(one.requests) == 1
            for _ in range(4):
                result = await harness.submit(gateway.request())
                assert result == (200, b"done")
            assert len(one.requests) == 1

    test_service_task.run(scenario)


def test_requests_are_refused_at_once_when_all_upstreams_have_left():
    async def scenario():
        one = test_service_task.upstream(LEAVES)
        async with test_service_task.Harness(one) as harness:
            await harness.submit(gateway.request())
            await asyncio.sleep(upstream_signals.LEAVING_GRACE_S + 0.1)
            started = time.monotonic()
            outcome = await harness.submit(gateway.request())
            assert isinstance(outcome, outcomes.NotRun)
            assert time.monotonic() - started < 0.2
            assert len(one.requests) == 1

    test_service_task.run(scenario)


# Upstreams that had asked for a pause with a 503 got the next request at once.
def test_an_upstream_that_asks_for_a_pause_gets_nothing_in_it():
    async def scenario():
        one = test_service_task.upstream(PAUSES)
        async with test_service_task.Harness(one) as harness:
            await harness.submit(gateway.request())
            sampled = one.health_requests
            for _ in range(5):
                outcome = await harness.submit(gateway.request())
                assert isinstance(outcome, outcomes.NotRun)
                assert 2000 <= outcome.retry_after_ms <= 3000
            assert len(one.requests) == 1
            assert one.health_requests == sampled

    test_service_task.run(scenario)


def test_a_pause_in_the_answer_to_a_sample_counts():
    async def scenario():
        one = test_service_task.upstream()
        one.health_status = 503
        one.health_headers = (("retry-after", "3"),)
        two = test_service_task.upstream(name="u-2")
        async with test_service_task.Harness(one, two) as harness:
            for _ in range(4):
                await harness.submit(gateway.request())
            assert not one.requests
            assert len(two.requests) == 4

    test_service_task.run(scenario)
