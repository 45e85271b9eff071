"""State readers after an absence of the store, or of the entry."""

from __future__ import annotations

import asyncio
import contextlib
import time

from sesamevale import gateway_messages
from sesamevale import metrics
from sesamevale.entries import state_reader
from sesamevale.policy.membership import read_scheduling
from sesamevale.policy.membership import shared_state
from sesamevale.policy.membership import store_view
from tests.builders import gateway

TIMING = read_scheduling.ReadTiming(bound_s=1.0)


class FakeStore:
    """Store whose records may lapse and be created anew."""

    def __init__(self):
        self.is_reachable = True
        self.created = dict.fromkeys(("u-1", "u-2", "u-3"), 100)
        self.era = 1
        self.evacuated: frozenset[str] = frozenset()

    async def read(self):
        if not self.is_reachable:
            return state_reader.StoreUnavailable("away")
        return shared_state.StoreContents(
            gateway.configuration(),
            tuple(
                gateway.upstream(name, created=created)
                for name, created in self.created.items()
            ),
            (),
            evacuated=self.evacuated,
            era=self.era,
        )


class FakeGateway:
    """Records what a state reader sends, with the time."""

    entry_id = "a"

    def __init__(self):
        self.data_center_entries: dict[str, tuple[str, int]] = {}
        self.messages: list[tuple[float, object]] = []
        self.evacuated: frozenset[str] = frozenset()

    def record_read(self, contents, read_at):
        self.evacuated = contents.evacuated

    def send(self, message):
        self.messages.append((time.monotonic(), message))

    def of_type(self, kind):
        return [each for _, each in self.messages if isinstance(each, kind)]


@contextlib.asynccontextmanager
async def open_reader(store):
    fake_gateway = FakeGateway()
    reader = state_reader.StateReader(
        store,
        fake_gateway,
        TIMING,
        1,
        "127.0.0.1",
        0,
        metrics.MetricsRecorder(),
    )
    reader.on_read(fake_gateway.record_read)
    async with reader:
        yield fake_gateway


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_the_grace_after_an_outage_ends_by_a_timer():
    async def scenario():
        store = FakeStore()
        async with open_reader(store) as fake_gateway:
            await asyncio.sleep(0.5)
            store.is_reachable = False
            await asyncio.sleep(3.0)
            store.created = {"u-1": 200, "u-2": 201}
            store.is_reachable = True
            await asyncio.sleep(1.0)
            last_read = fake_gateway.of_type(gateway_messages.UpstreamsRead)[-1]
            assert last_read.grace_until > time.monotonic()
            # Without further reads.
            store.is_reachable = False
            await asyncio.sleep(last_read.grace_until - time.monotonic() + 0.1)
            assert fake_gateway.of_type(gateway_messages.GraceEnded)
            views = fake_gateway.of_type(gateway_messages.StoreViewChanged)
            assert store_view.Absent.STORE in [
                each.view.absent for each in views
            ]

    run(scenario)


def test_an_entry_that_was_cut_off_knows_that_it_was_away():
    async def scenario():
        store = FakeStore()
        async with open_reader(store) as fake_gateway:
            await asyncio.sleep(0.5)
            store.is_reachable = False
            await asyncio.sleep(3.0)
            del store.created["u-2"]
            store.is_reachable = True
            await asyncio.sleep(1.0)
            last_read = fake_gateway.of_type(gateway_messages.UpstreamsRead)[-1]
            assert last_read.grace_until == float("-inf")
            view = fake_gateway.of_type(gateway_messages.StoreViewChanged)[-1]
            assert view.view.absent is store_view.Absent.ENTRY

    run(scenario)


def test_an_evacuation_that_the_store_lost_holds_for_the_grace():
    async def scenario():
        store = FakeStore()
        store.evacuated = frozenset({"there"})
        async with open_reader(store) as fake_gateway:
            await asyncio.sleep(1.0)
            store.evacuated = frozenset()
            store.era = 2
            await asyncio.sleep(1.0)
            assert fake_gateway.evacuated == {"there"}
            await asyncio.sleep(store_view.RETURN_GRACE_S + 0.5)
            assert fake_gateway.evacuated == frozenset()

    run(scenario)
