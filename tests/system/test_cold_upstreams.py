"""A daemon process whose upstream is cold."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.builders import store_items
from tests.system.entry_process import Entry
from tests.system.entry_process import ROUTES
from tests.system.entry_process import run

WARMUP_PER_S = 3.0
OVERAGE = 1.5
TOLERANCE = 4
CALLS = 60
# Time after which an entry that has started uses its shares: until it has read
# its own registration, and until others that read it later have done so.
SHARED_AFTER_S = 4.0


def cold_entry(folder):
    config = store_items.config("r1", ROUTES)
    config["services"][0] |= {"warmupS": 3.0, "warmupPerS": WARMUP_PER_S}
    return Entry(
        folder,
        config=config,
        warmup_overage=OVERAGE,
        warmup_tolerance=TOLERANCE,
    )


async def call_at_once(entry, count):
    calls = [entry.call("/read/1", f"attempt-{n}") for n in range(count)]
    return [each[0] for each in await asyncio.gather(*calls)]


# An upstream that turns cold at any moment got whatever its slots took.
@pytest.mark.parametrize("told_by", ["its health", "its record"])
def test_a_cold_upstream_gets_no_more_than_it_tolerates(tmp_path, told_by):
    async def scenario():
        async with cold_entry(tmp_path) as entry:
            await entry.wait_readiness()
            assert set(await call_at_once(entry, 4)) == {200}
            await asyncio.sleep(SHARED_AFTER_S)
            entry.upstream.health_headers = (("x-warmup-ms", "4000"),)
            if told_by == "its record":
                entry.put_heartbeat(seqNo=9, warmupLeftMs=4000)
                await asyncio.sleep(1.7)
            before = len(entry.upstream.requests)
            began = time.monotonic()
            statuses = await call_at_once(entry, CALLS)
            assert set(statuses) <= {200, 503}
            seconds = time.monotonic() - began
            allowed = WARMUP_PER_S * OVERAGE * max(1.0, seconds) + TOLERANCE
            sent = len(entry.upstream.requests) - before
            assert 1 <= sent <= allowed

    run(scenario())


# Coldness must not outlast what the upstream says.
def test_an_upstream_that_is_warm_again_gets_everything(tmp_path):
    async def scenario():
        async with cold_entry(tmp_path) as entry:
            entry.upstream.health_headers = (("x-warmup-ms", "1500"),)
            await entry.wait_readiness()
            await call_at_once(entry, CALLS)
            await asyncio.sleep(1.6)
            entry.upstream.health_headers = ()
            statuses = await call_at_once(entry, CALLS)
            assert statuses.count(200) == CALLS

    run(scenario())
