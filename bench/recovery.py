"""Measures how fast real entries apply changes and recover from failures."""

from __future__ import annotations

import argparse
import asyncio
import collections
import itertools
import json
import random
import time

from bench import measuring
from demo import callers
from sesamevale.etcd import store
from tests.builders import documents
from tests.builders import fleet
from tests.builders import loopback

ENTRIES = 6
CHANGES_PER_KILL = 40
CHANGES_PER_WATCH_CUT = 25
POLL_S = 0.01
TIMEOUT_S = 30.0
DIRECTORY = "/.well-known/sesamevale/directory?service=till"


async def start(running: fleet.Fleet) -> dict[str, list[int]]:
    """Starts a fleet with two services; returns their upstream ports."""
    ports = {name: loopback.free_ports(6) for name in ("till", "roundsheet")}
    await running.start_platform()
    all_ports = [port for each in ports.values() for port in each]
    await running.start_upstreams(all_ports, 4, 10.0)
    await running.submit(build_document(ports, 1))
    for number in range(ENTRIES):
        running.start_entry(f"e{number}", "test")
    await running.wait_ready()
    return ports


def build_document(ports: dict[str, list[int]], version: int):
    """Returns a document; versions differ in the queue limit of one service."""
    services = {
        name: documents.service(name, each) for name, each in ports.items()
    }
    services["till"]["queue_limit"] = 500 + version
    return documents.document(services, directory_lifetime_ms=1000)


async def seconds_until_in_force(running: fleet.Fleet, revision: int) -> float:
    """Returns the seconds until all running entries use a revision.

    Stops waiting after ``TIMEOUT_S``.
    """
    started = time.monotonic()

    async def wait_for_entry(entry: fleet.EntryProcess) -> None:
        while entry.running and time.monotonic() - started < TIMEOUT_S:
            status = await entry.status()
            if status is not None and status["revision"] >= revision:
                return
            await asyncio.sleep(POLL_S)

    await asyncio.gather(
        *(wait_for_entry(each) for each in running.entries.values())
    )
    return time.monotonic() - started


async def measure_changes(
    running: fleet.Fleet, ports: dict[str, list[int]], count: int
) -> None:
    """Submits many changes while entries are killed and watches are cut."""
    rng = random.Random(1)
    undisturbed: list[float] = []
    disturbed: list[float] = []
    for version in range(2, count + 2):
        is_disturbed = (
            version % CHANGES_PER_KILL == 0
            or version % CHANGES_PER_WATCH_CUT == 0
        )
        if version % CHANGES_PER_WATCH_CUT == 0:
            await running.control_platform(cut_watches=True)
        if version % CHANGES_PER_KILL == 0:
            entry_id = rng.choice(sorted(running.entries))
            await restart_entry(running, entry_id)
        outcome = await running.submit(build_document(ports, version))
        assert isinstance(outcome, store.Accepted), outcome
        took = await seconds_until_in_force(running, outcome.manifest.revision)
        (disturbed if is_disturbed else undisturbed).append(took)
    all_changes = undisturbed + disturbed
    rows = [
        [name, len(times), *(measuring.percentile(times, p) for p in QUANTILES)]
        for name, times in (
            ("calm", undisturbed),
            ("kill or cut watch", disturbed),
            ("all", all_changes),
        )
    ]
    print("seconds from acceptance until in force on all live entries")
    print(measuring.table(("changes", "count", "p50", "p99", "max"), rows))


QUANTILES = (0.5, 0.99, 1.0)


async def restart_entry(running: fleet.Fleet, name: str) -> None:
    """Kills an entry and starts it again on the same ports."""
    old = running.entries[name]
    old.kill()
    ports = [old.caller_port, old.peer_port, old.admin_port]
    running.start_entry(name, "test", ports=ports)


async def measure_outage(
    running: fleet.Fleet, ports: dict[str, list[int]]
) -> None:
    """Submits a change right after an outage of the platform."""
    await running.control_platform(down=True)
    await asyncio.sleep(8.0)
    await running.control_platform(down=False)
    outcome = await running.submit(build_document(ports, 9999))
    assert isinstance(outcome, store.Accepted), outcome
    took = await seconds_until_in_force(running, outcome.manifest.revision)
    print(f"change accepted right after an outage: {took:.2f} s")


async def measure_kill(running: fleet.Fleet, kills: int) -> None:
    """Kills the home of a service under load, ``kills`` times."""
    rows = []
    for number in range(kills):
        await running.wait_ready()
        status = await running.entries["e0"].status()
        assert status is not None
        home = status["services"]["till"]["homes"][0]
        rows.append([number, *(await kill_under_load(running, home))])
        await restart_entry(running, home)
    print("the home of a service is killed at 200 calls a second")
    print(measuring.table(KILL_HEADER, rows))


KILL_HEADER = (
    "kill",
    "directory s",
    "calls",
    "answered",
    "not run",
    "unknown",
    "slowest answer s",
    "longest gap s",
)


async def kill_under_load(running: fleet.Fleet, home: str) -> list[object]:
    """Kills a home under load; returns a table row after its number.

    The row has the time until no directory lists the home, and the results
    of the calls.
    """
    ports = [entry.caller_port for entry in running.entries.values()]
    directories = [
        callers.Directory(ports, "till", random.Random(seed))
        for seed in range(16)
    ]
    end_times: list[float] = []
    results: list[callers.Result] = []

    async def make_call(directory: callers.Directory) -> None:
        results.append(await callers.call(directory, "/till/x"))
        end_times.append(time.monotonic())

    tasks = []
    unlisted_after = None
    for index in range(800):
        if index == 300:
            running.entries[home].kill()
            unlisted_after = asyncio.ensure_future(
                seconds_until_unlisted(running, home)
            )
        tasks.append(
            asyncio.ensure_future(make_call(random.choice(directories)))
        )
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    assert unlisted_after is not None
    outcomes = collections.Counter(result.outcome for result in results)
    end_times.sort()
    gaps = [later - earlier for earlier, later in itertools.pairwise(end_times)]
    for directory in directories:
        directory.close()
    return [
        await unlisted_after,
        len(results),
        outcomes["answered"],
        outcomes["not-run"],
        outcomes["unknown"],
        max(result.seconds for result in results),
        max(gaps),
    ]


async def seconds_until_unlisted(running: fleet.Fleet, name: str) -> float:
    """Returns the seconds until no running entry's directory lists an entry.

    Stops waiting after ``TIMEOUT_S``.
    """
    started = time.monotonic()

    async def wait_for_entry(entry: fleet.EntryProcess) -> None:
        while entry.running and time.monotonic() - started < TIMEOUT_S:
            async with running.client(entry.entry_id, 2.0) as client:
                answer = await client.call("GET", DIRECTORY)
            if answer is not None:
                listed = json.loads(answer.body)["entries"]
                if name not in {each["entry"] for each in listed}:
                    return
            await asyncio.sleep(POLL_S)

    await asyncio.gather(
        *(wait_for_entry(each) for each in running.entries.values())
    )
    return time.monotonic() - started


async def main(changes: int, kills: int) -> None:
    """Runs all measurements."""
    async with fleet.Fleet() as running:
        ports = await start(running)
        await measure_changes(running, ports, changes)
        await measure_outage(running, ports)
        await measure_kill(running, kills)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--kills", type=int, default=4)
    arguments = parser.parse_args()
    asyncio.run(main(arguments.changes, arguments.kills))
