"""Measures goodput under overload, and the priority of paid calls."""

from __future__ import annotations

import argparse
import asyncio
import collections
import json

from bench import measuring
from tests.builders import documents
from tests.builders import fleet
from tests.builders import loopback

UPSTREAMS = 6
SLOTS = 4
ENTRIES = 3
# Paid calls and offered load, as shares of the capacity.
PAID_SHARE = 0.2
LOADS = (0.8, 1.0, 2.0, 3.0)
WARM_UP_S = 1.0
READ_DEADLINE_MS = 500
PAID_DEADLINE_MS = 2000


def build_document(ports: list[int]):
    """Returns a document in which paid calls have the highest priority."""
    rules = [
        documents.read_rule("till", deadline_ms=READ_DEADLINE_MS, priority=2),
        documents.write_rule("till", deadline_ms=PAID_DEADLINE_MS, priority=0),
    ]
    return documents.document(
        {"till": documents.service("till", ports, SLOTS, rules)},
        directory_lifetime_ms=1000,
    )


async def run_load(
    running: fleet.Fleet,
    rate: float,
    seconds: float,
    mean_ms: float,
    *,
    actions: bool,
) -> list[list]:
    """Runs one load in a separate process; returns its calls."""
    ports = [str(entry.caller_port) for entry in running.entries.values()]
    process = fleet.Process(
        "load",
        [
            f"--entries={','.join(ports)}",
            "--service=till",
            f"--rate={rate}",
            f"--seconds={seconds}",
            f"--mean-ms={mean_ms}",
            "--send-work=0",
            f"--actions={int(actions)}",
        ],
        "bench.load_worker",
    )
    running.processes.append(process)
    while process.running:
        await asyncio.sleep(0.1)
    return json.loads(process.output())


async def main(seconds: float, mean_ms: float) -> None:
    """Measures all loads and prints one table."""
    capacity = UPSTREAMS * SLOTS / (mean_ms / 1000)
    rows = []
    async with fleet.Fleet() as running:
        ports = loopback.free_ports(UPSTREAMS)
        await running.start_platform()
        await running.start_upstreams(ports, SLOTS, mean_ms)
        await running.submit(build_document(ports))
        for number in range(ENTRIES):
            running.start_entry(f"e{number}", "test")
        await running.wait_ready()
        for share in LOADS:
            rate = capacity * share
            paid_rate = capacity * PAID_SHARE
            reads, paid = await asyncio.gather(
                run_load(
                    running, rate - paid_rate, seconds, mean_ms, actions=False
                ),
                run_load(running, paid_rate, seconds, mean_ms, actions=True),
            )
            for name, calls in (("read", reads), ("paid", paid)):
                rows.append([share, name, *summary(calls, seconds)])
    print(f"capacity {capacity:.0f} calls/s; paid {PAID_SHARE:.0%} of it")
    print(measuring.table(HEADER, rows))


HEADER = (
    "load",
    "kind",
    "calls",
    "answered/s",
    "not run",
    "unknown",
    "late",
    "p50 ms",
    "p99 ms",
)


def summary(calls: list[list], seconds: float) -> list[object]:
    """Returns the table cells for one load."""
    kept = [call for call in calls if call[0] >= WARM_UP_S]
    outcomes = collections.Counter(call[3] for call in kept)
    answered = [call[2] * 1000 for call in kept if call[3] == "answered"]
    late = sum(call[2] * 1000 > PAID_DEADLINE_MS + 100 for call in kept)
    return [
        len(kept),
        outcomes["answered"] / (seconds - WARM_UP_S),
        outcomes["not-run"],
        outcomes["unknown"],
        late,
        measuring.percentile(answered, 0.5),
        measuring.percentile(answered, 0.99),
    ]


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--mean-ms", type=float, default=40.0)
    arguments = parser.parse_args()
    asyncio.run(main(arguments.seconds, arguments.mean_ms))
