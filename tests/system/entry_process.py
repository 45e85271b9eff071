"""A daemon for the users' platform as a process, with its peers' stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

from tests.builders import loopback
from tests.builders import store_items
from tests.standins import answer_reader
from tests.standins import platform_store
from tests.standins import scripted_upstream

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MODULE = "sesamevale.platform"
ROUTES = [
    store_items.route(timeoutMs=3000),
    store_items.route(
        name="charge", prefix="/charge/", kind="unsafe", timeoutMs=3000
    ),
]


class Entry:
    """A daemon process with stand-ins for the store and one upstream.

    ``bounds`` are bounds of the settings that differ from the usual ones,
    ``machine`` the resources of the machine if they are limited, and
    ``program`` holds the arguments of the interpreter.
    """

    program = ("-m", MODULE)

    def __init__(self, folder, answers=(), config=None, machine=None, **bounds):
        self.folder = folder
        self.machine = machine
        self.bounds = {"grace_s": 3.0, "retry_extra": 10} | bounds
        self.store = platform_store.PlatformStore()
        self.upstream = scripted_upstream.ScriptedUpstream("i-1", answers)
        self.config = store_items.config("r1", ROUTES)
        if config is not None:
            self.config = config
        self.output = b""

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        await self.stack.enter_async_context(self.store)
        await self.stack.enter_async_context(self.upstream)
        self.ports = loopback.free_ports(6)
        self.put_heartbeat()
        if self.config:
            self.put_configuration(self.config)
        await self.start()
        return self

    async def __aexit__(self, *exc_info):
        if self.process.returncode is None:
            await self._end_process(print_output=exc_info[0] is not None)
        await self.stack.aclose()

    async def _end_process(self, *, print_output):
        """Ends the process; after a failure with its stack and its output."""
        self.process.send_signal(
            signal.SIGABRT if print_output else signal.SIGKILL
        )
        output, _ = await self.process.communicate()
        if print_output:
            print(output.decode(errors="replace"))

    def put_configuration(self, config):
        self.store.put(store_items.item("op/config", config))

    def put_heartbeat(self, **changes):
        address = f"{HOST}:{self.upstream.port}"
        heartbeat = store_items.heartbeat(address=address, **changes)
        self.store.put(store_items.item("servers/i-1", heartbeat))

    async def start(self):
        callers, readiness, directory, entry, metrics, last = self.ports
        settings = {
            "entry_id": "e-1",
            "data_center": "here",
            "host": HOST,
            "callers": f"{HOST}:{callers}",
            "readiness": f"{HOST}:{readiness}",
            "directory": f"{HOST}:{directory}",
            "entry_ports": [entry, last],
            "bounds": self.bounds,
            "store": {"address": f"{HOST}:{self.store.port}"},
        }
        if self.machine is not None:
            settings["machine"] = self.machine
        path = self.folder / "settings.json"
        path.write_text(json.dumps(settings))
        environment = os.environ | {
            "PYTHONPATH": str(ROOT / "src"),
            "PYTHONFAULTHANDLER": "1",
            "SESAMEVALE_NODE_FILE": str(path),
            "SESAMEVALE_METRICS_PORT": str(metrics),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.program,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(200):
            with contextlib.suppress(OSError):
                if await self.get(readiness, "/api/readiness"):
                    return
            await asyncio.sleep(0.05)
        raise AssertionError("the daemon does not answer on its readiness port")

    async def wait_readiness(self, expected=200):
        for _ in range(100):
            status, _, _ = await self.get(self.ports[1], "/api/readiness")
            if status == expected:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"readiness did not reach status {expected}")

    async def get(self, port, target, *, method="GET", headers=()):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", "Host: a.example"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            return await answer_reader.read_answer(reader)
        finally:
            writer.close()

    async def call(
        self,
        target,
        attempt="attempt-1",
        method="GET",
        deadline_ms=3000,
        headers=(),
    ):
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", str(deadline_ms)),
            *headers,
        ]
        return await self.get(
            self.ports[0], target, method=method, headers=headers
        )

    def is_importing(self):
        """Returns whether the process has begun to import its modules."""
        maps = pathlib.Path(f"/proc/{self.process.pid}/maps")
        return "asyncio" in maps.read_text()

    async def stop(self):
        """Stops the daemon and returns the events that it has logged."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGTERM)
        output, _ = await asyncio.wait_for(self.process.communicate(), 10)
        return [json.loads(line) for line in output.splitlines()]


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))
