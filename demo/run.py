"""Runs a small fleet under load for some seconds and kills an entry midway."""

from __future__ import annotations

import argparse
import asyncio
import collections
import random
import time

from bench import measuring
from demo import callers
from sesamevale import document_models
from tests.builders import fleet
from tests.builders import loopback

DOCUMENT = "examples/pritchard.toml"
ACTIONS = {"till": "/till/charges/1", "bookdesk": "/bookdesk/bookings/1"}
CALLS_PER_SECOND = 60.0
ACTION_SHARE = 0.3
ENTRIES = {"entry-1": "rhondda", "entry-2": "cynon", "entry-3": "taff"}


def with_free_ports(
    model: document_models.DocumentModel,
) -> document_models.DocumentModel:
    """Returns the document with ports that are free on this machine."""
    content = model.model_dump(mode="json")
    for service in content["services"].values():
        ports = loopback.free_ports(len(service["upstreams"]))
        for upstream, port in zip(service["upstreams"], ports, strict=True):
            upstream["port"] = port
    return document_models.DocumentModel.model_validate(content)


async def start(running: fleet.Fleet) -> document_models.DocumentModel:
    """Starts platform, upstreams and entries, and submits the document."""
    model = with_free_ports(fleet.load_document(DOCUMENT))
    await running.start_platform()
    for service in model.services.values():
        ports = [upstream.port for upstream in service.upstreams]
        slots = service.upstreams[0].slots
        await running.start_upstreams(ports, slots, mean_ms=10.0)
    await running.submit(model, "demo")
    for entry_id, data_center in ENTRIES.items():
        running.start_entry(entry_id, model.environment, data_center)
    await running.wait_ready()
    return model


async def make_call(
    directory: callers.Directory,
    service: str,
    is_action: bool,
    call_results: callers.CallResults,
) -> None:
    """Makes one call or action of a service and adds its result."""
    if is_action:
        path = ACTIONS[service]
        result = await callers.run_action(directory, path, call_results)
        call_results.add(f"{service} (action)", result)
        return
    path = f"/{service}/list/1"
    call_results.add(service, await callers.call(directory, path))


async def run_load(
    running: fleet.Fleet,
    model: document_models.DocumentModel,
    seconds: float,
    call_results: callers.CallResults,
) -> None:
    """Calls every service at random times with a constant mean rate."""
    rng = random.Random(1)
    ports = [entry.caller_port for entry in running.entries.values()]
    directories = {
        service: [callers.Directory(ports, service, rng) for _ in range(8)]
        for service in model.services
    }
    tasks = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for service, service_directories in directories.items():
            is_action = service in ACTIONS and rng.random() < ACTION_SHARE
            work = make_call(
                rng.choice(service_directories),
                service,
                is_action,
                call_results,
            )
            tasks.append(asyncio.ensure_future(work))
        await asyncio.sleep(rng.expovariate(CALLS_PER_SECOND))
    await asyncio.gather(*tasks)
    for service_directories in directories.values():
        for directory in service_directories:
            directory.close()


async def count_runs(
    model: document_models.DocumentModel,
) -> collections.Counter[str]:
    """Counts the runs of every action at all upstreams."""
    runs: collections.Counter[str] = collections.Counter()
    for service in model.services.values():
        for upstream in service.upstreams:
            runs.update(await fleet.stats(upstream.port, "/_runs"))
    return runs


def print_table(call_results: callers.CallResults) -> None:
    """Prints the number of calls, their outcomes and durations by service."""
    rows = []
    for service, results in sorted(call_results.results.items()):
        seconds = [result.seconds * 1000 for result in results]
        outcomes = collections.Counter(result.outcome for result in results)
        rows.append(
            [
                service,
                len(results),
                outcomes["answered"],
                outcomes["not-run"],
                outcomes["unknown"],
                measuring.percentile(seconds, 0.5),
                measuring.percentile(seconds, 0.99),
                measuring.percentile(seconds, 0.999),
            ]
        )
    header = (
        "service",
        "calls",
        "answered",
        "not run",
        "unknown",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    )
    print(measuring.table(header, rows))


async def print_added_latency(running: fleet.Fleet) -> None:
    """Prints the latency that each entry itself added, by service."""
    for entry in running.entries.values():
        if not entry.running:
            continue
        text = await fleet.page(entry.admin_port, "/metrics")
        for line in text.splitlines():
            wanted = 'quantile="0.99"' in line
            if line.startswith("sesamevale_added_seconds{") and wanted:
                name, _, value = line.partition(" ")
                service = name.split('service="')[1].split('"')[0]
                milliseconds = float(value) * 1000
                print(
                    f"{entry.entry_id}: {service}: "
                    f"added p99 {milliseconds:.2f} ms"
                )


async def main(seconds: float) -> int:
    """Runs the demonstration.

    Returns:
        The exit status: 1 if an answer belonged to another call, an action ran
        twice, or an action ran that was reported as not run.
    """
    call_results = callers.CallResults()
    async with fleet.Fleet() as running:
        print(f"starting {len(ENTRIES)} entries for {DOCUMENT}")
        model = await start(running)
        load_task = asyncio.ensure_future(
            run_load(running, model, seconds, call_results)
        )
        await asyncio.sleep(seconds / 2)
        print("killing entry-2")
        running.entries["entry-2"].kill()
        await load_task
        runs = await count_runs(model)
        print_table(call_results)
        await print_added_latency(running)
    crossed = sum(
        result.crossed
        for results in call_results.results.values()
        for result in results
    )
    run_twice = sum(count > 1 for count in runs.values())
    ran_though_not_run = sum(
        identity in runs for identity in call_results.not_run
    )
    print(f"crossed answers: {crossed}")
    print(f"actions: {len(call_results.actions)}, run twice: {run_twice}")
    print(f"run although refused as not run: {ran_though_not_run}")
    return 1 if crossed or run_twice or ran_though_not_run else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=6.0)
    raise SystemExit(asyncio.run(main(parser.parse_args().seconds)))
