"""Measures the latency that one entry adds, against a raw asyncio relay.

Rounds alternate between the direct connection, the relay and the entry in the
same run, so that noise of the machine affects all of them.
"""

from __future__ import annotations

import argparse
import asyncio
import time

from bench import measuring
from tests.builders import documents
from tests.builders import fleet
from tests.builders import loopback

REQUEST = b"GET /svc/x HTTP/1.1\r\nhost: bench\r\n\r\n"
END_OF_HEAD = b"\r\n\r\n"
BODY_BYTES = 256
WAYS = ("direct", "relay", "entry")


class CallerConnection(asyncio.Protocol):
    """Raw HTTP connection of a caller; one request in flight at a time."""

    def __init__(self) -> None:
        self._buffer = b""
        self._done: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements ``asyncio.Protocol``."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Implements ``asyncio.Protocol``."""
        self._buffer += data
        end = self._buffer.find(END_OF_HEAD)
        if end >= 0 and len(self._buffer) >= end + 4 + BODY_BYTES:
            assert self._buffer.startswith(b"HTTP/1.1 200"), self._buffer
            self._buffer = b""
            assert self._done is not None
            self._done.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements ``asyncio.Protocol``."""
        if self._done is not None and not self._done.done():
            self._done.set_exception(ConnectionError("connection lost"))

    async def call(self) -> float:
        """Sends one request; returns the seconds until its answer."""
        assert self._transport is not None
        self._done = asyncio.get_running_loop().create_future()
        started = time.perf_counter()
        self._transport.write(REQUEST)
        await self._done
        return time.perf_counter() - started

    def close(self) -> None:
        """Closes the connection."""
        assert self._transport is not None
        self._transport.close()


async def open_callers(port: int, count: int) -> list[CallerConnection]:
    """Opens ``count`` connections to a port of this machine."""
    loop = asyncio.get_running_loop()
    callers = []
    for _ in range(count):
        _, caller = await loop.create_connection(
            CallerConnection, fleet.HOST, port
        )
        callers.append(caller)
    return callers


async def run_closed_loop(
    callers: list[CallerConnection], seconds: float
) -> list[float]:
    """Sends the next call on each connection when the last one has ended.

    Returns:
        Durations of all calls in seconds.
    """
    times: list[float] = []
    until = time.perf_counter() + seconds

    async def call_until_end(caller: CallerConnection) -> None:
        while time.perf_counter() < until:
            times.append(await caller.call())

    await asyncio.gather(*(call_until_end(caller) for caller in callers))
    return times


async def run_open_loop(
    callers: list[CallerConnection], rate: float, seconds: float
) -> list[float]:
    """Sends calls at a fixed rate, whether or not earlier ones have ended.

    Returns:
        Seconds from when each call was due until its answer; the wait for a
        free connection counts.
    """
    times: list[float] = []
    free = list(callers)
    tasks = []
    started = time.perf_counter()

    async def make_call(due: float) -> None:
        while not free:
            await asyncio.sleep(0.0005)
        caller = free.pop()
        await caller.call()
        times.append(time.perf_counter() - due)
        free.append(caller)

    for index in range(int(rate * seconds)):
        due = started + index / rate
        pause = due - time.perf_counter()
        if pause > 0:
            await asyncio.sleep(pause)
        tasks.append(asyncio.ensure_future(make_call(due)))
    await asyncio.gather(*tasks)
    return times


class BenchmarkProcesses:
    """Processes of the benchmark, with their ports and process ids by way."""

    def __init__(self, running: fleet.Fleet) -> None:
        self._running = running
        self.ports: dict[str, int] = {}
        self.pids: dict[str, int] = {}

    async def start(self) -> None:
        """Starts upstream, relay, platform and one entry."""
        upstream_port, relay_port = loopback.free_ports(2)
        process_arguments = {
            "direct": ["upstream", f"--port={upstream_port}"],
            "relay": [
                "relay",
                f"--port={relay_port}",
                f"--upstream-port={upstream_port}",
            ],
        }
        for way, arguments in process_arguments.items():
            process = fleet.Process(way, arguments, "bench.raw_parts")
            self._running.processes.append(process)
            self.pids[way] = process.pid
        await fleet.wait_listening(upstream_port)
        await fleet.wait_listening(relay_port)
        await self._running.start_platform()
        service = documents.service("svc", [upstream_port], slots=512)
        await self._running.submit(documents.document({"svc": service}))
        entry = self._running.start_entry("entry", "test")
        await self._running.wait_ready()
        self.pids["entry"] = entry.pid
        self.ports = {
            "direct": upstream_port,
            "relay": relay_port,
            "entry": entry.caller_port,
        }


async def measure(
    processes: BenchmarkProcesses,
    connections: int,
    rate: float | None,
    rounds: int,
) -> list[list[object]]:
    """Measures all ways in turn; returns one table row for each.

    Args:
        processes: Processes of the benchmark.
        connections: Connections of the callers.
        rate: Calls a second; None for a closed loop.
        rounds: Number of rounds of one second for each way.
    """
    times: dict[str, list[float]] = {way: [] for way in WAYS}
    cpu_s: dict[str, float] = dict.fromkeys(WAYS, 0.0)
    elapsed_s: dict[str, float] = dict.fromkeys(WAYS, 0.0)
    for _ in range(rounds):
        for way in WAYS:
            callers = await open_callers(processes.ports[way], connections)
            await run_closed_loop(callers, 0.1)
            before = measuring.cpu_seconds(processes.pids[way])
            started = time.perf_counter()
            if rate is None:
                times[way] += await run_closed_loop(callers, 1.0)
            else:
                times[way] += await run_open_loop(callers, rate, 1.0)
            elapsed_s[way] += time.perf_counter() - started
            cpu_s[way] += measuring.cpu_seconds(processes.pids[way]) - before
            for caller in callers:
                caller.close()
    rows: list[list[object]] = []
    for way in WAYS:
        calls = len(times[way])
        p50_ms = measuring.percentile(times[way], 0.5) * 1000
        p99_ms = measuring.percentile(times[way], 0.99) * 1000
        direct_p50_ms = measuring.percentile(times["direct"], 0.5) * 1000
        direct_p99_ms = measuring.percentile(times["direct"], 0.99) * 1000
        rows.append(
            [
                way,
                calls,
                p50_ms,
                p99_ms,
                p50_ms - direct_p50_ms,
                p99_ms - direct_p99_ms,
                cpu_s[way] / calls * 1e6,
                calls / elapsed_s[way],
                measuring.rss_mebibytes(processes.pids[way]),
            ]
        )
    return rows


HEADER = (
    "way",
    "calls",
    "p50 ms",
    "p99 ms",
    "added p50",
    "added p99",
    "cpu us/call",
    "calls/s",
    "rss MiB",
)


async def main(rounds: int) -> None:
    """Runs the benchmark and prints its tables."""
    async with fleet.Fleet() as running:
        processes = BenchmarkProcesses(running)
        await processes.start()
        print("one caller, closed loop")
        print(
            measuring.table(HEADER, await measure(processes, 1, None, rounds))
        )
        print("\n32 callers, closed loop (saturation)")
        saturated = await measure(processes, 32, None, rounds)
        print(measuring.table(HEADER, saturated))
        capacity = {str(row[0]): float(str(row[7])) for row in saturated}
        for name in ("relay", "entry"):
            rate = capacity[name] / 2
            print(f"\nhalf the saturation of the {name}: {rate:.0f} calls/s")
            if rate > capacity["entry"]:
                print("above the saturation of one entry process: not run")
                continue
            rows = await measure(processes, 32, rate, rounds)
            print(measuring.table(HEADER, rows))


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=4)
    asyncio.run(main(parser.parse_args().rounds))
