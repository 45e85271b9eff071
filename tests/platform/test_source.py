"""Reads of the store, also where the configuration is large."""

from __future__ import annotations

import asyncio
import contextlib

from sesamevale import metrics
from sesamevale import settings as checked_settings
from sesamevale.entries import state_reader
from sesamevale.platform import store_client
from sesamevale.platform import store_source
from tests.builders import store_items
from tests.standins import platform_store

MANY = 1_200


class Events:
    def state(self, name, **fields):
        pass


def large(version):
    return store_items.config(
        version,
        [
            store_items.route(name=f"n{number}", prefix=f"/{number}/x/")
            for number in range(MANY)
        ],
    )


def publish(served, content):
    served.put(store_items.item("op/config", content))


def beat(served, **changes):
    content = store_items.heartbeat(**changes)
    served.put(store_items.item("servers/u-1", content))


@contextlib.asynccontextmanager
async def reading(content):
    async with platform_store.PlatformStore() as served:
        publish(served, content)
        beat(served)
        endpoint = checked_settings.Endpoint(host="127.0.0.1", port=served.port)
        async with store_client.StoreClient(
            endpoint, metrics.MetricsRecorder()
        ) as client:
            yield served, store_source.StoreSource(client, Events())


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_large_configuration_is_transferred_once():
    async def scenario():
        async with reading(large("r7")) as (served, reader):
            first = await reader.read()
            after_first = served.sent_bytes
            beat(served, state="draining", seqNo=5)
            second = await reader.read()
            assert served.sent_bytes - after_first < after_first / 20
            assert second.configuration == first.configuration
            assert second.upstreams[0].draining

    run(scenario)


def test_a_change_of_a_large_configuration_is_in_the_next_read():
    async def scenario():
        async with reading(large("r7")) as (served, reader):
            for version in range(8, 12):
                publish(served, large(f"r{version}"))
                contents = await reader.read()
                assert contents.configuration.version == version
                assert len(contents.upstreams) == 1

    run(scenario)


def test_a_small_configuration_follows_a_large_one():
    async def scenario():
        async with reading(large("r7")) as (served, reader):
            await reader.read()
            publish(served, store_items.config("r8"))
            for _ in range(2):
                contents = await reader.read()
                assert contents.configuration.version == 8
            before = len(served.calls)
            await reader.read()
            assert len(served.calls) == before + 1

    run(scenario)


def test_a_store_that_refuses_the_question_is_read_whole():
    async def scenario():
        async with reading(large("r7")) as (served, reader):
            await reader.read()
            served.rejects_empty_transactions = True
            publish(served, large("r8"))
            contents = await reader.read()
            assert contents.configuration.version == 8
            assert len(contents.upstreams) == 1

    run(scenario)


def test_a_failure_between_the_two_calls_is_no_view():
    async def scenario():
        async with reading(large("r7")) as (served, reader):
            await reader.read()
            for faults in (
                ["refused", "refused"],
                ["ok", "refused"],
                ["ok", "garbled"],
                ["reset"],
                ["lost"],
            ):
                served.faults.extend(faults)
                contents = await reader.read()
                assert isinstance(contents, state_reader.StoreUnavailable)
            assert (await reader.read()).configuration.version == 7

    run(scenario)


def test_a_slow_link_that_moves_is_waited_for():
    async def scenario():
        async with reading(large("r7")) as (served, reader):
            await reader.read()
            size = served.sent_bytes
            served.bytes_per_s = size / 1.2
            publish(served, large("r8"))
            contents = await reader.read()
            assert not isinstance(contents, state_reader.StoreUnavailable)
            assert contents.configuration.version == 8

    run(scenario)
