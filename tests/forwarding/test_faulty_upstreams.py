"""Upstreams that repeat an answer on a kept connection, or stop in its head.

Patterns: a refusal that is written once more after the next request was sent,
a second copy of an answer, and a head that ends with its connection.
"""

from __future__ import annotations

import asyncio

import pytest

from sesamevale import outcomes
from sesamevale.policy.calls import forwarding
from sesamevale.upstreams import http_link
from sesamevale.upstreams import link_messages
from tests.builders import gateway
from tests.forwarding import test_service_task
from tests.standins import gateway_entry
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: first\r\n"
    b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
NAMELESS_REFUSAL = REFUSAL.replace(b"X-Attempt-Id: first\r\n", b"")
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\n"
    b"X-Response-Signature: s\r\nContent-Length: 4\r\n\r\npaid"
)
WHOLE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
    b"X-Response-Signature: s\r\nContent-Length: 4\r\n\r\n"
)


def charge(request_id):
    fields = ((b"host", b"a.example"),)
    if request_id:
        fields += ((b"x-attempt-id", request_id),)
    return gateway.request(
        test_service_task.CHARGE, request_id=request_id, headers=fields
    )


def answering(*steps):
    return scripted_upstream.ScriptedUpstream("u-1", steps)


def refusing(data=REFUSAL):
    return ScriptedAnswer(raw=data, keep=True)


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_a_repeated_refusal_is_not_taken_for_that_of_the_next_request(delay_s):
    one = answering(
        refusing(), ScriptedAnswer(raw=REFUSAL + ANSWER, delay_s=delay_s)
    )

    async def scenario():
        async with test_service_task.Harness(one) as harness:
            first = await harness.submit(charge(b"first"))
            assert isinstance(first, outcomes.NotRun)
            assert await harness.submit(charge(b"second")) == (200, b"paid")
            assert one.connection_count == 1

    asyncio.run(scenario())


def test_a_repeated_refusal_alone_leaves_the_outcome_unknown():
    """The upstream has begun to work on the request and goes silent."""
    one = answering(refusing(), refusing())

    async def scenario():
        async with test_service_task.Harness(one) as harness:
            await harness.submit(charge(b"first"))
            second = gateway.request(
                test_service_task.CHARGE,
                timeout_s=0.5,
                request_id=b"second",
                headers=((b"host", b"a"), (b"x-attempt-id", b"second")),
            )
            outcome = await harness.submit(second)
            assert isinstance(outcome, outcomes.Unknown)
            assert one.connection_count == 1

    asyncio.run(scenario())


async def forward(link, request):
    result = asyncio.get_running_loop().create_future()
    link.send(link_messages.Forward(request, result.set_result, print))
    return await asyncio.wait_for(result, 2.0)


def test_a_refusal_without_an_identifier_ends_its_connection():
    """Its repetition cannot be told from the refusal of a later request."""
    one = answering(refusing(NAMELESS_REFUSAL))

    async def scenario():
        async with one:
            link = http_link.HttpLink(
                gateway.upstream(one.upstream_id, port=one.port),
                test_service_task.header_fields.DIALECT,
            )
            result = await forward(link, charge(b""))
            assert isinstance(result, forwarding.Rejected)
            assert not link.is_open

    asyncio.run(scenario())


def test_a_second_copy_of_an_answer_is_not_given_to_the_next_caller():
    first = ANSWER.replace(b"second", b"first").replace(b"paid", b"away")
    one = answering(
        ScriptedAnswer(raw=first, keep=True),
        ScriptedAnswer(raw=first + ANSWER),
    )

    async def scenario():
        async with test_service_task.Harness(one) as harness:
            assert await harness.submit(charge(b"first")) == (200, b"away")
            assert await harness.submit(charge(b"second")) == (200, b"paid")
            assert one.connection_count == 1

    asyncio.run(scenario())


def test_a_head_that_stops_midway_is_no_answer():
    """A caller would get a success with an empty or short body."""
    cuts = [WHOLE_ANSWER[:kept] for kept in range(1, len(WHOLE_ANSWER))]
    one = answering(*(ScriptedAnswer(raw=cut, close=True) for cut in cuts))

    async def scenario():
        async with gateway_entry.GatewayEntry(one) as entry:
            for cut in cuts:
                result = await gateway_entry.call(entry.port, "/charge/1", 2.0)
                assert (result.status, result.complete) == (502, True), cut

    asyncio.run(scenario())
