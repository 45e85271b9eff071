"""Requests that crash the upstreams that run them.

They were sent from one upstream to the next, in each attempt of their callers
anew, until hardly any was left.
"""

from __future__ import annotations

import asyncio
import contextlib

from sesamevale import outcomes
from sesamevale.forwarding import messages
from tests.builders import gateway
from tests.forwarding import test_service_task
from tests.standins import crashing_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

UPSTREAMS = 6
# A request under which this many upstreams have ended runs nowhere else.
DEATHS_MAX = 2


def new_upstreams():
    return [
        crashing_upstream.CrashingUpstream(f"u-{number}")
        for number in range(UPSTREAMS)
    ]


def crashed(upstreams):
    return sum(each.has_crashed for each in upstreams)


def read(target, **changes):
    return gateway.request(
        gateway.route(upstreams_max=3), target=target, **changes
    )


@contextlib.asynccontextmanager
async def entries(upstreams, count):
    """Yields entries that use the same upstreams and hear of each other."""
    async with contextlib.AsyncExitStack() as stack:
        found = [
            await stack.enter_async_context(
                test_service_task.Harness(*upstreams)
            )
        ]
        for _ in range(count - 1):
            other = test_service_task.Harness()
            other.records = found[0].records
            found.append(await stack.enter_async_context(other))
        for each in found:
            others = [other for other in found if other is not each]
            each.tell = lambda rows, others=others: [
                other.task.send(messages.SuspicionsHeard(rows))
                for other in others
            ]
        yield found


# Guards against a request that crashes one upstream after the other.
def test_a_request_that_crashes_its_upstreams_is_not_sent_on_and_on():
    async def scenario():
        upstreams = new_upstreams()
        async with entries(upstreams, 1) as (harness,):
            for number in range(5):
                outcome = await harness.submit(
                    read(b"/read/deadly", request_id=b"a-%d" % number)
                )
                assert isinstance(
                    outcome, outcomes.NotRun | outcomes.Unknown
                ), outcome
            assert crashed(upstreams) <= DEATHS_MAX
            assert await harness.submit(read(b"/read/1")) == (200, b"done")

    asyncio.run(scenario())


# Guards against a refusal as "not run" of an attempt that may have run.
def test_an_attempt_that_may_have_run_is_not_refused():
    async def scenario():
        upstreams = new_upstreams()
        async with entries(upstreams, 1) as (harness,):
            found = [
                await harness.submit(read(b"/read/deadly")) for _ in range(3)
            ]
            assert isinstance(found[0], outcomes.Unknown)
            assert isinstance(found[-1], outcomes.NotRun)
            assert found[-1].reason is outcomes.Reason.SUSPECT
            assert found[-1].retry_after_ms > 0
            sent = sum(len(each.received) for each in upstreams)
            assert sent == DEATHS_MAX

    asyncio.run(scenario())


# Guards against a caller that repeats at other entries, each of which would
# lose upstreams before it learned.
def test_the_suspicion_is_known_at_other_entries():
    async def scenario():
        upstreams = new_upstreams()
        async with entries(upstreams, 3) as found:
            for number in range(6):
                await found[number % 3].submit(read(b"/read/deadly"))
                await asyncio.sleep(0.02)
            assert crashed(upstreams) <= DEATHS_MAX

    asyncio.run(scenario())


# Guards against requests that are refused since they ran beside a deadly one.
def test_a_request_that_shared_a_crashed_upstream_is_served():
    async def scenario():
        upstreams = new_upstreams()
        async with entries(upstreams, 1) as (harness,):
            deadly = asyncio.ensure_future(
                harness.submit(read(b"/read/deadly"))
            )
            beside = [
                asyncio.ensure_future(harness.submit(read(b"/read/%d" % each)))
                for each in range(12)
            ]
            await deadly
            results = await asyncio.gather(*beside)
            again = [
                await harness.submit(read(b"/read/%d" % each))
                for each in range(12)
            ]
            assert again == [(200, b"done")] * 12
            assert results.count((200, b"done")) >= 6
            assert crashed(upstreams) <= DEATHS_MAX

    asyncio.run(scenario())


# Guards against suspicions that rise from upstreams that reset connections
# while they are full, and live.
def test_an_upstream_that_resets_connections_raises_no_suspicion():
    async def scenario():
        reset = ScriptedAnswer(raw=b"", reset=True)
        one = test_service_task.upstream(*[reset] * 9)
        two = test_service_task.upstream(*[reset] * 9, name="u-2")
        async with test_service_task.Harness(one, two) as harness:
            for _ in range(4):
                outcome = await harness.submit(read(b"/read/1"))
                assert isinstance(outcome, outcomes.Unknown)
            assert len(one.requests) + len(two.requests) == 8

    asyncio.run(scenario())
