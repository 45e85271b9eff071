"""Steps for calls in flight while entries stop or callers disconnect."""

from __future__ import annotations

import asyncio
import collections
import random
import signal

from behave import given
from behave import step
from behave import then
from behave import when

from demo import callers
from tests.builders import fleet
from tests.features.steps import call_steps

DRAIN_WAIT_S = 30.0


@given("an action with a ticket of an entry that is not the home of till")
def action_of_other_entry(context):
    async def find_issuer() -> str:
        home = await home_of(context, "till")
        return next(name for name in context.fleet.entries if name != home)

    context.issuer = context.run(find_issuer())
    context.identity = context.run(
        call_steps.new_identity(context, context.issuer)
    )


async def home_of(context, service: str) -> str:
    entry = next(each for each in context.fleet.entries.values())
    status = await entry.status()
    assert status is not None
    return status["services"][service]["homes"][0]


@step("the action is sent through the issuer")
def sent_through_issuer(context):
    call_steps.action_sent(context, context.issuer)


@step("the action is sent through the issuer in the background")
def sent_through_issuer_in_background(context):
    call_steps.action_sent_in_background(context, context.issuer)


@when("the home of {service:S} is killed")
def kill_home(context, service):
    home = context.run(home_of(context, service))
    context.fleet.entries[home].kill()


@when("callers of till close their connections before the answer")
def close_before_answer(context):
    async def call_and_close(name: str) -> None:
        client = context.fleet.client(name, timeout_s=0.05)
        await client.call("GET", "/till/late")
        client.close()

    async def run() -> None:
        names = list(context.fleet.entries)
        calls = [call_and_close(names[n % len(names)]) for n in range(20)]
        await asyncio.gather(*calls)

    context.run(run())


@when("all entries are replaced one by one while calls are made")
def replace_all(context):
    context.call_results = callers.CallResults()
    context.run(replace_under_load(context))


async def replace_under_load(context) -> None:
    stop = asyncio.Event()
    ports = [entry.caller_port for entry in context.fleet.entries.values()]
    loads = [
        asyncio.ensure_future(keep_calling(context, ports, seed, stop))
        for seed in range(4)
    ]
    for name in list(context.fleet.entries):
        old = context.fleet.entries[name]
        old.signal(signal.SIGTERM)
        await fleet.wait_until(lambda e=old: stopped(e), DRAIN_WAIT_S)
        assert old.exit_code == 0, old.output()
        ports_of_old = [old.caller_port, old.peer_port, old.admin_port]
        context.fleet.start_entry(name, "test", ports=ports_of_old)
        await context.fleet.wait_ready()
    stop.set()
    await asyncio.gather(*loads)


async def stopped(entry: fleet.EntryProcess) -> bool:
    return not entry.running


async def keep_calling(context, ports, seed: int, stop: asyncio.Event):
    """Makes calls and runs actions by the directory until ``stop`` is set.

    Adds the results, which record cut connections, to the call results of the
    context.
    """
    directory = callers.Directory(ports, "till", random.Random(seed))
    while not stop.is_set():
        result = await callers.call(directory, "/till/x")
        context.call_results.add("till", result)
        action = await callers.run_action(
            directory, "/till/charge", context.call_results
        )
        context.call_results.add("till (action)", action)
    directory.close()


@then("no call was cut and no action ran twice")
def nothing_cut(context):
    runs = context.run(call_steps.count_runs(context))
    run_twice = [key for key, count in runs.items() if count > 1]
    assert not run_twice, run_twice
    not_run_but_ran = [key for key in context.call_results.not_run if runs[key]]
    assert not not_run_but_ran, not_run_but_ran
    assert len(context.call_results.results["till"]) > 50
    for service, results in context.call_results.results.items():
        outcomes = collections.Counter(
            (result.outcome, result.reason) for result in results
        )
        assert set(outcomes) == {("answered", "")}, (service, outcomes)
        assert not any(result.crossed for result in results)
        assert not any(result.cut for result in results)


@when("entry {name:S} receives SIGTERM twice during a slow call")
def slow_call_while_stopping(context, name):
    async def run() -> None:
        path = "/roundsheet/x"
        call = call_steps.call(context, name, "GET", path)
        task = asyncio.ensure_future(call)
        await asyncio.sleep(0.3)
        entry = context.fleet.entries[name]
        entry.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        entry.signal(signal.SIGTERM)
        await task

    context.run(run())
