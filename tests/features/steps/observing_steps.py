"""Steps that check traces and metrics."""

from __future__ import annotations

import asyncio
import json
import signal

from behave import given
from behave import then
from behave import when

from tests.builders import fleet
from tests.features.steps import call_steps
from tests.features.steps import fleet_steps

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACE_FLAGS = ["--trace-sample=1", "--trace-export=console"]


@given("a fleet of {entries:d} entries that trace every call")
def given_tracing_fleet(context, entries):
    context.run(
        fleet_steps.start_fleet(context, entries, 3, 2, extra=TRACE_FLAGS)
    )


@when("{count:d} calls of {path} in one trace are made through every entry")
def traced_calls(context, count, path):
    headers = {"traceparent": f"00-{TRACE_ID}-b7ad6b7169203331-01"}

    async def run() -> None:
        for name in context.fleet.entries:
            for _ in range(count):
                answer = await call_steps.call(
                    context, name, "GET", path, headers
                )
                assert answer is not None and answer.status == 200

    context.run(run())


@then("the entries have exported spans named call, relayed, queue and attempt")
def spans_written(context):
    entries = list(context.fleet.entries.values())
    for entry in entries:
        entry.signal(signal.SIGTERM)

    async def ended() -> bool:
        return not any(entry.running for entry in entries)

    context.run(fleet.wait_until(ended, fleet_steps.WAIT_S))
    context.spans = [
        json.loads(line)
        for entry in entries
        for line in entry.output().splitlines()
        if line.startswith("{")
    ]
    names = {span["name"] for span in context.spans}
    assert names == {"call", "relayed", "queue", "attempt"}, names


@then("all spans belong to that trace")
def spans_belong(context):
    traces = {span["context"]["trace_id"] for span in context.spans}
    assert traces == {f"0x{TRACE_ID}"}, traces
    assert all(span["parent_id"] for span in context.spans)


@then("the metrics of {name:S} contain {text}")
def metrics_have(context, name, text):
    port = context.fleet.entries[name].admin_port

    async def read() -> str:
        await asyncio.sleep(0)
        return await fleet.page(port, "/metrics")

    found = context.run(read())
    assert text in found, found
