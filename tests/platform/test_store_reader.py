"""Reads of the store, with small and large configurations."""

from __future__ import annotations

import asyncio
import contextlib

from sesamevale import metrics
from sesamevale import settings as checked_settings
from sesamevale.entries import state_reader
from sesamevale.platform import store_client
from sesamevale.platform import store_reader
from tests.builders import store_items
from tests.standins import platform_store

ROUTE_COUNT = 1_200


class NullEventLog:
    def state(self, name, **fields):
        pass


def large_config(version):
    return store_items.config(
        version,
        [
            store_items.route(name=f"n{number}", prefix=f"/{number}/x/")
            for number in range(ROUTE_COUNT)
        ],
    )


def put_config(store, content):
    store.put(store_items.item("op/config", content))


def put_heartbeat(store, **changes):
    content = store_items.heartbeat(**changes)
    store.put(store_items.item("servers/u-1", content))


@contextlib.asynccontextmanager
async def open_reader(content):
    async with platform_store.PlatformStore() as store:
        put_config(store, content)
        put_heartbeat(store)
        endpoint = checked_settings.Endpoint(host="127.0.0.1", port=store.port)
        async with store_client.StoreClient(
            endpoint, metrics.MetricsRecorder()
        ) as client:
            yield (
                store,
                store_reader.PlatformStoreReader(client, NullEventLog()),
            )


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_large_configuration_is_transferred_once():
    async def scenario():
        async with open_reader(large_config("r7")) as (store, reader):
            first = await reader.read()
            after_first = store.sent_bytes
            put_heartbeat(store, state="draining", seqNo=5)
            second = await reader.read()
            assert store.sent_bytes - after_first < after_first / 20
            assert second.configuration == first.configuration
            assert second.upstreams[0].draining

    run(scenario)


def test_a_change_of_a_large_configuration_is_in_the_next_read():
    async def scenario():
        async with open_reader(large_config("r7")) as (store, reader):
            for version in range(8, 12):
                put_config(store, large_config(f"r{version}"))
                contents = await reader.read()
                assert contents.configuration.version == version
                assert len(contents.upstreams) == 1

    run(scenario)


def test_a_small_configuration_follows_a_large_one():
    async def scenario():
        async with open_reader(large_config("r7")) as (store, reader):
            await reader.read()
            put_config(store, store_items.config("r8"))
            for _ in range(2):
                contents = await reader.read()
                assert contents.configuration.version == 8
            before = len(store.calls)
            await reader.read()
            assert len(store.calls) == before + 1

    run(scenario)


def test_a_rejected_conditional_read_falls_back_to_a_full_read():
    async def scenario():
        async with open_reader(large_config("r7")) as (store, reader):
            await reader.read()
            store.rejects_empty_transactions = True
            put_config(store, large_config("r8"))
            contents = await reader.read()
            assert contents.configuration.version == 8
            assert len(contents.upstreams) == 1

    run(scenario)


def test_a_failure_in_either_call_returns_no_contents():
    async def scenario():
        async with open_reader(large_config("r7")) as (store, reader):
            await reader.read()
            for faults in (
                ["refused", "refused"],
                ["ok", "refused"],
                ["ok", "garbled"],
                ["reset"],
                ["lost"],
            ):
                store.faults.extend(faults)
                contents = await reader.read()
                assert isinstance(contents, state_reader.StoreUnavailable)
            assert (await reader.read()).configuration.version == 7

    run(scenario)


def test_a_slow_transfer_that_makes_progress_does_not_time_out():
    async def scenario():
        async with open_reader(large_config("r7")) as (store, reader):
            await reader.read()
            size = store.sent_bytes
            store.bytes_per_s = size / 1.2
            put_config(store, large_config("r8"))
            contents = await reader.read()
            assert not isinstance(contents, state_reader.StoreUnavailable)
            assert contents.configuration.version == 8

    run(scenario)


# Guards against a cache by revision alone: a store that comes back older gives
# its revisions out again.
def test_a_large_configuration_with_a_revision_given_out_again_is_read():
    async def scenario():
        async with open_reader(large_config("r7")) as (store, reader):
            store.era = 3
            copy = store.copy()
            put_config(store, large_config("r8"))
            assert (await reader.read()).configuration.version == 8
            store.restore(copy)
            put_config(store, large_config("r9"))
            found = await reader.read()
            assert (found.era, found.configuration.version) == (4, 9)

    run(scenario)


def test_values_with_a_revision_given_out_again_are_decoded_again():
    async def scenario():
        async with open_reader(store_items.config("r7")) as (store, reader):
            store.era = 3
            copy = store.copy()
            put_heartbeat(store, slots=6)
            assert (await reader.read()).upstreams[0].slots == 6
            store.restore(copy)
            put_heartbeat(store, slots=8)
            assert (await reader.read()).upstreams[0].slots == 8

    run(scenario)
