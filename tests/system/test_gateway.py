"""Tests of the daemon for the users' platform as a process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

import pytest

from tests.builders import loopback
from tests.builders import store_items
from tests.standins import platform_store
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

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
    """A daemon process with stand-ins for the store and one upstream."""

    def __init__(self, folder, answers=(), config=None):
        self.folder = folder
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
        self.ports = loopback.free_ports(5)
        self.put_heartbeat()
        if self.config:
            self.put_configuration(self.config)
        await self.start()
        return self

    async def __aexit__(self, *exc_info):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.communicate()
        await self.stack.aclose()

    def put_configuration(self, config):
        self.store.put(store_items.item("op/config", config))

    def put_heartbeat(self, **changes):
        address = f"{HOST}:{self.upstream.port}"
        heartbeat = store_items.heartbeat(address=address, **changes)
        self.store.put(store_items.item("servers/i-1", heartbeat))

    async def start(self):
        callers, readiness, directory, entry, metrics = self.ports
        settings = {
            "entry_id": "e-1",
            "data_center": "here",
            "host": HOST,
            "callers": f"{HOST}:{callers}",
            "readiness": f"{HOST}:{readiness}",
            "directory": f"{HOST}:{directory}",
            "entry_ports": [entry, entry],
            "bounds": {"grace_s": 3.0, "retry_extra": 10},
            "store": {"address": f"{HOST}:{self.store.port}"},
        }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(settings))
        environment = os.environ | {
            "PYTHONPATH": str(ROOT / "src"),
            "SESAMEVALE_NODE_FILE": str(path),
            "SESAMEVALE_METRICS_PORT": str(metrics),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            MODULE,
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
            return await read_answer(reader)
        finally:
            writer.close()

    async def call(self, target, attempt="attempt-1", method="GET"):
        headers = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "3000")]
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


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    status = int(head[0].split()[1])
    headers = {}
    for line in head[1:-2]:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, headers, body


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def test_a_request_is_served_and_can_be_explained(tmp_path):
    async def scenario():
        async with Entry(tmp_path, [ScriptedAnswer(body=b"sheet")]) as entry:
            await entry.wait_readiness()
            status, headers, body = await entry.call("/read/1")
            assert (status, body) == (200, b"sheet")
            assert headers["x-response-signature"] == "signed"
            events = await entry.stop()
            of_request = [
                each for each in events if each.get("request") == "attempt-1"
            ]
            assert [each["event"] for each in of_request] == [
                "attempt",
                "request",
            ]
            assert of_request[0]["upstream"] == "i-1"
            assert of_request[1]["config"] == 1
            names = [each["event"] for each in events]
            assert names[-1] == "stopped"
            assert {"started", "ready", "stopping"} <= set(names)
            for name in ("config_in_force", "upstreams_known"):
                assert 0 <= events[names.index(name)]["age_s"] < 1

    run(scenario())


def test_directory_answers_with_the_address_for_callers(tmp_path):
    async def scenario():
        async with Entry(tmp_path) as entry:
            await entry.wait_readiness()
            for _ in range(50):
                status, _, body = await entry.get(
                    entry.ports[2], "/api/resolve?name=a&zone=here"
                )
                if status == 200:
                    break
                await asyncio.sleep(0.05)
            answer = json.loads(body)
            assert answer["addresses"] == [f"{HOST}:{entry.ports[0]}"]
            assert 0 < answer["ttlS"] <= 5

    run(scenario())


def test_requests_get_503_until_a_configuration_is_known(tmp_path):
    async def scenario():
        async with Entry(tmp_path, config={}) as entry:
            await entry.wait_readiness(503)
            status, headers, _ = await entry.call("/read/1")
            assert status == 503
            assert float(headers["retry-after"]) > 0
            entry.put_configuration(store_items.config("r1", ROUTES))
            await entry.wait_readiness()
            assert (await entry.call("/read/1"))[0] == 200

    run(scenario())


def test_a_route_that_is_nowhere_is_not_found_unless_news_may_be_missing(
    tmp_path,
):
    async def scenario():
        async with Entry(tmp_path) as entry:
            await entry.wait_readiness()
            assert (await entry.call("/none/1"))[0] == 404
            entry.store.standing_fault = "refused"
            await asyncio.sleep(2.2)
            assert (await entry.call("/none/1"))[0] == 503
            assert (await entry.call("/read/1"))[0] == 200

    run(scenario())


def test_an_older_version_is_never_put_in_force_again(tmp_path):
    async def scenario():
        async with Entry(tmp_path) as entry:
            await entry.wait_readiness()
            entry.put_configuration(store_items.config("r5", ROUTES[:1]))
            await asyncio.sleep(1.6)
            assert (await entry.call("/charge/1", method="POST"))[0] == 404
            entry.put_configuration(store_items.config("r4", ROUTES))
            await asyncio.sleep(1.6)
            status, _, _ = await entry.call("/charge/1", method="POST")
            assert status in (404, 503)
            assert not entry.upstream.requests
            assert (await entry.call("/read/1"))[0] == 200

    run(scenario())


def test_a_stopping_entry_finishes_what_it_has_begun(tmp_path):
    async def scenario():
        async with Entry(tmp_path, [ScriptedAnswer(delay_s=1.0)]) as entry:
            await entry.wait_readiness()
            pending = asyncio.create_task(
                entry.call("/charge/1", method="POST")
            )
            await asyncio.sleep(0.3)
            entry.process.send_signal(signal.SIGTERM)
            await entry.wait_readiness(503)
            status, headers, body = await pending
            assert (status, body) == (200, b"done")
            assert headers["connection"] == "close"
            assert (await entry.call("/read/1"))[0] == 200
            await asyncio.wait_for(entry.process.wait(), 5)
            assert entry.process.returncode == 0
            assert not [
                key
                for key in entry.store.items
                if key.startswith("sesamevale/")
            ]

    run(scenario())


def test_a_body_that_is_too_long_is_refused(tmp_path):
    async def scenario():
        async with Entry(tmp_path) as entry:
            await entry.wait_readiness()
            status, _, _ = await entry.get(
                entry.ports[0],
                "/charge/1",
                method="POST",
                headers=[("Content-Length", "70000")],
            )
            assert status == 413

    run(scenario())


@pytest.mark.parametrize(
    "framing",
    [
        [("Content-Length", "3"), ("Transfer-Encoding", "chunked")],
        [("Content-Length", "3"), ("Content-Length", "4")],
    ],
    ids=["both", "two"],
)
def test_a_request_that_can_be_read_in_two_ways_is_refused(tmp_path, framing):
    async def scenario():
        async with Entry(tmp_path) as entry:
            await entry.wait_readiness()
            status, _, _ = await entry.get(
                entry.ports[0], "/charge/1", method="POST", headers=framing
            )
            assert status == 400
            assert not entry.upstream.requests

    run(scenario())


def test_metrics_and_status_are_served(tmp_path):
    async def scenario():
        async with Entry(tmp_path) as entry:
            await entry.wait_readiness()
            await entry.call("/read/1")
            _, _, text = await entry.get(entry.ports[4], "/metrics")
            assert b"sesamevale_call_seconds" in text
            assert b"sesamevale_config_version 1.0" in text
            _, _, text = await entry.get(entry.ports[4], "/status")
            assert json.loads(text)["ready"] is True

    run(scenario())


def test_changed_settings_are_checked_and_cut_nothing(tmp_path):
    async def scenario():
        async with Entry(tmp_path, [ScriptedAnswer(delay_s=0.5)]) as entry:
            await entry.wait_readiness()
            pending = asyncio.create_task(entry.call("/read/1"))
            await asyncio.sleep(0.2)
            (tmp_path / "settings.json").write_text("{}")
            entry.process.send_signal(signal.SIGHUP)
            assert (await pending)[0] == 200
            events = await entry.stop()
            refused = [
                each for each in events if each["event"] == "reload_refused"
            ]
            assert "entry_id" in refused[0]["why"]

    run(scenario())


def test_a_signal_for_changed_settings_ends_no_process_that_starts(tmp_path):
    async def scenario():
        async with Entry(tmp_path) as entry:
            entry.process.kill()
            await entry.process.communicate()
            starting = asyncio.create_task(entry.start())
            for _ in range(20):
                await asyncio.sleep(0.02)
                if entry.process.returncode is None and entry.is_importing():
                    entry.process.send_signal(signal.SIGHUP)
            await starting
            await entry.wait_readiness()
            assert (await entry.call("/read/1"))[0] == 200

    run(scenario())
