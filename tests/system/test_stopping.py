"""Tests of what callers get from a daemon that is being stopped."""

from __future__ import annotations

import asyncio
import contextlib
import signal

from tests.builders import store_items
from tests.standins.answer_reader import read_answer
from tests.standins.scripted_upstream import ScriptedAnswer
from tests.system.entry_process import Entry
from tests.system.entry_process import HOST
from tests.system.entry_process import run

# Callers' directory answers expire 0.6 s after SIGTERM, and idle connections
# are closed 0.5 s later.
LIFETIME_S = 0.2
SLOW_S = 10.0
CONFIGURATION = store_items.config(
    "r1",
    [
        store_items.route(timeoutMs=20000, targetLatencyMs=20000),
        store_items.route(
            name="charge",
            prefix="/charge/",
            kind="unsafe",
            timeoutMs=20000,
            targetLatencyMs=20000,
        ),
    ],
)


def stopping_entry(folder, *answers):
    return Entry(
        folder, answers, CONFIGURATION, directory_lifetime_max_s=LIFETIME_S
    )


async def events_after_exit(entry):
    events = await entry.stop()
    assert entry.process.returncode == 0
    return events


def test_a_request_that_a_drain_leaves_is_logged(tmp_path):
    async def scenario():
        async with stopping_entry(
            tmp_path, ScriptedAnswer(delay_s=SLOW_S)
        ) as entry:
            await entry.wait_readiness()
            left = asyncio.create_task(
                entry.call("/charge/1", "a-1", "POST", deadline_ms=20000)
            )
            await asyncio.sleep(0.3)
            events = await events_after_exit(entry)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await left
            ended = [each for each in events if each["event"] == "request"]
            assert [each["reason"] for each in ended] == ["stopping"]
            drained = [each for each in events if each["event"] == "drained"]
            assert drained[0]["requests_left"] == 1

    run(scenario())


async def start_call(entry, attempt, method="POST"):
    """Starts a long request; returns its task once the entry has read it."""
    call = asyncio.create_task(
        entry.call(f"/charge/{attempt}", attempt, method, deadline_ms=20000)
    )
    await asyncio.sleep(0.3)
    return call


# Guards against requests that a stopping entry takes although they can last
# beyond its grace, and that the exit then cuts.
def test_a_request_that_may_outlast_the_drain_is_refused_as_not_run(tmp_path):
    async def scenario():
        answers = ScriptedAnswer(delay_s=1.8), ScriptedAnswer(delay_s=SLOW_S)
        async with stopping_entry(tmp_path, *answers) as entry:
            await entry.wait_readiness()
            first = await start_call(entry, "a-1")
            entry.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.8)
            status, headers, _ = await entry.call(
                "/charge/2", "a-2", "POST", deadline_ms=20000
            )
            assert status == 503
            assert headers["connection"] == "close"
            assert len(entry.upstream.requests) == 1
            assert (await first)[0] == 200
            await events_after_exit(entry)

    run(scenario())


# Guards against refusing late requests that surely end before the exit.
def test_a_request_that_ends_before_the_drain_does_is_served(tmp_path):
    async def scenario():
        answers = ScriptedAnswer(delay_s=1.8), ScriptedAnswer()
        async with stopping_entry(tmp_path, *answers) as entry:
            await entry.wait_readiness()
            first = await start_call(entry, "a-1")
            entry.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.8)
            status, _, _ = await entry.call(
                "/charge/2", "a-2", "POST", deadline_ms=500
            )
            assert status == 200
            assert (await first)[0] == 200

    run(scenario())


# Guards against closing connections without an answer at the end of the grace.
def test_a_request_left_at_the_end_of_the_drain_is_told_its_outcome(tmp_path):
    async def scenario():
        async with stopping_entry(
            tmp_path, ScriptedAnswer(delay_s=SLOW_S)
        ) as entry:
            await entry.wait_readiness()
            sent = await start_call(entry, "a-1")
            entry.upstream.load = "4,0,4,100"
            await asyncio.sleep(0.2)
            waiting = await start_call(entry, "a-2")
            assert len(entry.upstream.requests) == 1
            await events_after_exit(entry)
            status, headers, _ = await sent
            assert (status, headers["sesamevale-outcome"]) == (502, "unknown")
            status, headers, _ = await waiting
            assert (status, headers["sesamevale-outcome"]) == (503, "not-run")

    run(scenario())


# Guards against an exit that cuts a request which arrives on a connection that
# was accepted before the last check for requests.
def test_a_request_whose_head_is_half_read_at_the_exit_is_answered(tmp_path):
    async def scenario():
        async with stopping_entry(tmp_path) as entry:
            await entry.wait_readiness()
            reader, writer = await asyncio.open_connection(HOST, entry.ports[0])
            writer.write(b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\n")
            await asyncio.sleep(0.2)
            entry.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.5)
            writer.write(b"X-Attempt-Id: a-1\r\nX-Deadline-Ms: 400\r\n\r\n")
            async with asyncio.timeout(2.0):
                status, headers, _ = await read_answer(reader)
            writer.close()
            assert status == 200
            assert headers["connection"] == "close"
            await events_after_exit(entry)

    run(scenario())
