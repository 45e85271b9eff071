"""The client of the store and the tasks that use it, under its faults."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import pytest

from sesamevale import metrics
from sesamevale import settings as checked_settings
from sesamevale.entries import state_reader
from sesamevale.platform import models
from sesamevale.platform import registration
from sesamevale.platform import store_client
from sesamevale.platform import store_source
from tests.builders import store_items
from tests.standins import platform_store


class Recorder:
    """Takes the place of the gateway and of the event log."""

    def __init__(self):
        self.messages = []
        self.is_ready = True

    def state(self, name, **fields):
        self.messages.append((name, fields))

    def of(self, kind):
        return [each for each in self.messages if isinstance(each, kind)]


@dataclasses.dataclass
class Case:
    """A store, its client, and what was reported."""

    store: platform_store.PlatformStore
    client: store_client.StoreClient
    seen: Recorder


@contextlib.asynccontextmanager
async def case(**options):
    async with platform_store.PlatformStore(**options) as served:
        endpoint = checked_settings.Endpoint(host="127.0.0.1", port=served.port)
        async with store_client.StoreClient(
            endpoint, metrics.MetricsRecorder()
        ) as client:
            yield Case(served, client, Recorder())


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def put_upstream(served, name="i-1", **changes):
    served.put(
        store_items.item(f"servers/{name}", store_items.heartbeat(**changes))
    )


def test_all_pages_are_read():
    async def scenario():
        async with case(page_size=2) as one:
            for number in range(5):
                put_upstream(one.store, f"i-{number}")
            items = await one.client.read_all()
            assert [each.key for each in items] == [
                f"servers/i-{number}" for number in range(5)
            ]

    run(scenario)


@pytest.mark.parametrize("fault", ["refused", "busy", "reset", "garbled"])
def test_a_failed_read_is_a_value_and_the_next_one_works(fault):
    async def scenario():
        async with case() as one:
            put_upstream(one.store)
            one.store.faults.append(fault)
            assert isinstance(
                await one.client.read_all(), store_client.CallFailure
            )
            assert len(await one.client.read_all()) == 1

    run(scenario)


def test_a_silent_store_is_given_up_in_time():
    async def scenario():
        async with case() as one:
            one.store.faults.append("silent")
            async with asyncio.timeout(2 * store_client.SILENCE_TIMEOUT_S):
                failed = await one.client.read_all()
            assert failed.outcome_unknown
            assert await one.client.read_all() == []

    run(scenario)


def test_a_slow_store_is_waited_for():
    async def scenario():
        async with case() as one:
            one.store.faults.append("slow")
            assert await one.client.read_all() == []

    run(scenario)


def test_values_that_make_no_sense_are_logged_once():
    async def scenario():
        async with case() as one:
            reader = store_source.StoreSource(one.client, one.seen)
            put_upstream(one.store, "i-1")
            put_upstream(one.store, "i-2", state="asleep")
            for _ in range(3):
                contents = await reader.read()
                assert [each.upstream_id for each in contents.upstreams] == [
                    "i-1"
                ]
            ((name, logged),) = one.seen.messages
            assert name == "store_values_rejected"
            assert list(logged["keys"]) == ["servers/i-2"]

    run(scenario)


def test_a_store_that_is_away_is_a_value():
    async def scenario():
        async with case() as one:
            reader = store_source.StoreSource(one.client, one.seen)
            one.store.faults.append("refused")
            found = await reader.read()
            assert isinstance(found, state_reader.StoreUnavailable)

    run(scenario)


def own_registration():
    return models.Registration(
        entry_id="e-1",
        data_center="here",
        host="10.0.0.1",
        caller_port=80,
        entry_port=90,
    )


def test_a_registration_that_lapsed_is_written_again(monkeypatch):
    monkeypatch.setattr(registration, "RENEW_INTERVAL_S", 0.05)
    monkeypatch.setattr(registration, "RETRY_INTERVAL_S", 0.05)

    async def scenario():
        async with case() as one:
            key = "sesamevale/entries/e-1"
            task = registration.RegistrationTask(
                one.client, own_registration(), one.seen, one.seen
            )
            async with task:
                await until(lambda: key in one.store.items)
                one.store.expire_lease(one.store.items[key]["lease"])
                assert key not in one.store.items
                await until(lambda: key in one.store.items)

    run(scenario)


def test_a_registration_whose_answer_was_lost_is_tried_again(monkeypatch):
    monkeypatch.setattr(registration, "RETRY_INTERVAL_S", 0.05)

    async def scenario():
        async with case() as one:
            one.store.faults.extend(["ok", "lost"])
            task = registration.RegistrationTask(
                one.client, own_registration(), one.seen, one.seen
            )
            async with task:
                await until(
                    lambda: any(
                        each[0] == "registered" for each in one.seen.of(tuple)
                    )
                )
            assert list(one.store.items) == ["sesamevale/entries/e-1"]

    run(scenario)


def test_an_entry_that_stops_is_not_registered_any_more():
    async def scenario():
        async with case() as one:
            task = registration.RegistrationTask(
                one.client, own_registration(), one.seen, one.seen
            )
            async with task:
                await until(lambda: one.store.items)
                one.seen.is_ready = False
                async with asyncio.timeout(0.5):
                    await until(lambda: not one.store.items)

    run(scenario)
