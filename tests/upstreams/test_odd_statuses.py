"""Answers of upstreams whose status is none, in both modes, over sockets.

Callers got them as answers: those of 600 to 999 in both modes.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.builders import odd_statuses
from tests.standins import dispatching_entry
from tests.standins import gateway_entry
from tests.standins import scripted_upstream

DEADLINE_S = 1.0
CODES = pytest.mark.parametrize(
    "code", [*odd_statuses.CODES, "199 without end"]
)
BAD_GATEWAY = 502


def new_upstream(code):
    return scripted_upstream.ScriptedUpstream(
        "u-1", [odd_statuses.odd_answer(code)]
    )


# Guards against an odd status, or the success behind it, as the answer to a
# request that may have run.
@CODES
def test_the_gateway_reports_a_charge_as_unknown(code):
    async def scenario():
        upstream = new_upstream(code)
        async with gateway_entry.GatewayEntry(upstream) as entry:
            charged = await gateway_entry.call(
                entry.port, "/charge/1", DEADLINE_S
            )
            assert charged.complete
            assert charged.status == BAD_GATEWAY
            assert odd_statuses.BEHIND not in charged.body
            assert len(upstream.requests) == 1
            assert entry.recorder.counters["attempts_lost"] == 1
            connections = upstream.connection_count
            again = await gateway_entry.call(entry.port, "/read/1", DEADLINE_S)
            assert (again.status, again.body) == (200, b"done")
            assert upstream.connection_count == connections + 1

    asyncio.run(scenario())


@CODES
def test_the_gateway_sends_a_read_to_another_upstream(code):
    async def scenario():
        odd, other = new_upstream(code), scripted_upstream.ScriptedUpstream("b")
        other.load = "0,0,4,300"
        async with gateway_entry.GatewayEntry(odd, other) as entry:
            read = await gateway_entry.call(entry.port, "/read/1", DEADLINE_S)
            assert (read.status, read.body) == (200, b"done")
            assert len(odd.requests) == len(other.requests) == 1

    asyncio.run(scenario())


@CODES
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_dispatcher_never_passes_it_on(code, method):
    async def scenario():
        upstream = new_upstream(code)
        async with dispatching_entry.DispatchingEntry(upstream) as entry:
            result = await gateway_entry.call(
                entry.port,
                "/till/x",
                DEADLINE_S,
                method=method,
                deadline_field="Sesamevale-Deadline-Ms",
            )
            assert result.complete
            assert odd_statuses.BEHIND not in result.body
            # A read may be sent once more, on another connection.
            if method == "POST":
                assert result.status == BAD_GATEWAY
                assert len(upstream.requests) == 1
            else:
                assert result.status in (200, BAD_GATEWAY)
            again = await gateway_entry.call(
                entry.port,
                "/till/x",
                DEADLINE_S,
                deadline_field="Sesamevale-Deadline-Ms",
            )
            assert (again.status, again.body) == (200, b"done")
            assert upstream.connection_count == 2

    asyncio.run(scenario())


# Interim answers with a number that no page knows are none of these faults.
def test_a_success_behind_few_interim_answers_is_the_answer():
    raw = odd_statuses.interim(3) + odd_statuses.success(b"done")
    answer = scripted_upstream.ScriptedAnswer(raw=raw, keep=True)

    async def scenario():
        upstream = scripted_upstream.ScriptedUpstream("u-1", [answer, answer])
        async with gateway_entry.GatewayEntry(upstream) as entry:
            read = await gateway_entry.call(entry.port, "/read/1", DEADLINE_S)
            assert (read.status, read.body) == (200, b"done")
        async with dispatching_entry.DispatchingEntry(upstream) as entry:
            read = await gateway_entry.call(
                entry.port,
                "/till/x",
                DEADLINE_S,
                deadline_field="Sesamevale-Deadline-Ms",
            )
            assert (read.status, read.body) == (200, b"done")

    asyncio.run(scenario())
