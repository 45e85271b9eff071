"""Steps for nested calls through a chain of services."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from tests.builders import documents
from tests.builders import fleet
from tests.builders import loopback
from tests.features.steps import call_steps


@given("a chain of {depth:d} layers whose applications {copy} the retries left")
def given_chain(context, depth, copy):
    context.run(start_chain(context, depth, copy == "pass on"))


async def start_chain(context, depth: int, copy: bool) -> None:
    context.layers = loopback.free_ports(depth + 1)
    await context.fleet.start_platform()
    await context.fleet.start_upstreams(context.layers, 4, 1.0)
    for port in context.layers:
        await fleet.control(port, copy_left=copy)
    services = {}
    for layer, port in enumerate(context.layers):
        name = f"layer{layer}"
        rules = [documents.read_rule(name, deadline_ms=20_000)]
        services[name] = documents.service(
            name, [port], 4, rules, nested=layer > 0
        )
    await context.fleet.submit(documents.document(services))
    for number in (1, 2, 3):
        context.fleet.start_entry(f"e{number}", "test")
    await context.fleet.wait_ready()


@when("the bottom layer fails and the top layer is called")
def bottom_fails(context):
    context.run(fleet.control(context.layers[0], mode="broken"))
    call_top(context)


@when("the top layer is called")
def call_top(context):
    depth = len(context.layers) - 1
    port = context.fleet.entries["e1"].caller_port
    headers = {
        "x-depth": str(depth),
        "x-entry": f"{fleet.HOST}:{port}",
        "x-work-ms": "1",
    }
    path = f"/layer{depth}/x"
    context.run(call_steps.call(context, "e1", "GET", path, headers))


@then("the bottom layer has been called at most {count:d} times")
def bottom_called(context, count):
    found = context.run(fleet.stats(context.layers[0]))
    assert 1 <= found["calls"] <= count, found


@then("every other layer has been called {count:d} time")
def others_called(context, count):
    for port in context.layers[1:]:
        found = context.run(fleet.stats(port))
        assert found["calls"] == count, found
