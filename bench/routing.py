"""Compares routing with homes to baselines, on real entries at a user's size.

Each condition runs for every way of routing with the same arrivals. The
response times of an ideal central queue are computed for the same arrivals.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import os
import time

from bench import ideal
from bench import measuring
from tests.builders import documents
from tests.builders import fleet
from tests.builders import loopback

WAYS = ("homes", "homes-2", "own-count", "two-choices", "random")
DEADLINE_MS = 8000
WARM_UP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Size of one user's deployment.

    Attributes:
        upstreams: Number of upstreams by service.
        slots: Slots of each upstream.
        mean_ms: Mean work of a call.
        entries: Number of entries.
    """

    upstreams: dict[str, int]
    slots: int
    mean_ms: float
    entries: int = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Load and faults during a measurement.

    Attributes:
        load: Offered load as a share of the capacity.
        slow_upstream: Factor on the work at the first upstream of each service.
        failing: Whether the first upstream of each service fails.
        draining: Whether the first upstream of each service drains midway.
        kill: Whether a home of the first service is killed midway.
        step: Whether the first half has a tenth of the load.
        skewed: Whether callers choose every second entry twice as often as the
            others, regardless of the directory.
        hedge: Whether calls may be hedged.
        own_work: Whether upstreams draw the work, anew for each attempt.
    """

    load: float
    slow_upstream: float = 1.0
    failing: bool = False
    draining: bool = False
    kill: bool = False
    step: bool = False
    skewed: bool = False
    hedge: bool = False
    own_work: bool = False


USERS = {
    "pritchard": Deployment(
        {"roundsheet": 10, "till": 6, "bookdesk": 12}, 4, 80.0
    ),
    "ulicni-tok": Deployment(
        {"locker-map": 11, "charge-control": 6, "ledger": 13}, 2, 40.0
    ),
}

CONDITIONS = {
    "50": Condition(0.5),
    "80": Condition(0.8),
    "95": Condition(0.95),
    "drawn-50": Condition(0.5, own_work=True),
    "hedge-50": Condition(0.5, hedge=True, own_work=True),
    "straggler-72": Condition(0.72, slow_upstream=10.0),
    "failing-50": Condition(0.5, failing=True),
    "draining-50": Condition(0.5, draining=True),
    "kill-50": Condition(0.5, kill=True),
    "step-80": Condition(0.8, step=True),
    "skewed-80": Condition(0.8, skewed=True),
}


class Measurement:
    """Measurement of one way of routing under one condition.

    Args:
        deployment: Size of the deployment.
        way: Name of the way of routing, one of ``WAYS``.
        condition: Load and faults.
        seconds: Duration of the load.
    """

    def __init__(
        self,
        deployment: Deployment,
        way: str,
        condition: Condition,
        seconds: float,
    ) -> None:
        self._deployment = deployment
        self._way = way
        self._condition = condition
        self._seconds = seconds
        self._home_count = {"homes": 1, "homes-2": 2}.get(way, 0)
        self._busiest_cpu_share = 0.0
        self._ports: dict[str, list[int]] = {}
        self._calls: dict[str, list[list]] = {}

    async def run(self) -> list[list[object]]:
        """Runs the load; returns one table row for each service."""
        async with fleet.Fleet() as running:
            await self._start(running)
            before = await self._counters(running)
            cpu_before = _cpu_by_entry(running)
            started = time.monotonic()
            workers = [
                asyncio.create_task(self._run_load(running, service))
                for service in self._deployment.upstreams
            ]
            await self._inject_faults(running)
            await asyncio.gather(*workers)
            took = time.monotonic() - started
            cpu_after = _cpu_by_entry(running)
            after = await self._counters(running)
        self._busiest_cpu_share = max(
            (cpu_after[name] - cpu_before[name]) / took for name in cpu_after
        )
        return self._rows(before, after)

    async def _start(self, running: fleet.Fleet) -> None:
        deployment = self._deployment
        await running.start_platform()
        for service, count in deployment.upstreams.items():
            ports = loopback.free_ports(count)
            self._ports[service] = ports
            await running.start_upstreams(
                ports, deployment.slots, deployment.mean_ms
            )
        all_ports = [port for each in self._ports.values() for port in each]
        for port in all_ports:
            await fleet.control(port, shed_over=self._home_count > 0)
        await running.submit(self._document())
        module = "sesamevale.daemon"
        if not self._home_count:
            module = "bench.baseline_entry"
            os.environ["BASELINE"] = self._way
        for number in range(deployment.entries):
            data_center = documents.DATA_CENTERS[number % 3]
            running.start_entry(
                f"e{number}", "test", data_center, module=module
            )
        await running.wait_ready(30.0)

    def _document(self):
        rule = {"deadline_ms": DEADLINE_MS, "hedge": self._condition.hedge}
        services = {
            service: documents.service(
                service,
                ports,
                self._deployment.slots,
                [documents.read_rule(service, **rule)],
                hedge_share=0.05 if self._condition.hedge else 0.0,
                queue_limit=2000,
                homes=max(1, self._home_count),
            )
            for service, ports in self._ports.items()
        }
        return documents.document(services, directory_lifetime_ms=5000)

    def _rate(self, service: str) -> float:
        slots = self._deployment.upstreams[service] * self._deployment.slots
        return self._condition.load * slots / (self._deployment.mean_ms / 1000)

    async def _run_load(self, running: fleet.Fleet, service: str) -> None:
        """Runs the load of one service in a separate process."""
        ports = [str(each.caller_port) for each in running.entries.values()]
        process = fleet.Process(
            f"load-{service}",
            [
                f"--entries={','.join(ports)}",
                f"--service={service}",
                f"--rate={self._rate(service)}",
                f"--seconds={self._seconds}",
                f"--mean-ms={self._deployment.mean_ms}",
                f"--steered={int(self._home_count > 0)}",
                f"--step={int(self._condition.step)}",
                f"--skewed={int(self._condition.skewed)}",
                f"--send-work={int(not self._condition.own_work)}",
            ],
            "bench.load_worker",
        )
        running.processes.append(process)
        while process.running:
            await asyncio.sleep(0.1)
        self._calls[service] = json.loads(process.output())

    async def _inject_faults(self, running: fleet.Fleet) -> None:
        condition = self._condition
        first = [ports[0] for ports in self._ports.values()]
        if condition.slow_upstream > 1.0:
            for port in first:
                await fleet.control(port, slow=condition.slow_upstream)
        if condition.failing:
            for port in first:
                await fleet.control(port, mode="fail")
        await asyncio.sleep(self._seconds / 2)
        if condition.draining:
            for port in first:
                await fleet.control(port, mode="drain")
        if condition.kill:
            status = await running.entries["e0"].status()
            assert status is not None
            service = next(iter(self._deployment.upstreams))
            homes = status["services"][service]["homes"]
            running.entries[homes[0] if homes else "e0"].kill()

    async def _counters(self, running: fleet.Fleet) -> dict[str, float]:
        totals: dict[str, float] = {"over_slots": 0}
        for entry in running.entries.values():
            status = await entry.status() if entry.running else None
            if status is None:
                continue
            counters = status["counters"]
            for name in ("gossip_datagrams_sent", "gossip_bytes_sent"):
                totals[name] = totals.get(name, 0) + counters.get(name, 0)
            for service in status["services"].values():
                for name in ("relayed", "hedged", "submitted"):
                    value = service["counts"][name]
                    totals[name] = totals.get(name, 0) + value
        for ports in self._ports.values():
            for port in ports:
                stats = await fleet.stats(port)
                totals["over_slots"] += stats["over_slots"]
        return totals

    def _rows(
        self, before: dict[str, float], after: dict[str, float]
    ) -> list[list[object]]:
        increases = {name: after[name] - before.get(name, 0) for name in after}
        total = sum(len(calls) for calls in self._calls.values())
        rows = []
        for service, calls in self._calls.items():
            rows.append(
                [*self._row(service, calls), *self._costs(increases, total)]
            )
        return rows

    def _row(self, service: str, calls: list[list]) -> list[object]:
        counted_from_s = WARM_UP_S
        if self._condition.step:
            counted_from_s = self._seconds / 2
        kept = [call for call in calls if call[0] >= counted_from_s]
        answered = [call[2] * 1000 for call in kept if call[3] == "answered"]
        slots = self._deployment.upstreams[service] * self._deployment.slots
        slow = (
            self._deployment.slots if self._condition.slow_upstream > 1.0 else 0
        )
        ideal_times_s = ideal.central_queue(
            [(call[0], call[1]) for call in calls],
            slots,
            slow,
            self._condition.slow_upstream,
        )
        ordered = sorted(calls)
        ideal_ms = [
            seconds * 1000
            for call, seconds in zip(ordered, ideal_times_s, strict=True)
            if call[0] >= counted_from_s
        ]
        p99 = measuring.percentile(answered, 0.99)
        ideal99 = measuring.percentile(ideal_ms, 0.99)
        return [
            service,
            len(kept),
            measuring.percentile(answered, 0.5),
            p99,
            measuring.percentile(answered, 0.999),
            ideal99,
            p99 / ideal99,
            sum(call[3] == "not-run" for call in kept),
            sum(call[3] == "unknown" for call in kept),
        ]

    def _costs(self, increases: dict[str, float], total: int) -> list[object]:
        return [
            increases["relayed"] / total,
            increases["hedged"] / total,
            increases["gossip_datagrams_sent"] / total,
            increases["gossip_bytes_sent"] / total,
            int(increases["over_slots"]),
            self._busiest_cpu_share,
        ]


def _cpu_by_entry(running: fleet.Fleet) -> dict[str, float]:
    return {
        name: measuring.cpu_seconds(entry.pid)
        for name, entry in running.entries.items()
        if entry.running
    }


HEADER = (
    "condition",
    "way",
    "service",
    "calls",
    "p50",
    "p99",
    "p99.9",
    "ideal p99",
    "ratio",
    "not run",
    "unknown",
    "relays/call",
    "hedges/call",
    "msgs/call",
    "bytes/call",
    "over slots",
    "busiest cpu",
)


async def main(arguments: argparse.Namespace) -> None:
    """Runs the chosen conditions and prints one table."""
    deployment = USERS[arguments.user]
    print(f"user {arguments.user}: {deployment}; times in ms", flush=True)
    rows = []
    for name in arguments.conditions.split(","):
        for way in arguments.ways.split(","):
            started = time.monotonic()
            measurement = Measurement(
                deployment, way, CONDITIONS[name], arguments.seconds
            )
            for row in await measurement.run():
                rows.append([name, way, *row])
            took = time.monotonic() - started
            print(f"{name} {way}: {took:.0f} s", flush=True)
    print(measuring.table(HEADER, rows))


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--user", choices=sorted(USERS), default="ulicni-tok")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--conditions", default=",".join(CONDITIONS))
    parser.add_argument("--seconds", type=float, default=10.0)
    asyncio.run(main(parser.parse_args()))
