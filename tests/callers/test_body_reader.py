"""Tests of reading a body as far as there is memory."""

from __future__ import annotations

import asyncio
import itertools

from sesamevale import memory_room
from sesamevale import outcomes
from sesamevale.callers import body_reader
from sesamevale.policy.admission import memory_account
from sesamevale.policy.admission import memory_limits
from tests.builders import memory
from tests.standins import body_source

LIMIT_BYTES = 64 * memory.MIB
# Events that may be parsed while others wait for a turn.
TURN_EVENTS_MAX = 256


def new_claim() -> memory_room.Claim:
    limits = memory_limits.MemoryLimits.plan(memory.machine())
    return memory_room.MemoryRoom(limits).try_open_claim(1, lambda cause: None)


def read(source, claim=None):
    async def scenario():
        reader = body_reader.BodyReader(
            source, claim or new_claim(), LIMIT_BYTES
        )
        return await reader.read()

    return asyncio.run(scenario())


def test_a_body_is_read_whole():
    chunks = [bytes((each,)) * 100_000 for each in range(5)]
    body = read(body_source.BodySource(chunks))
    assert b"".join(body.parts()) == b"".join(chunks)


# Load: a body that costs far more to parse than to send.
def test_tiny_chunks_leave_turns_to_other_tasks():
    source = body_source.BodySource([b"x"] * 10_000)
    taken = [0]

    async def scenario():
        reader = body_reader.BodyReader(source, new_claim(), LIMIT_BYTES)
        task = asyncio.create_task(reader.read())
        while not task.done():
            await asyncio.sleep(0)
            taken.append(source.taken)

    asyncio.run(scenario())
    steps = [later - earlier for earlier, later in itertools.pairwise(taken)]
    assert max(steps) <= TURN_EVENTS_MAX


def test_a_body_without_room_is_refused_before_it_is_read():
    source = body_source.BodySource([bytes(memory.MIB)], memory.MIB)
    claim = new_claim()
    claim.close()
    assert read(source, claim) is outcomes.Reason.MEMORY
    assert source.taken == 0


def test_a_chunked_body_holds_no_more_than_was_taken_for_it():
    source = body_source.BodySource([bytes(200_000)] * 20)
    limits = memory_limits.MemoryLimits.plan(memory.machine())
    room = memory_room.MemoryRoom(limits)
    body = read(source, room.try_open_claim(1, lambda cause: None))
    held = room.account.held_by_kind[memory_account.Kind.BODY]
    included = body_reader.INCLUDED_BYTES
    assert len(body) - included <= held <= len(body) + 2 * memory.MIB


# Guards against the end of a body that is long in coming but makes progress.
def test_progress_starts_the_time_out_anew():
    source = body_source.BodySource([bytes(1000)] * 100)
    read(source)
    assert source.restarts >= 2


def test_a_body_that_grows_over_the_limit_is_refused():
    source = body_source.BodySource([bytes(memory.MIB)] * 65)
    assert read(source) is outcomes.Reason.TOO_LARGE
