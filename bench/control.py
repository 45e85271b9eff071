"""Measures the cost of control by number of entries, upstreams and services.

No calls are made. Each row is one fleet; figures are means over its entries.
Memory is that of an entry above a process with the same imports and no tasks.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import subprocess
import sys
import time

from bench import measuring
from sesamevale import document_models
from tests.builders import documents
from tests.builders import fleet

# Time for the traffic of the start to end before the measurement.
SETTLE_S = 12.0
COUNTERS = (
    "gossip_bytes_sent",
    "gossip_bytes_received",
    "platform_bytes",
    "platform_calls",
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of one fleet and the rate of changes during the measurement."""

    entries: int
    services: int
    upstreams: int
    changes_per_second: float = 0.0
    homes: int = 1


SIZES = (
    FleetSize(3, 3, 28),
    FleetSize(6, 3, 28),
    FleetSize(12, 3, 28),
    FleetSize(24, 3, 28),
    FleetSize(6, 3, 280),
    FleetSize(6, 3, 1100),
    FleetSize(6, 30, 1100),
    FleetSize(6, 62, 1100),
    FleetSize(6, 62, 1100, homes=2),
    FleetSize(6, 62, 1100, changes_per_second=1.0),
)


def build_document(
    size: FleetSize, version: int
) -> document_models.DocumentModel:
    """Returns a document; versions differ in the queue limit of one service."""
    services = {}
    per_service = size.upstreams // size.services
    for number in range(size.services):
        name = f"service-{number:02d}"
        first = 10_000 + number * per_service
        services[name] = documents.service(
            name,
            list(range(first, first + per_service)),
            4,
            probes_per_second=0.0,
            homes=size.homes,
        )
    name = f"service-{version % size.services:02d}"
    services[name]["queue_limit"] = 500 + version
    return documents.document(services)


def document_bytes(model: document_models.DocumentModel) -> int:
    """Returns the size of all parts of a document in bytes."""
    return sum(len(part) for part in document_models.to_parts(model).values())


def bare_process_mebibytes() -> float:
    """Returns the memory in MiB of a process with the same imports, idle."""
    script = "import sesamevale.daemon, time; print('x', flush=True); "
    process = subprocess.Popen(
        [sys.executable, "-c", script + "time.sleep(30)"],
        stdout=subprocess.PIPE,
        cwd=fleet.ROOT,
    )
    assert process.stdout is not None
    process.stdout.readline()
    found = measuring.rss_mebibytes(process.pid)
    process.kill()
    process.wait()
    return found


class Measurement:
    """Measurement of one fleet.

    Args:
        size: Size of the fleet.
        seconds: Duration of the measurement.
    """

    def __init__(self, size: FleetSize, seconds: float) -> None:
        self._size = size
        self._seconds = seconds
        self._version = 0

    async def run(self, bare_mebibytes: float) -> list[object]:
        """Measures the fleet; returns one table row.

        Args:
            bare_mebibytes: Memory of a process with the same imports and no
                tasks.
        """
        size = self._size
        async with fleet.Fleet() as running:
            await running.start_platform()
            model = build_document(size, 0)
            await running.submit(model)
            for number in range(size.entries):
                running.start_entry(f"entry-{number:02d}", "test")
            await running.wait_ready(60.0)
            await asyncio.sleep(SETTLE_S)
            before = await self._read_counters(running)
            started = time.monotonic()
            await self._change_until(running, started + self._seconds)
            after = await self._read_counters(running)
            took = time.monotonic() - started
            memory = [
                measuring.rss_mebibytes(entry.pid) - bare_mebibytes
                for entry in running.entries.values()
            ]
        per_second = {key: (after[key] - before[key]) / took for key in after}
        per_entry = {
            key: value / size.entries for key, value in per_second.items()
        }
        return [
            size.entries,
            size.services,
            size.upstreams,
            size.homes,
            document_bytes(model),
            size.changes_per_second,
            per_entry["cpu"] * 100,
            sum(memory) / len(memory),
            per_entry["gossip_bytes_sent"] + per_entry["gossip_bytes_received"],
            per_entry["platform_bytes"],
            per_entry["platform_calls"],
        ]

    async def _change_until(self, running: fleet.Fleet, until: float) -> None:
        rate = self._size.changes_per_second
        while time.monotonic() < until:
            if rate <= 0.0:
                await asyncio.sleep(until - time.monotonic())
                return
            self._version += 1
            await running.submit(build_document(self._size, self._version))
            await asyncio.sleep(1.0 / rate)

    async def _read_counters(self, running: fleet.Fleet) -> dict[str, float]:
        found = dict.fromkeys((*COUNTERS, "cpu"), 0.0)
        for entry in running.entries.values():
            status = await entry.status()
            assert status is not None
            for name in COUNTERS:
                found[name] += status["counters"].get(name, 0)
            found["cpu"] += measuring.cpu_seconds(entry.pid)
        return found


HEADER = (
    "entries",
    "services",
    "upstreams",
    "homes",
    "document B",
    "changes/s",
    "cpu %",
    "MiB above bare",
    "gossip B/s",
    "platform B/s",
    "platform calls/s",
)


async def main(seconds: float) -> None:
    """Measures all sizes and prints one table."""
    bare = bare_process_mebibytes()
    print(f"bare process: {bare:.1f} MiB", flush=True)
    rows = []
    for size in SIZES:
        rows.append(await Measurement(size, seconds).run(bare))
        print(f"measured {size}", flush=True)
    print(measuring.table(HEADER, rows))


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=10.0)
    asyncio.run(main(parser.parse_args().seconds))
