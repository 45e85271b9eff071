"""Tests of the connection of the gateway to one upstream."""

from __future__ import annotations

import asyncio
import errno
import gc
import itertools

import h11
import pytest

from sesamevale import calls
from sesamevale import outcomes
from sesamevale import sockets
from sesamevale.platform import header_fields
from sesamevale.policy.calls import forwarding
from sesamevale.upstreams import http_link
from sesamevale.upstreams import link_messages
from tests.builders import endless_answers
from tests.builders import gateway
from tests.standins import endless_upstream
from tests.standins import processor_time
from tests.standins import scripted_upstream

SLACK_S = 0.25
# Events that may be parsed while others wait for a turn.
TURN_EVENTS_MAX = 512


def new_link(upstream):
    record = gateway.upstream(upstream.upstream_id, port=upstream.port)
    return http_link.HttpLink(record, header_fields.DIALECT)


async def sample(link):
    """Returns the result of a sample over a link."""
    result = asyncio.get_running_loop().create_future()
    link.send(link_messages.Sample("/health", result.set_result))
    return await asyncio.wait_for(result, 5.0)


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize(
    "answer",
    endless_answers.LOAD_REPORTS,
    ids=[each.name for each in endless_answers.LOAD_REPORTS],
)
def test_a_load_report_whose_body_does_not_end_is_not_used(answer, slow):
    async def scenario():
        upstream = endless_upstream.EndlessUpstream(
            answer, slow=slow, to_samples=True
        )
        async with upstream:
            started = processor_time.now()
            link = new_link(upstream)
            result = await sample(link)
            seconds = processor_time.now() - started
            assert seconds < http_link.SAMPLE_TIMEOUT_S + SLACK_S
            assert result == link_messages.SampleResult(reached=False)
            assert not link.is_open
            await asyncio.sleep(0.1)
            assert upstream.open_count == 0

    asyncio.run(scenario())


def reset(stream):
    raise OSError(errno.EINVAL, "Invalid argument")


def break_invariant(*arguments):
    raise AssertionError("broken")


async def forward(link):
    """Returns the result of a request over a link."""
    result = asyncio.get_running_loop().create_future()
    link.send(
        link_messages.Forward(gateway.request(), result.set_result, print)
    )
    return await asyncio.wait_for(result, 1.0)


def test_a_connection_that_is_reset_at_once_counts_as_not_opened(monkeypatch):
    """The request waited for its deadline."""
    monkeypatch.setattr(sockets, "enable_keepalive", reset)

    async def scenario():
        async with scripted_upstream.ScriptedUpstream() as upstream:
            link = new_link(upstream)
            assert await forward(link) == forwarding.NotSent()
            assert not link.has_sent
            link = new_link(upstream)
            result = await asyncio.wait_for(sample(link), 1.0)
            assert result == link_messages.SampleResult(reached=False)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("error", "expected"),
    [
        (ConnectionResetError(), forwarding.Reset()),
        (TimeoutError(), forwarding.Lost(outcomes.Reason.CUT)),
    ],
)
def test_only_a_reset_is_taken_for_a_full_upstream(error, expected):
    """A connection that is lost because its peer is silent is no reset."""

    async def scenario():
        answer = scripted_upstream.ScriptedAnswer(delay_s=5.0)
        async with scripted_upstream.ScriptedUpstream("u-1", [answer]) as one:
            link = new_link(one)
            ended = asyncio.ensure_future(forward(link))
            await asyncio.sleep(0.1)
            link._stream.connection_lost(error)
            assert await ended == expected

    asyncio.run(scenario())


@pytest.mark.parametrize("name", ["_read_answer", "_write"])
def test_a_link_whose_task_fails_reports_the_attempt_as_lost(monkeypatch, name):
    """The request waited for its deadline."""
    monkeypatch.setattr(http_link.HttpLink, name, break_invariant)

    async def scenario():
        async with scripted_upstream.ScriptedUpstream() as upstream:
            link = new_link(upstream)
            result = await forward(link)
            assert result == forwarding.Lost(outcomes.Reason.CUT)
            assert link.has_result and not link.is_open

    asyncio.run(scenario())


def test_a_link_whose_task_fails_reports_the_end_of_a_stream(monkeypatch):
    """The caller and the upstream waited for the deadline."""
    monkeypatch.setattr(calls.AnswerChannel, "drain", break_invariant)

    async def scenario():
        answer = endless_answers.SILENT_AFTER_START
        async with endless_upstream.EndlessUpstream(answer) as upstream:
            link = new_link(upstream)
            loop = asyncio.get_running_loop()
            result, complete = loop.create_future(), loop.create_future()
            link.send(
                link_messages.Forward(
                    gateway.request(), result.set_result, complete.set_result
                )
            )
            assert not await asyncio.wait_for(complete, 1.0)
            rest = (await result).rest
            while isinstance(message := await rest.get(), calls.AnswerData):
                pass
            cut = outcomes.Unknown(outcomes.Reason.CUT)
            assert message == calls.AnswerFailed(cut)

    asyncio.run(scenario())


def test_a_link_whose_task_fails_reports_the_sample(monkeypatch):
    """The upstream was never sampled again."""
    monkeypatch.setattr(http_link.HttpLink, "_request_load", break_invariant)

    async def scenario():
        async with scripted_upstream.ScriptedUpstream() as upstream:
            result = await asyncio.wait_for(sample(new_link(upstream)), 1.0)
            assert result == link_messages.SampleResult(reached=False)

    asyncio.run(scenario())


def test_the_failure_of_a_link_task_reaches_the_event_loop(monkeypatch):
    monkeypatch.setattr(http_link.HttpLink, "_read_answer", break_invariant)
    contexts = []

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: contexts.append(context))
        async with scripted_upstream.ScriptedUpstream() as upstream:
            await forward(new_link(upstream))
            await asyncio.sleep(0.01)

    asyncio.run(scenario())
    gc.collect()
    assert isinstance(contexts[0]["exception"], AssertionError)


class EndlessParser:
    """Has any number of parts of a body at hand."""

    def __init__(self):
        self.taken = 0

    def next_event(self):
        self.taken += 1
        return h11.Data(data=b"x")


# Load: an answer that costs far more to parse than to send.
def test_tiny_parts_of_an_answer_leave_turns_to_other_tasks():
    parser = EndlessParser()
    taken = [0]

    async def scenario():
        link = http_link.HttpLink(gateway.upstream(), header_fields.DIALECT)
        link._http, link._stream = parser, sockets.ByteStream()
        task = asyncio.create_task(link._read_body(10_000))
        while not task.done():
            await asyncio.sleep(0)
            taken.append(parser.taken)
        link.close()

    asyncio.run(scenario())
    steps = [later - earlier for earlier, later in itertools.pairwise(taken)]
    assert max(steps) <= TURN_EVENTS_MAX
