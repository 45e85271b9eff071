"""Tests of requests to upstreams that are cold, over sockets."""

from __future__ import annotations

import asyncio
import time

import pytest

from sesamevale import outcomes
from sesamevale.forwarding import messages
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.signals import upstream_signals
from tests.builders import gateway
from tests.forwarding import test_service_task
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

RATE = 2.0
COLD = (("x-warmup-ms", "3000"),)
OWN = registered_peers.Peer("", "here", "127.0.0.1", 1, 1)


def record(upstream, **changes):
    return gateway.upstream(upstream.upstream_id, port=upstream.port, **changes)


def cool(harness):
    """Has the harness limit what it sends to cold upstreams."""
    now = time.monotonic()
    warmups = harness.task.balancer.warmups
    warmups.set_rate(RATE, now)
    # It has been the only entry for a while.
    warmups.set_members([OWN], now - 10.0, now - 10.0)
    warmups.set_members([OWN], now, now)


async def submit_at_once(harness, count):
    return await asyncio.gather(
        *(harness.submit(gateway.request()) for _ in range(count))
    )


# One that reports no load was never sampled, so its coldness stayed unknown.
@pytest.mark.parametrize("load", ["0,0,4,100", ""], ids=["load", "no load"])
def test_an_upstream_that_turns_cold_unseen_is_looked_at_first(load):
    async def scenario():
        one = scripted_upstream.ScriptedUpstream("u-1", load=load)
        async with test_service_task.Harness(one) as harness:
            cool(harness)
            assert (await harness.submit(gateway.request()))[0] == 200
            one.health_headers = COLD
            await asyncio.sleep(0.15)
            results = await submit_at_once(harness, 12)
            answered = [each for each in results if isinstance(each, tuple)]
            assert 1 <= len(answered) <= 3
            assert len(one.requests) == 1 + len(answered)
            refused = [e for e in results if isinstance(e, outcomes.NotRun)]
            assert len(refused) == 12 - len(answered)
            for each in refused:
                assert each.reason is outcomes.Reason.RATE_LIMITED
                assert 0 < each.retry_after_ms <= 3000
            counters = harness.recorder.counters
            assert counters["signals_warmup_began"] == 1

    test_service_task.run(scenario)


def test_a_warm_upstream_gets_what_a_cold_one_does_not():
    async def scenario():
        cold, warm = test_service_task.upstream(), None
        cold.health_headers = COLD
        warm = scripted_upstream.ScriptedUpstream("u-2")
        async with test_service_task.Harness(cold, warm) as harness:
            cool(harness)
            results = await submit_at_once(harness, 20)
            assert all(each[0] == 200 for each in results)
            assert len(cold.requests) <= 2
            assert len(warm.requests) >= 18

    test_service_task.run(scenario)


# A repeat must find room like any other request.
def test_a_repeat_does_not_go_to_a_cold_upstream_without_room():
    async def scenario():
        failing = scripted_upstream.ScriptedUpstream(
            "u-1", [ScriptedAnswer(status=500)] * 9
        )
        cold = scripted_upstream.ScriptedUpstream("u-2")
        cold.health_headers = COLD
        async with test_service_task.Harness(failing, cold) as harness:
            cool(harness)
            await submit_at_once(harness, 9)
            assert len(failing.requests) == 9
            assert len(cold.requests) <= 3

    test_service_task.run(scenario)


# An upstream that serves but whose health answers are lost was closed for good.
def test_an_upstream_that_answers_no_look_gets_what_a_cold_one_bears():
    async def scenario():
        one = test_service_task.upstream()
        one.silent_health = True
        async with test_service_task.Harness(one) as harness:
            cool(harness)
            results = await submit_at_once(harness, 12)
            answered = [each for each in results if isinstance(each, tuple)]
            assert 1 <= len(answered) <= 3
            assert len(one.requests) == len(answered)
            assert one.health_requests <= 25

    test_service_task.run(scenario)


def test_a_record_tells_of_coldness_before_any_sample():
    async def scenario():
        one = test_service_task.upstream()
        one.health_headers = COLD
        async with test_service_task.Harness(one) as harness:
            cool(harness)
            cold = record(one, warmup_s=3.0, sequence=7)
            harness.task.send(messages.SetUpstreams((cold,)))
            await asyncio.sleep(0.05)
            instance = upstream_signals.instance_of(cold)
            warmups = harness.task.balancer.warmups
            assert warmups.is_cold(instance, time.monotonic())
            assert not one.health_requests
            await submit_at_once(harness, 6)
            assert len(one.requests) <= 3

    test_service_task.run(scenario)


def test_without_a_rate_a_cold_upstream_gets_everything():
    async def scenario():
        one = test_service_task.upstream()
        one.health_headers = COLD
        async with test_service_task.Harness(one) as harness:
            results = await submit_at_once(harness, 12)
            assert all(each[0] == 200 for each in results)

    test_service_task.run(scenario)
