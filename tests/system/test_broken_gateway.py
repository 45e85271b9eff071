"""A gateway process whose service task fails, with requests in flight."""

from __future__ import annotations

import asyncio

from tests.standins.scripted_upstream import ScriptedAnswer
from tests.system import entry_process

# Fails when a request with this identifier arrives.
FAILING_PROGRAM = """
from sesamevale.forwarding import messages
from sesamevale.forwarding import service_task
from sesamevale.platform import daemon

receive = service_task.ServiceTask.receive

def fail(self, message):
    if isinstance(message, messages.Submit):
        assert message.request.request_id != b"failing"
    receive(self, message)

service_task.ServiceTask.receive = fail
daemon.main()
"""


class FailingEntry(entry_process.Entry):
    program = ("-c", FAILING_PROGRAM)


def test_callers_get_their_outcomes_when_an_error_stops_the_process(tmp_path):
    """Their connections were closed without an answer."""

    async def scenario():
        answers = [ScriptedAnswer(delay_s=5.0)]
        async with FailingEntry(tmp_path, answers) as entry:
            await entry.wait_readiness()
            charge = asyncio.ensure_future(
                entry.call("/charge/1", method="POST")
            )
            await asyncio.sleep(0.3)
            assert len(entry.upstream.requests) == 1
            failing = asyncio.ensure_future(entry.call("/read/1", "failing"))
            async with asyncio.timeout(1.0):
                assert (await charge)[0] == 502
                status, _, _ = await failing
                assert status == 502
            output, _ = await asyncio.wait_for(entry.process.communicate(), 5)
            assert entry.process.returncode == 1
            assert b'"event": "drained"' in output

    entry_process.run(scenario())
