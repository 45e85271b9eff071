"""Tests of how the gateway passes an answer on to its caller."""

from __future__ import annotations

import asyncio

import pytest

from sesamevale import calls
from sesamevale import outcomes
from sesamevale.forwarding import messages
from tests.standins import gateway_entry

HEAD = calls.AnswerHead(200, ((b"x-response-signature", b"s"),))
PART = calls.AnswerData(b"first part")
CUT = calls.AnswerFailed(outcomes.Unknown(outcomes.Reason.CUT))


class ScriptedTask:
    """Answers each request with the same messages, all at once."""

    has_failed = False

    def __init__(self, script):
        self._script = script

    def send(self, message):
        if isinstance(message, messages.Submit):
            for each in self._script:
                message.request.answer.put(each)


@pytest.mark.parametrize(
    "script", [(HEAD, CUT), (HEAD, PART, CUT), (HEAD, PART, PART, CUT)]
)
def test_a_failure_that_is_queued_with_the_head_ends_the_request(script):
    """The connection waited for further messages for ever."""

    async def scenario():
        async with gateway_entry.GatewayEntry() as entry:
            entry.router.tasks["sheet"] = ScriptedTask(script)
            result = await asyncio.wait_for(
                gateway_entry.call(entry.port, "/read/1", 0.5), 1.0
            )
            assert result.status == 502
            assert result.complete

    asyncio.run(scenario())
