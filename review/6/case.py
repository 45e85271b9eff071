"""Changes the configuration after a machine of the zone was removed."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time

from tests.builders import store_items
from tests.standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
RECORD = pathlib.Path(__file__).with_name("record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Machines of one zone of the deployment, on loopback addresses.
ENTRIES = 15
# The first machines of the zone have fast links, the others slow ones.
FAST_ENTRIES = 2
FAST_BYTES_PER_S = 100e6 / 8
SLOW_BYTES_PER_S = 5e6 / 8
CONFIG_APPLY_S = 2.5
HEARTBEAT_S = 1.5
FILLER_ROUTES = 1400
# Upstreams of the deployment that the requests of the case do not go to.
OTHER_UPSTREAMS = 149
ROUNDS = 4
# Time after a read of the reader at which a change is made. It reads every
# 1.25 s.
CHANGE_AFTER_S = 0.05
OBSERVE_S = 4.0
SETTLE_S = 6.0
# Time between the end of the machine that is removed and the first change:
# longer than any bound on the time for which a machine is not in touch.
REMOVED_S = 10.0
GRACE_S = 6.0
# About 8 requests a second at each entry, below the 9.4 a second that a
# machine of the deployment gets (421 at 45 machines).
PACE_S = 0.12


class Upstream:
    """Answers every request at once and notes which ones it has run."""

    def __init__(self, name, service, runs):
        self.name, self.service, self.runs = name, service, runs
        self.port = 0
        self.server = None

    async def start(self):
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target, fields = parse_head(head)
                lines = [
                    "HTTP/1.1 200 OK",
                    "content-length: 0",
                    f"x-instance-id: {self.name}",
                    "x-server-load: 0,0,4,100",
                ]
                if target != "/health":
                    request = fields["x-attempt-id"]
                    self.runs[request] = self.service
                    lines.append(f"x-attempt-id: {request}")
                    lines.append("x-response-signature: signed")
                writer.write("\r\n".join([*lines, "", ""]).encode())
                await writer.drain()
        writer.close()


def parse_head(head):
    """Returns the target, or status, and the fields of a message."""
    lines = head.decode().split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    return lines[0].split(" ")[1], fields


async def serve_link(port, rate, read):
    """Forwards connections to the store at the rate of a machine's link.

    Sets an event as all that follows the configuration is read.
    """

    async def forward(reader, writer, bytes_per_s):
        with contextlib.suppress(OSError):
            while data := await reader.read(16384):
                await asyncio.sleep(len(data) / bytes_per_s)
                if b"/api/kv-range" in data and b"after=op" in data:
                    read.set()
                writer.write(data)
                await writer.drain()
        writer.close()

    async def serve(reader, writer):
        other = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.gather(
            forward(reader, other[1], rate), forward(other[0], writer, rate)
        )

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def make_config(version, service):
    """Returns a large configuration with one route to a service."""
    routes = [
        store_items.route(
            name=f"r-{number:07d}",
            prefix=f"/filler{number:04d}/path/",
            service="sheet",
            timeoutMs=5148,
            targetLatencyMs=625,
        )
        for number in range(FILLER_ROUTES)
    ]
    routes.append(
        store_items.route(
            name="moved", prefix="/moved/", service=service, timeoutMs=5148
        )
    )
    config = store_items.config(f"r{version}", routes)
    config["services"] = [
        {"name": name, "healthPath": "/health", "maxConnections": 940}
        for name in ("sheet", "desk", "till")
    ]
    return config


def free_ports(count):
    """Returns free TCP ports."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def host_of(number):
    """Returns the address of a machine."""
    return f"127.0.10.{number}"


async def start_entry(number, ports, store_port, folder):
    """Starts the program of the deploy file on a machine."""
    callers, readiness, directory, entry, metrics, last, control = ports
    host = host_of(number)
    settings = {
        "entry_id": f"front-rhondda-{number}",
        "data_center": "rhondda",
        "host": host,
        "callers": f"{host}:{callers}",
        "readiness": f"{host}:{readiness}",
        "directory": f"{host}:{directory}",
        "entry_ports": [entry, last],
        "bounds": {
            "drain_ms": 2500,
            "config_apply_ms": 2500,
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_extra": 178,
            "directory_lifetime_max_s": 5,
        },
        "machine": {
            "memory_mb": 552,
            "descriptors_max": 8192,
            "cpu_share": 0.717,
            "cores": 3,
            "link_mbps": 100 if number <= FAST_ENTRIES else 5,
        },
        "order_of_service": True,
        "seeds": [f"{host_of(1)}:{control}"],
        "store": {"address": f"127.0.0.1:{store_port}"},
    }
    path = folder / f"settings-{number}.json"
    path.write_text(json.dumps(settings))
    environment = os.environ | {
        "PYTHONPATH": str(ROOT / "target" / "deps"),
        "SESAMEVALE_NODE_FILE": str(path),
        "SESAMEVALE_METRICS_PORT": str(metrics),
    }
    return await asyncio.create_subprocess_exec(
        "python3",
        "-S",
        "deploy/start.py",
        cwd=ROOT,
        env=environment,
        stdout=asyncio.subprocess.DEVNULL,
    )


async def is_ready(number, port):
    """Returns whether an entry says that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(host_of(number), port)
        writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
        status = await reader.readline()
        writer.close()
    except OSError:
        return False
    return b" 200 " in status


async def call_forever(number, port, sent, numbers):
    """Sends requests over one connection, opened anew if it ends."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                host_of(number), port
            )
            while True:
                request = f"{next(numbers):016x}"
                sent[request] = (time.monotonic(), number)
                writer.write(
                    f"GET /moved/{request} HTTP/1.1\r\nHost: a.example\r\n"
                    f"X-Attempt-Id: {request}\r\n"
                    "X-Deadline-Ms: 5148\r\n\r\n".encode()
                )
                head = await reader.readuntil(b"\r\n\r\n")
                _, fields = parse_head(head)
                await reader.readexactly(int(fields["content-length"]))
                await asyncio.sleep(PACE_S)
        await asyncio.sleep(0.1)


async def beat(store, upstreams):
    """Writes the heartbeats of the upstreams into the store."""
    for sequence in itertools.count(1):
        for each in upstreams:
            heartbeat = store_items.heartbeat(
                service=each.service,
                address=f"127.0.0.1:{each.port}",
                zone="rhondda",
                seqNo=sequence,
            )
            store.put(store_items.item(f"servers/{each.name}", heartbeat))
        await asyncio.sleep(HEARTBEAT_S)


async def remove(process):
    """Stops a machine as the platform does; it does not start again."""
    process.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(process.wait(), GRACE_S)
    except TimeoutError:
        process.kill()


async def run_round(version, service, store, read):
    """Changes the configuration; returns when it was acknowledged."""
    read.clear()
    await read.wait()
    await asyncio.sleep(CHANGE_AFTER_S)
    config = make_config(version, service)
    store.put(store_items.item("op/config", config))
    acknowledged_at = time.monotonic()
    await asyncio.sleep(OBSERVE_S)
    return acknowledged_at


async def play(processes, tasks, folder):
    """Returns the changes, the requests sent and the services that ran them."""
    runs: dict[str, str] = {}
    sent: dict[str, tuple[float, int]] = {}
    upstreams = [
        Upstream(f"i-{service}-{number}", service, runs)
        for service in ("sheet", "desk")
        for number in range(2)
    ]
    upstreams += [
        Upstream(f"i-till-{number}", "till", runs)
        for number in range(OTHER_UPSTREAMS)
    ]
    for each in upstreams:
        await each.start()
    async with platform_store.PlatformStore() as store:
        store.put(store_items.item("op/config", make_config(1, "sheet")))
        tasks.append(asyncio.create_task(beat(store, upstreams)))
        ports = free_ports(7)
        servers = []
        reads = [asyncio.Event() for _ in range(ENTRIES + 1)]
        for number in range(1, ENTRIES + 1):
            is_fast = number <= FAST_ENTRIES
            rate = FAST_BYTES_PER_S if is_fast else SLOW_BYTES_PER_S
            server, port = await serve_link(store.port, rate, reads[number])
            servers.append(server)
            processes.append(await start_entry(number, ports, port, folder))
        for number in range(1, ENTRIES + 1):
            for _ in range(200):
                if await is_ready(number, ports[1]):
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"entry {number} is not ready")
        await asyncio.sleep(SETTLE_S)
        numbers = itertools.count(1)
        for number in range(2, ENTRIES + 1):
            tasks.append(
                asyncio.create_task(
                    call_forever(number, ports[0], sent, numbers)
                )
            )
        await asyncio.sleep(2.0)
        if TROUBLE:
            await remove(processes[0])
        await asyncio.sleep(REMOVED_S)
        # The reader is the entry with the lowest identifier.
        numbers_left = range(2 if TROUBLE else 1, ENTRIES + 1)
        read = reads[min(numbers_left, key=str)]
        changes = []
        for index in range(ROUNDS):
            service = ("desk", "sheet")[index % 2]
            at = await run_round(2 + index, service, store, read)
            changes.append((at, service))
        return changes, sent, runs


def judge(changes, sent, runs):
    """Returns the requests that were run by the service of an older version."""
    late = []
    if not any(
        at > changes[0][0] + CONFIG_APPLY_S and request in runs
        for request, (at, _) in sent.items()
    ):
        raise RuntimeError("no request was run that can be judged")
    for request, (at, number) in sent.items():
        bound = [each for each in changes if at > each[0] + CONFIG_APPLY_S]
        newer = [each for each in changes if each[0] < at]
        # No version was acknowledged meanwhile that allows another service.
        if not bound or bound[-1] is not newer[-1] or request not in runs:
            continue
        acknowledged_at, service = bound[-1]
        if runs[request] != service:
            late.append((request, number, at - acknowledged_at, runs[request]))
    return late


async def main():
    """Plays the case and writes the record; returns the exit code."""
    processes, tasks = [], []
    try:
        with tempfile.TemporaryDirectory() as folder:
            scenario = play(processes, tasks, pathlib.Path(folder))
            found = await asyncio.wait_for(scenario, 110)
    finally:
        for task in tasks:
            task.cancel()
        for each in processes:
            if each.returncode is None:
                each.kill()
        for each in processes:
            await each.wait()
    changes, sent, runs = found
    late = judge(changes, sent, runs)
    with RECORD.open("w") as record:
        print(f"trouble: {int(TROUBLE)}", file=record)
        print(f"sent: {len(sent)}, run: {len(runs)}", file=record)
        start = changes[0][0]
        for at, service in changes:
            print(
                f"{at - start:.3f} s: a version that moves the route to"
                f" {service} is acknowledged",
                file=record,
            )
            for request, (sent_at, number) in sent.items():
                if 0 <= sent_at - at < OBSERVE_S:
                    print(
                        f"  {sent_at - at:.3f} s after: {request} sent to entry"
                        f" {number}, run by {runs.get(request)}",
                        file=record,
                    )
        print("sent too late for an older version, and run by it:", file=record)
        for request, number, after_s, service in late:
            print(
                f"  {request} at entry {number}, {after_s:.3f} s after,"
                f" by {service}",
                file=record,
            )
        print(f"broken: {len(late)}", file=record)
    print(f"broken: {len(late)} of {len(sent)}")
    return 1 if late else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
