"""Client of the store and the tasks that use it, under faults of the store."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time

import pytest

from sesamevale import metrics
from sesamevale import settings as checked_settings
from sesamevale.entries import state_reader
from sesamevale.platform import decoding
from sesamevale.platform import models
from sesamevale.platform import registration
from sesamevale.platform import store_client
from sesamevale.platform import store_reader
from tests.builders import store_items
from tests.standins import platform_store


class FakeGateway:
    """Stands in for the gateway and the event log; records logged events."""

    def __init__(self):
        self.messages = []
        self._is_ready = True
        self._callbacks = []
        self.ready_reads = 0

    @property
    def is_ready(self):
        self.ready_reads += 1
        return self._is_ready

    @is_ready.setter
    def is_ready(self, value):
        self._is_ready = value
        for callback in self._callbacks:
            callback()

    def on_readiness_changed(self, callback):
        self._callbacks.append(callback)

    def state(self, name, **fields):
        self.messages.append((name, fields))

    def of_type(self, kind):
        return [each for each in self.messages if isinstance(each, kind)]


@dataclasses.dataclass
class StoreCase:
    """A store, its client, and the events that were logged."""

    store: platform_store.PlatformStore
    client: store_client.StoreClient
    gateway: FakeGateway

    @property
    def log(self):
        return self.gateway.messages


@contextlib.asynccontextmanager
async def open_store_case(**options):
    async with platform_store.PlatformStore(**options) as store:
        endpoint = checked_settings.Endpoint(host="127.0.0.1", port=store.port)
        async with store_client.StoreClient(
            endpoint, metrics.MetricsRecorder()
        ) as client:
            yield StoreCase(store, client, FakeGateway())


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def put_upstream(store, name="i-1", **changes):
    store.put(
        store_items.item(f"servers/{name}", store_items.heartbeat(**changes))
    )


def test_all_pages_are_read():
    async def scenario():
        async with open_store_case(page_size=2) as case:
            for number in range(5):
                put_upstream(case.store, f"i-{number}")
            found = await case.client.read_all()
            assert [each.key for each in found.items] == [
                f"servers/i-{number}" for number in range(5)
            ]

    run(scenario)


@pytest.mark.parametrize("fault", ["refused", "busy", "reset", "garbled"])
def test_a_failed_read_returns_a_failure_and_the_next_succeeds(fault):
    async def scenario():
        async with open_store_case() as case:
            put_upstream(case.store)
            case.store.faults.append(fault)
            assert isinstance(
                await case.client.read_all(), store_client.CallFailure
            )
            assert len((await case.client.read_all()).items) == 1

    run(scenario)


def test_a_call_to_a_silent_store_times_out():
    async def scenario():
        async with open_store_case() as case:
            case.store.faults.append("silent")
            async with asyncio.timeout(2 * store_client.READ_TIMEOUT_S):
                failed = await case.client.read_all()
            assert failed.outcome_unknown
            assert (await case.client.read_all()).items == []

    run(scenario)


def test_a_call_to_a_slow_store_succeeds():
    async def scenario():
        async with open_store_case() as case:
            case.store.faults.append("slow")
            assert (await case.client.read_all()).items == []

    run(scenario)


def test_invalid_values_are_logged_once():
    async def scenario():
        async with open_store_case() as case:
            reader = store_reader.PlatformStoreReader(case.client, case.gateway)
            put_upstream(case.store, "i-1")
            put_upstream(case.store, "i-2", state="asleep")
            for _ in range(3):
                contents = await reader.read()
                assert [each.upstream_id for each in contents.upstreams] == [
                    "i-1"
                ]
            ((name, logged),) = case.gateway.messages
            assert name == "store_values_rejected"
            assert list(logged["keys"]) == ["servers/i-2"]

    run(scenario)


def test_an_unreachable_store_is_reported_as_unavailable():
    async def scenario():
        async with open_store_case() as case:
            reader = store_reader.PlatformStoreReader(case.client, case.gateway)
            case.store.faults.append("refused")
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
        async with open_store_case() as case:
            key = "sesamevale/entries/e-1"
            task = registration.RegistrationTask(
                case.client, own_registration(), case.gateway, case.gateway
            )
            async with task:
                await until(lambda: key in case.store.items)
                case.store.expire_lease(case.store.items[key]["lease"])
                assert key not in case.store.items
                await until(lambda: key in case.store.items)

    run(scenario)


def test_a_registration_whose_answer_was_lost_is_retried(monkeypatch):
    monkeypatch.setattr(registration, "RETRY_INTERVAL_S", 0.05)

    async def scenario():
        async with open_store_case() as case:
            case.store.faults.extend(["ok", "lost"])
            task = registration.RegistrationTask(
                case.client, own_registration(), case.gateway, case.gateway
            )
            async with task:
                await until(
                    lambda: any(
                        each[0] == "registered"
                        for each in case.gateway.of_type(tuple)
                    )
                )
            assert list(case.store.items) == ["sesamevale/entries/e-1"]

    run(scenario)


# Guards against a write that is executed late and binds the registration to a
# lease that nobody renews: it was lost for good with the end of that lease.
def test_a_registration_that_is_executed_late_stays_under_a_renewed_lease(
    monkeypatch,
):
    monkeypatch.setattr(registration, "RETRY_INTERVAL_S", 0.05)
    monkeypatch.setattr(registration, "RENEW_INTERVAL_S", 0.1)

    async def scenario():
        async with open_store_case() as case:
            case.store.faults.extend(["ok", "late"])
            key = "sesamevale/entries/e-1"
            task = registration.RegistrationTask(
                case.client, own_registration(), case.gateway, case.gateway
            )
            async with task:
                await until(lambda: key in case.store.items)
                await asyncio.sleep(case.store.late_s + 0.2)
                case.store.calls.clear()
                await until(lambda: len(case.store.calls) >= 3)
                lease = case.store.items[key]["lease"]
                assert f"POST /api/kv-keep/{lease}" in case.store.calls

    run(scenario)


def test_a_late_write_does_not_replace_a_later_registration():
    async def scenario():
        async with open_store_case() as case:
            case.store.late_s = 2.0
            case.store.faults.extend(["ok", "late"])
            key = "sesamevale/entries/e-1"
            task = registration.RegistrationTask(
                case.client, own_registration(), case.gateway, case.gateway
            )
            async with task:
                await until(lambda: key in case.store.items)
                written = case.store.items[key]
                await asyncio.sleep(case.store.late_s + 0.2)
                assert case.store.items[key] == written

    run(scenario)


def contents_of(store, era=0):
    """Returns what a read of the store shows, for the registration's task."""
    items = [models.Item.model_validate(each) for each in store.items.values()]
    contents = decoding.Decoder().decode(items).contents
    return registration.StoreRead(
        dataclasses.replace(contents, era=era), time.monotonic()
    )


# Guards against a registration that was written once and never looked at.
@pytest.mark.parametrize("fault", ["missing", "other lease", "older start"])
def test_a_registration_that_a_read_shows_to_be_wrong_is_mended(
    monkeypatch, fault
):
    monkeypatch.setattr(registration, "RETRY_INTERVAL_S", 0.05)

    async def scenario():
        async with open_store_case() as case:
            key = "sesamevale/entries/e-1"
            own = own_registration().model_copy(update={"incarnation": 5})
            task = registration.RegistrationTask(
                case.client, own, case.gateway, case.gateway
            )
            async with task:
                await until(lambda: ("registered", {"key": key}) in case.log)
                right = case.store.items[key]
                if fault == "missing":
                    case.store.remove(key)
                elif fault == "other lease":
                    case.store.put(right | {"lease": 77})
                else:
                    older = own.model_copy(update={"incarnation": 4})
                    value = decoding.encode_value(older)
                    case.store.put(right | {"value": value})
                task.send(contents_of(case.store))
                await until(
                    lambda: (
                        (case.store.items.get(key) or {}).get("lease")
                        == right["lease"]
                        and case.store.items[key]["value"] == right["value"]
                    )
                )

    run(scenario)


# Guards against a lease of an earlier era, which may be given out again.
def test_a_registration_is_written_again_when_the_store_comes_back_older():
    async def scenario():
        async with open_store_case() as case:
            case.store.era = 3
            key = "sesamevale/entries/e-1"
            copy = case.store.copy()
            task = registration.RegistrationTask(
                case.client, own_registration(), case.gateway, case.gateway
            )
            async with task:
                await until(lambda: key in case.store.items)
                case.store.restore(copy)
                # Another entry gets the number of the lease.
                case.store.leases.add(101)
                task.send(contents_of(case.store, era=4))
                await until(lambda: key in case.store.items)
                item = models.Item.model_validate(case.store.items[key])
                assert decoding.decode_record(item).era == 4
                assert item.lease != 101 or case.store.calls[-2].endswith(
                    "kv-lease"
                )

    run(scenario)


def test_a_read_over_a_change_of_the_era_fails():
    async def scenario():
        async with open_store_case(page_size=1) as case:
            case.store.era = 3
            for number in range(3):
                put_upstream(case.store, f"i-{number}")
            assert (await case.client.read_all()).era == 3
            case.store.faults.extend(["ok", "slow"])
            read = asyncio.create_task(case.client.read_all())
            await until(lambda: len(case.store.calls) == 5)
            case.store.restore(case.store.copy())
            assert isinstance(await read, store_client.CallFailure)
            assert (await case.client.read_all()).era == 4

    run(scenario)


def test_a_store_that_is_away_is_asked_less_and_less_often(monkeypatch):
    """Each entry asked it twice a second, and each call has its price."""
    monkeypatch.setattr(registration, "RETRY_INTERVAL_S", 0.05)
    monkeypatch.setattr(
        registration, "RETRY_INTERVAL_MAX_S", 0.4, raising=False
    )

    async def scenario():
        async with open_store_case() as case:
            case.store.faults.extend(["refused"] * 100)
            task = registration.RegistrationTask(
                case.client, own_registration(), case.gateway, case.gateway
            )
            async with task:
                await asyncio.sleep(1.5)
                asked = 100 - len(case.store.faults)
                assert 3 <= asked <= 10
                case.store.faults.clear()
                async with asyncio.timeout(1.0):
                    await until(lambda: case.store.items)

    run(scenario)


def test_a_registered_entry_waits_for_the_next_renewal():
    """It looked every 0.1 s whether it was ready, and woke the process up."""

    async def scenario():
        async with open_store_case() as case:
            task = registration.RegistrationTask(
                case.client, own_registration(), case.gateway, case.gateway
            )
            async with task:
                await until(lambda: case.store.items)
                await asyncio.sleep(0.05)
                case.gateway.ready_reads = 0
                await asyncio.sleep(0.5)
                assert case.gateway.ready_reads == 0

    run(scenario)


def test_an_entry_that_is_not_ready_is_deregistered():
    async def scenario():
        async with open_store_case() as case:
            task = registration.RegistrationTask(
                case.client, own_registration(), case.gateway, case.gateway
            )
            async with task:
                await until(lambda: case.store.items)
                case.gateway.is_ready = False
                async with asyncio.timeout(0.5):
                    await until(lambda: not case.store.items)

    run(scenario)
