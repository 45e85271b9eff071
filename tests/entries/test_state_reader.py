"""Tests of state readers that share reads of the store over real sockets."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from sesamevale import gateway_messages
from sesamevale import metrics
from sesamevale.entries import state_reader
from sesamevale.policy.membership import read_scheduling
from sesamevale.policy.membership import shared_state
from tests.builders import gateway

TIMING = read_scheduling.ReadTiming(bound_s=0.5)


class FakeStore:
    """Fake store that can be unreachable for some entries."""

    def __init__(self):
        self.version = 1
        self.draining = False
        self.reads = 0
        self.unreachable_from: set[str] = set()

    def reader_for(self, entry_id):
        return FakeStoreReader(self, entry_id)


class FakeStoreReader:
    def __init__(self, store, entry_id):
        self.store = store
        self.entry_id = entry_id

    async def read(self):
        self.store.reads += 1
        if self.entry_id in self.store.unreachable_from:
            return state_reader.StoreUnavailable("away")
        return shared_state.StoreContents(
            gateway.configuration(self.store.version),
            (gateway.upstream(draining=self.store.draining),),
            (),
        )


class FakeGateway:
    """Records the messages that a state reader sends to the gateway."""

    def __init__(self, entry_id):
        self.entry_id = entry_id
        self.data_center_entries: dict[str, tuple[str, int]] = {}
        self.version = 0
        self.draining = False
        self.unreachable_reports: list[bool] = []

    def send(self, message):
        if isinstance(message, gateway_messages.ConfigurationRead):
            self.version = message.configuration.version
        elif isinstance(message, gateway_messages.UpstreamsRead):
            self.draining = message.upstreams[0].draining
        elif isinstance(message, gateway_messages.StoreReachabilityChanged):
            self.unreachable_reports.append(message.unreachable)


@contextlib.asynccontextmanager
async def late_entry(store, name, seeds):
    """Yields the gateway of an entry that is started after the others."""
    fake_gateway = FakeGateway(name)
    reader = state_reader.StateReader(
        store.reader_for(name),
        fake_gateway,
        TIMING,
        99,
        "127.0.0.1",
        0,
        metrics.MetricsRecorder(),
        seeds,
    )
    async with reader:
        yield fake_gateway


@contextlib.asynccontextmanager
async def fleet(store, *names):
    async with contextlib.AsyncExitStack() as stack:
        fake_gateways, readers = {}, {}
        for number, name in enumerate(names):
            fake_gateways[name] = FakeGateway(name)
            readers[name] = state_reader.StateReader(
                store.reader_for(name),
                fake_gateways[name],
                TIMING,
                number + 1,
                "127.0.0.1",
                0,
                metrics.MetricsRecorder(),
            )
            await stack.enter_async_context(readers[name])
        for name in names:
            fake_gateways[name].data_center_entries = {
                other: ("127.0.0.1", readers[other].port)
                for other in names
                if other != name
            }
        yield fake_gateways


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def wait_until(condition):
    async with asyncio.timeout(TIMING.bound_s):
        while not condition():
            await asyncio.sleep(0.005)


def test_one_entry_reads_for_all():
    async def scenario():
        store = FakeStore()
        async with fleet(store, "a", "b", "c") as gateways:
            await asyncio.sleep(0.4)
            before = store.reads
            store.version = 2
            await wait_until(
                lambda: all(each.version == 2 for each in gateways.values())
            )
            await asyncio.sleep(2.0)
            assert store.reads - before <= 12

    run(scenario)


def test_a_drain_reaches_all_within_the_bound():
    async def scenario():
        store = FakeStore()
        async with fleet(store, "a", "b", "c") as gateways:
            await asyncio.sleep(0.4)
            store.draining = True
            await wait_until(
                lambda: all(each.draining for each in gateways.values())
            )

    run(scenario)


@pytest.mark.parametrize("lost", [{"a"}, {"a", "b"}])
def test_the_others_read_when_the_reader_has_lost_the_store(lost):
    async def scenario():
        store = FakeStore()
        async with fleet(store, "a", "b", "c") as gateways:
            await asyncio.sleep(0.4)
            store.unreachable_from = lost
            store.version = 3
            await wait_until(lambda: gateways["c"].version == 3)

    run(scenario)


def test_an_entry_reads_the_store_if_the_reader_is_gone():
    async def scenario():
        store = FakeStore()
        async with fleet(store, "a", "b") as gateways:
            await asyncio.sleep(0.4)
            gateways["b"].data_center_entries = {"a": ("127.0.0.1", 1)}
            store.version = 4
            await wait_until(lambda: gateways["b"].version == 4)

    run(scenario)


def test_an_outage_is_reported_once():
    async def scenario():
        store = FakeStore()
        async with fleet(store, "a") as gateways:
            await asyncio.sleep(0.4)
            store.unreachable_from = {"a"}
            await asyncio.sleep(1.5)
            store.unreachable_from = set()
            await asyncio.sleep(1.0)
            assert gateways["a"].unreachable_reports == [True, False]

    run(scenario)


def test_an_entry_that_starts_without_the_store_asks_the_seeds():
    async def scenario():
        store = FakeStore()
        store.version = 6
        async with fleet(store, "a", "b") as gateways:
            await asyncio.sleep(0.3)
            store.unreachable_from = {"z"}
            port = gateways["b"].data_center_entries["a"][1]
            seeds = (("127.0.0.1", 1), ("127.0.0.1", port))
            async with late_entry(store, "z", seeds) as late:
                await wait_until(lambda: late.version == 6)

    run(scenario)


def test_the_newest_contents_of_the_seeds_are_used():
    async def scenario():
        store = FakeStore()
        async with fleet(store, "a", "b") as gateways:
            await asyncio.sleep(0.3)
            addresses = (
                gateways["b"].data_center_entries["a"],
                gateways["a"].data_center_entries["b"],
            )
            gateways["a"].data_center_entries = gateways[
                "b"
            ].data_center_entries = {}
            store.unreachable_from = {"a", "z"}
            store.version = 7
            await wait_until(lambda: gateways["b"].version == 7)
            async with late_entry(store, "z", addresses) as late:
                await wait_until(lambda: late.version)
                assert late.version == 7

    run(scenario)


def test_an_entry_waits_for_the_store_if_no_seed_has_its_contents():
    async def scenario():
        store = FakeStore()
        store.unreachable_from = {"z"}
        seeds = (("127.0.0.1", 1), ("127.0.0.1", 2))
        async with late_entry(store, "z", seeds) as late:
            await asyncio.sleep(0.3)
            assert late.version == 0
            store.unreachable_from = set()
            await asyncio.sleep(0.7)
            assert late.version == 1

    run(scenario)
