"""Odd entries that another writer has left among those of the upstreams."""

from __future__ import annotations

import asyncio

import pytest

from tests.builders import odd_heartbeats
from tests.builders import store_items
from tests.system.entry_process import Entry
from tests.system.entry_process import ROUTES
from tests.system.entry_process import run


# One odd entry ended the processes that read the list, or stopped them from
# following it.
@pytest.mark.parametrize("name", odd_heartbeats.ALL)
def test_an_odd_entry_ends_no_process_and_the_list_is_followed(tmp_path, name):
    async def scenario():
        async with Entry(tmp_path) as entry:
            await entry.wait_readiness()
            odd = odd_heartbeats.ALL[name]
            entry.store.put(odd)
            await asyncio.sleep(1.5)
            calls = [entry.call("/read/1", f"attempt-{n}") for n in range(8)]
            statuses = [each[0] for each in await asyncio.gather(*calls)]
            assert entry.process.returncode is None
            assert statuses.count(200) >= 4
            entry.put_configuration(
                store_items.config(
                    "r2", [*ROUTES, store_items.route(prefix="/new/")]
                )
            )
            await asyncio.sleep(2.0)
            assert (await entry.call("/new/1"))[0] == 200
            assert entry.process.returncode is None

    run(scenario())
