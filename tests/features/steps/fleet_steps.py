"""Steps that start fleets, inject faults and check the consequences."""

from __future__ import annotations

import asyncio

from behave import given
from behave import step
from behave import then
from behave import when

from tests.builders import documents
from tests.builders import fleet
from tests.builders import loopback

SERVICES = ("till", "roundsheet")
WAIT_S = 20.0


def build_document(context, **settings):
    services = {
        name: documents.service(
            name,
            context.ports[name],
            context.slots,
            **context.service_options.get(name, {}),
        )
        for name in SERVICES
    }
    return documents.document(services, **settings)


async def start_fleet(
    context,
    entries: int,
    upstreams: int,
    slots: int,
    extra: list[str] | None = None,
):
    context.slots = slots
    context.service_options = {}
    context.ports = {name: loopback.free_ports(upstreams) for name in SERVICES}
    ports = [port for each in context.ports.values() for port in each]
    await context.fleet.start_platform()
    await context.fleet.start_upstreams(ports, slots, mean_ms=5.0)
    await context.fleet.submit(build_document(context))
    for number in range(1, entries + 1):
        context.fleet.start_entry(f"e{number}", "test", extra=extra)
    await context.fleet.wait_ready()


@given("a fleet of {entries:d} entries")
def given_fleet(context, entries):
    context.run(start_fleet(context, entries, 3, 2))


@given(
    "a fleet of {entries:d} entries with {count:d} upstreams of {slots:d} slots"
)
def given_sized_fleet(context, entries, count, slots):
    context.run(start_fleet(context, entries, count, slots))


@step("entry {name:S} is killed")
def kill_entry(context, name):
    context.fleet.entries[name].kill()


@step("entry {name:S} is frozen")
def freeze_entry(context, name):
    context.fleet.entries[name].freeze()


@step("entry {name:S} is thawed")
def thaw_entry(context, name):
    context.fleet.entries[name].thaw()


@step("entry {name:S} receives SIGTERM")
def stop_entry(context, name):
    import signal

    context.fleet.entries[name].signal(signal.SIGTERM)


@step("entry {name:S} is started again at the same address")
def restart_entry(context, name):
    old = context.fleet.entries[name]
    ports = [old.caller_port, old.peer_port, old.admin_port]
    context.fleet.start_entry(name, "test", ports=ports)
    context.run(context.fleet.wait_ready())


@step("a new entry {name:S} is started")
def start_new_entry(context, name):
    context.fleet.start_entry(name, "test")


@step("all entries are ready")
def wait_ready(context):
    context.run(context.fleet.wait_ready())


@then("the directory of {name:S} no longer lists {gone:S}")
def directory_without(context, name, gone):
    async def unlisted() -> bool:
        return gone not in await listed_entries(context, name)

    context.run(fleet.wait_until(unlisted, WAIT_S))


@then("the directory of {name:S} lists {count:d} entries")
def directory_counts(context, name, count):
    async def listed() -> bool:
        return len(await listed_entries(context, name)) == count

    context.run(fleet.wait_until(listed, WAIT_S))


async def listed_entries(context, name: str) -> list[str]:
    import json

    async with context.fleet.client(name) as client:
        path = "/.well-known/sesamevale/directory?service=till"
        answer = await client.call("GET", path)
    assert answer is not None
    return [each["entry"] for each in json.loads(answer.body)["entries"]]


@then("entry {name:S} has stopped with exit code {code:d}")
def entry_stopped(context, name, code):
    async def stopped() -> bool:
        return not context.fleet.entries[name].running

    context.run(fleet.wait_until(stopped, WAIT_S))
    assert context.fleet.entries[name].exit_code == code


@when("the upstreams of {service:S} change to {changes}")
def change_upstreams(context, service, changes):
    import json

    async def change_all() -> None:
        for port in context.ports[service]:
            await fleet.control(port, **json.loads(changes))

    context.run(change_all())


@when("one upstream of {service:S} changes to {changes}")
def change_one_upstream(context, service, changes):
    import json

    port = context.ports[service][0]
    context.run(fleet.control(port, **json.loads(changes)))


@when("the platform changes to {changes}")
def change_platform(context, changes):
    import json

    context.run(context.fleet.control_platform(**json.loads(changes)))


@then("no upstream of {service:S} has had more calls in flight than slots")
def slots_held(context, service):
    async def check() -> None:
        for port in context.ports[service]:
            found = await fleet.stats(port)
            assert found["over_slots"] == 0, found

    context.run(check())


@when("the list of VMs shows one upstream of {service:S} as leaving")
def list_leaving(context, service):
    import json

    from sesamevale.etcd import client

    port = context.ports[service][0]
    value = {"address": f"{fleet.HOST}:{port}", "state": "leaving"}

    async def put() -> None:
        address = client.Address(fleet.HOST, context.fleet.platform_port)
        async with client.KeyValueClient(address, lambda *_: None) as kv_client:
            item = client.Put("vms/one", json.dumps(value).encode())
            assert await kv_client.write([], [item]) is True

    context.run(put())


@then("one upstream of {service:S} gets no new calls while the others do")
def leaving_gets_nothing(context, service):
    leaving, *others = context.ports[service]

    async def calls_of(port: int) -> int:
        return (await fleet.stats(port))["calls"]

    async def quiet() -> bool:
        before = await calls_of(leaving)
        others_before = [await calls_of(port) for port in others]
        async with context.fleet.client("e1") as client:
            for _ in range(20):
                await client.call("GET", f"/{service}/x")
        others_after = [await calls_of(port) for port in others]
        assert sum(others_after) > sum(others_before)
        return await calls_of(leaving) == before

    context.run(fleet.wait_until(quiet, WAIT_S))


@then("every entry has the last accepted revision in force")
def all_have_revision(context):
    wanted = context.revision

    async def in_force() -> bool:
        running = [e for e in context.fleet.entries.values() if e.running]
        statuses = [await entry.status() for entry in running]
        return all(each and each["revision"] == wanted for each in statuses)

    context.run(fleet.wait_until(in_force, WAIT_S))


@then("no entry reports an older revision for {seconds:g} seconds")
def never_older(context, seconds):
    async def check() -> None:
        for _ in range(int(seconds / 0.1)):
            for entry in context.fleet.entries.values():
                status = await entry.status()
                assert status is not None
                assert status["revision"] >= context.revision, status
            await asyncio.sleep(0.1)

    context.run(check())


@given("a fleet of {entries:d} entries with short limits")
def given_short_limits(context, entries):
    context.run(start_fleet(context, entries, 3, 2))
    limits = {
        "header_read_ms": 300,
        "idle_ms": 500,
        "connections_per_address": 4,
    }

    async def change() -> None:
        model = build_document(context, limits=limits)
        accepted = await context.fleet.submit(model)
        context.revision = accepted.manifest.revision

    context.run(change())
    all_have_revision(context)


@then("the platform lists {name:S} as {state:S}")
def platform_lists(context, name, state):
    key = f"sesamevale/test/entries/{name}"

    async def listed() -> bool:
        found = await fleet.stats(context.fleet.platform_port)
        return (key in found["keys"]) == (state == "registered")

    context.run(fleet.wait_until(listed, 2 * WAIT_S))
