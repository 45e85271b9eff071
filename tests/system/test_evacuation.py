"""A daemon process whose data centres are evacuated and taken back."""

from __future__ import annotations

import asyncio
import contextlib

from tests.builders import store_items
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer
from tests.system.entry_process import Entry
from tests.system.entry_process import HOST
from tests.system.entry_process import run

# Longer than the interval between two reads of the store.
KNOWN_AFTER_S = 1.7


def evacuate(entry, data_center):
    entry.store.put(store_items.evacuation(data_center))


def take_back(entry, data_center):
    entry.store.remove(store_items.evacuation(data_center)["key"])


@contextlib.asynccontextmanager
async def two_data_centers(folder, answers=()):
    """Yields an entry, and its upstreams here and there."""
    there = scripted_upstream.ScriptedUpstream("i-2")
    async with there, Entry(folder, answers) as entry:
        entry.store.put(
            store_items.item(
                "servers/i-2",
                store_items.heartbeat(
                    address=f"{HOST}:{there.port}", zone="there"
                ),
            )
        )
        await entry.wait_readiness()
        await asyncio.sleep(KNOWN_AFTER_S)
        yield entry, entry.upstream, there


async def call_often(entry, count=12):
    return [(await entry.call("/read/1"))[0] for _ in range(count)]


# Requests went on to the upstreams of an evacuated data centre.
def test_an_evacuated_data_center_gets_nothing_until_it_is_taken_back(
    tmp_path,
):
    async def scenario():
        async with two_data_centers(tmp_path) as (entry, here, there):
            assert set(await call_often(entry)) == {200}
            assert here.requests
            evacuate(entry, "here")
            await asyncio.sleep(KNOWN_AFTER_S)
            before = len(here.requests)
            assert set(await call_often(entry)) == {200}
            assert len(here.requests) == before
            assert len(there.requests) >= 12
            take_back(entry, "here")
            await asyncio.sleep(KNOWN_AFTER_S)
            assert set(await call_often(entry)) == {200}
            assert len(here.requests) > before

    run(scenario())


# A request in flight at an upstream there must end there.
def test_what_runs_in_an_evacuated_data_center_ends(tmp_path):
    async def scenario():
        answers = [ScriptedAnswer(delay_s=KNOWN_AFTER_S + 0.3)]
        async with two_data_centers(tmp_path, answers) as (entry, here, _):
            evacuate(entry, "there")
            await asyncio.sleep(KNOWN_AFTER_S)
            running = asyncio.create_task(
                entry.call("/charge/1", method="POST")
            )
            await asyncio.sleep(0.2)
            assert len(here.requests) == 1
            evacuate(entry, "here")
            assert (await running)[0] == 200
            assert not here.abandoned_requests

    run(scenario())


# With all data centres evacuated a request has nowhere to go.
def test_all_data_centers_evacuated_refuse_at_once(tmp_path):
    async def scenario():
        async with two_data_centers(tmp_path) as (entry, here, there):
            evacuate(entry, "here")
            evacuate(entry, "there")
            await asyncio.sleep(KNOWN_AFTER_S)
            before = len(here.requests) + len(there.requests)
            assert set(await call_often(entry)) == {503}
            assert len(here.requests) + len(there.requests) == before

    run(scenario())


# A process without memory must not use an evacuated data centre either.
def test_a_restarted_entry_knows_of_an_evacuation_before_it_serves(tmp_path):
    async def scenario():
        async with two_data_centers(tmp_path) as (entry, here, _):
            evacuate(entry, "here")
            await asyncio.sleep(KNOWN_AFTER_S)
            before = len(here.requests)
            await entry.stop()
            await entry.start()
            await entry.wait_readiness()
            assert set(await call_often(entry)) == {200}
            assert len(here.requests) == before

    run(scenario())


# An entry that the store turns away keeps what it has read last.
def test_an_entry_that_is_cut_off_keeps_an_evacuation(tmp_path):
    async def scenario():
        async with two_data_centers(tmp_path) as (entry, here, _):
            evacuate(entry, "here")
            await asyncio.sleep(KNOWN_AFTER_S)
            entry.store.standing_fault = "refused"
            await asyncio.sleep(KNOWN_AFTER_S)
            before = len(here.requests)
            assert set(await call_often(entry)) == {200}
            assert len(here.requests) == before

    run(scenario())
