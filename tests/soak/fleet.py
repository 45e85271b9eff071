"""Fleet of the soak: entries as processes, with their store and upstreams."""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

from sesamevale.platform import decoding
from tests.builders import loopback
from tests.builders import store_items
from tests.soak import launch
from tests.soak import proxy
from tests.standins import platform_store
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SHIFTED_CLOCK_FOLDER = pathlib.Path(__file__).parent / "shifted_clock"
MODULE = "sesamevale.platform"
BOUND_MS = 2000
TIMEOUT_MS = 1500
HEARTBEAT_S = 0.5
# Each clock is shifted by at most this much either way, so the clocks of two
# processes differ by at most twice as much.
CLOCK_SHIFT_MAX_S = 30.0


class Upstream(scripted_upstream.ScriptedUpstream):
    """Answers with the attempt's id; rejects a share of the requests.

    Requests that expect another upstream get status 421. ``failure_share`` is
    the share of answers that are cut off and reset after the request has run;
    half of it is the share of rejected requests.
    """

    def __init__(self, upstream_id, rng, runs):
        super().__init__(upstream_id)
        self.rng = rng
        self.runs = runs
        self.failure_share = 0.0

    async def _send_scripted(self, http, reader, writer, answer, request):
        attempt = dict(request.headers)[b"x-attempt-id"].decode()
        expected = dict(request.headers)[b"x-expected-instance"].decode()
        if expected != self.upstream_id:
            answer = scripted_upstream.rejection(421)
        elif self.rng.random() < self.failure_share / 2:
            answer = scripted_upstream.rejection()
        else:
            self.runs[attempt] += 1
            body = f"answer to {attempt}".encode()
            work_s = self.rng.uniform(0.005, 0.06)
            if self.rng.random() < 0.02:
                work_s = self.rng.uniform(0.5, 2.0)
            lost = self.rng.random() < self.failure_share
            answer = ScriptedAnswer(body=body, delay_s=work_s)
            if lost:
                raw = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf"
                answer = ScriptedAnswer(raw=raw, reset=True, delay_s=work_s)
        return await super()._send_scripted(
            http, reader, writer, answer, request
        )


class Store(platform_store.PlatformStore):
    """Store that replaces the entries' registered ports by their proxies'."""

    def __init__(self):
        super().__init__()
        self.entry_proxies = {}

    def put(self, item):
        if item["key"].startswith(decoding.REGISTRATION_PREFIX):
            address = json.loads(base64.b64decode(item["value"]))
            address["entry_port"] = self.entry_proxies[address["entry_id"]].port
            value = base64.b64encode(json.dumps(address).encode()).decode()
            item = item | {"value": value}
        super().put(item)


class Entry:
    """One entry as a process; proxies stand before it and before its store.

    Other entries reach it through ``link``, and it reaches the store through
    ``store``. Its wall clock is shifted.
    """

    def __init__(self, name, data_center, store_port, folder, rng):
        self.rng = rng
        self.name = name
        self.data_center = data_center
        self.folder = folder
        self.start_count = 0
        self.stopped = False
        self.paused = False
        self.disturbed_at = 0.0
        self.store = proxy.Proxy(store_port)
        self.process = None
        self.ports = loopback.free_ports(5)
        self.link = proxy.Proxy(self.ports[3])

    @property
    def port(self):
        return self.ports[0]

    def start(self):
        self.start_count += 1
        callers, readiness, directory, entry, metrics = self.ports
        settings = {
            "entry_id": self.name,
            "data_center": self.data_center,
            "host": HOST,
            "callers": f"{HOST}:{callers}",
            "readiness": f"{HOST}:{readiness}",
            "directory": f"{HOST}:{directory}",
            "entry_ports": [entry, entry],
            "bounds": {
                "grace_s": 6.0,
                "retry_ratio": 0.2,
                "retry_extra": 60,
                "drain_ms": BOUND_MS,
                "config_apply_ms": BOUND_MS,
            },
            "store": {"address": f"{HOST}:{self.store.port}"},
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        shift_s = self.rng.uniform(-CLOCK_SHIFT_MAX_S, CLOCK_SHIFT_MAX_S)
        environment = os.environ | {
            "PYTHONPATH": f"{ROOT / 'src'}:{SHIFTED_CLOCK_FOLDER}",
            "SOAK_CLOCK_SHIFT_S": str(shift_s),
            "SESAMEVALE_NODE_FILE": str(path),
            "SESAMEVALE_METRICS_PORT": str(metrics),
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        with log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", MODULE],
                cwd=ROOT,
                env=environment,
                preexec_fn=launch.end_with_parent,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def restart(self, number):
        """Sends a signal, waits for the exit and starts the process again.

        A process that has not exited within 8 seconds is killed.
        """
        self.stopped = True
        self.signal(number)
        for _ in range(160):
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            self.process.kill()
            self.process.wait()
        self.start()
        self.stopped = False
        self.disturbed_at = time.monotonic()

    async def pause(self, seconds):
        self.paused = True
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        self.paused = False
        self.disturbed_at = time.monotonic()

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """Everything that one run of the soak starts; kills only its processes."""

    def __init__(self, seed, folder, *, entries, upstreams):
        self.seed = seed
        rng = random.Random(seed)
        self.folder = folder
        self.runs = collections.Counter()
        self.store = Store()
        self.version = 0
        self.upstreams = [
            Upstream(f"i-{number}", rng, self.runs)
            for number in range(upstreams)
        ]
        self.proxies = []
        self.entries = []
        self.heartbeats = {}
        self._entry_count = entries

    async def __aenter__(self):
        self._stack = contextlib.AsyncExitStack()
        await self._stack.enter_async_context(self.store)
        for number, each in enumerate(self.upstreams):
            await self._stack.enter_async_context(each)
            upstream_proxy = proxy.Proxy(each.port)
            await self._stack.enter_async_context(upstream_proxy)
            self.proxies.append(upstream_proxy)
            self.heartbeats[each.upstream_id] = store_items.heartbeat(
                address=f"{HOST}:{upstream_proxy.port}",
                zone="ab"[number % 2],
                seqNo=1,
            )
        self.configure()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        for number in range(self._entry_count):
            entry = Entry(
                f"e-{number}",
                "ab"[number % 2],
                self.store.port,
                self.folder,
                random.Random(f"{self.seed} {number}"),
            )
            await self._stack.enter_async_context(entry.store)
            await self._stack.enter_async_context(entry.link)
            self.store.entry_proxies[entry.name] = entry.link
            entry.start()
            self.entries.append(entry)
        return self

    async def __aexit__(self, *exc_info):
        self._heartbeat_task.cancel()
        for entry in self.entries:
            entry.kill()
        await self._stack.aclose()

    def configure(self):
        """Publishes the next configuration; each version adds a route."""
        self.version += 1
        paths = [
            store_items.route(timeoutMs=TIMEOUT_MS),
            store_items.route(
                name="charge",
                prefix="/charge/",
                kind="unsafe",
                timeoutMs=TIMEOUT_MS,
            ),
        ]
        paths += [
            store_items.route(
                name=f"v{number}",
                prefix=f"/v{number}/",
                timeoutMs=TIMEOUT_MS,
            )
            for number in range(1, self.version + 1)
        ]
        config = store_items.config(f"r{self.version}", paths)
        self.store.put(store_items.item("op/config", config))

    async def _send_heartbeats(self):
        while True:
            for name, heartbeat in self.heartbeats.items():
                heartbeat["seqNo"] += 1
                self.store.put(store_items.item(f"servers/{name}", heartbeat))
            await asyncio.sleep(HEARTBEAT_S)
