"""Fleets of entries and stand-ins, each in a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from sesamevale import document_models
from sesamevale.etcd import client
from sesamevale.etcd import store
from sesamevale.operators import document_files
from tests.builders import loopback
from tests.standins import http_client

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0


class Process:
    """A child process whose output goes to a temporary file."""

    def __init__(self, name: str, arguments: list[str], module: str):
        self.name = name
        self.log = tempfile.TemporaryFile()  # noqa: SIM115
        environment = dict(os.environ, PYTHONPATH=f"{ROOT}/src:{ROOT}")
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=self.log,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            env=environment,
        )

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def running(self) -> bool:
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        return self._process.poll()

    def signal(self, number: int) -> None:
        if self.running:
            self._process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self._process.wait()

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP; its connections stay open."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.signal(signal.SIGCONT)

    def output(self) -> str:
        self.log.seek(0)
        return self.log.read().decode(errors="replace")

    def close(self) -> None:
        self.thaw()
        self.kill()
        self.log.close()


class EntryProcess(Process):
    """A ``sesamevaled`` that listens on three loopback ports.

    The ports are those for callers, for peers and for the admin server, in
    this order.
    """

    def __init__(
        self,
        entry_id: str,
        environment: str,
        data_center: str,
        ports: list[int],
        extra: list[str],
        module: str = "sesamevale.daemon",
    ):
        self.entry_id = entry_id
        self.caller_port, self.peer_port, self.admin_port = ports
        self.arguments = [
            f"--entry-id={entry_id}",
            f"--environment={environment}",
            f"--data-center={data_center}",
            f"--callers={HOST}:{self.caller_port}",
            f"--peers-listen={HOST}:{self.peer_port}",
            f"--admin={HOST}:{self.admin_port}",
            *extra,
        ]
        super().__init__(entry_id, self.arguments, module)

    async def status(self) -> dict | None:
        """Returns the admin server's status; None if it doesn't answer."""
        async with http_client.Client(HOST, self.admin_port, 5.0) as admin:
            answer = await admin.call("GET", "/status")
        return json.loads(answer.body) if answer is not None else None


class Fleet:
    """Entries and stand-ins for upstreams and for the platform.

    Leaving the context kills all processes.
    """

    def __init__(self) -> None:
        self.processes: list[Process] = []
        self.entries: dict[str, EntryProcess] = {}
        self.platform: Process | None = None
        self.platform_port = 0
        self.environment = ""
        self.peer_ports: list[int] = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for process in reversed(self.processes):
            process.close()

    async def start_platform(self) -> None:
        (self.platform_port,) = loopback.free_ports(1)
        self.platform = Process(
            "platform",
            [f"--port={self.platform_port}"],
            "tests.standins.etcd",
        )
        self.processes.append(self.platform)
        await wait_listening(self.platform_port)

    async def start_upstreams(
        self,
        ports: list[int],
        slots: int = 4,
        mean_ms: float = 10.0,
        seed: int = 1,
    ) -> Process:
        process = Process(
            "upstreams",
            [
                f"--ports={','.join(map(str, ports))}",
                f"--slots={slots}",
                f"--mean-ms={mean_ms}",
                f"--seed={seed}",
            ],
            "tests.standins.upstream",
        )
        self.processes.append(process)
        await wait_listening(ports[-1])
        return process

    def start_entry(
        self,
        entry_id: str,
        environment: str,
        data_center: str = "rhondda",
        *,
        ports: list[int] | None = None,
        extra: list[str] | None = None,
        module: str = "sesamevale.daemon",
    ) -> EntryProcess:
        arguments = list(extra or [])
        if self.platform_port:
            arguments.append(f"--platform={HOST}:{self.platform_port}")
        if self.peer_ports:
            seeds = ",".join(f"{HOST}:{port}" for port in self.peer_ports[:3])
            arguments.append(f"--seeds={seeds}")
        entry = EntryProcess(
            entry_id,
            environment,
            data_center,
            ports or loopback.free_ports(3),
            arguments,
            module,
        )
        if entry.peer_port not in self.peer_ports:
            self.peer_ports.append(entry.peer_port)
        self.processes.append(entry)
        self.entries[entry_id] = entry
        return entry

    async def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until all running entries are ready.

        Each has a document and lists just the running entries as alive.
        """
        running = [each for each in self.entries.values() if each.running]
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            statuses = [await each.status() for each in running]
            if all(_ready(status, len(running)) for status in statuses):
                return
            await asyncio.sleep(0.1)
        logs = "\n".join(each.output()[-2000:] for each in running)
        raise AssertionError(f"entries are not ready\n{logs}")

    async def control_platform(self, **changes: object) -> None:
        await control(self.platform_port, **changes)

    async def submit(self, model: document_models.DocumentModel, author="test"):
        """Submits a document, based on the platform's head revision."""
        address = client.Address(HOST, self.platform_port)
        async with client.KeyValueClient(address, lambda *_: None) as kv_client:
            documents = store.DocumentStore(kv_client, model.environment)
            head = await documents.head()
            return await documents.submit(
                document_models.to_parts(model), head, author
            )

    def client(self, entry_id: str, timeout_s=30.0) -> http_client.Client:
        port = self.entries[entry_id].caller_port
        return http_client.Client(HOST, port, timeout_s)


def _ready(status: dict | None, count: int) -> bool:
    if status is None or not status["revision"]:
        return False
    alive = [each for each in status["members"] if each["status"] == "alive"]
    return len(alive) == count


async def control(port: int, **changes: object) -> None:
    """Sets attributes of the stand-in that listens on a port."""
    async with http_client.Client(HOST, port, 5.0) as standin:
        body = json.dumps(changes).encode()
        answer = await standin.call("POST", "/_control", {}, body)
        assert answer is not None and answer.status == 200


async def stats(port: int, path: str = "/_stats") -> dict:
    """Reads the counters of the stand-in that listens on a port."""
    async with http_client.Client(HOST, port, 5.0) as standin:
        answer = await standin.call("GET", path)
        assert answer is not None
        return json.loads(answer.body)


async def page(port: int, path: str) -> str:
    """Reads a page of the admin server that listens on a port."""
    async with http_client.Client(HOST, port, 5.0) as admin:
        answer = await admin.call("GET", path)
        assert answer is not None
        return answer.body.decode()


async def ticket(client_: http_client.Client, service: str = "") -> str:
    """Fetches a ticket from an entry's directory."""
    path = f"/.well-known/sesamevale/directory?service={service}"
    answer = await client_.call("GET", path)
    assert answer is not None and answer.status == 200, answer
    return json.loads(answer.body)["ticket"]


async def wait_listening(port: int, timeout_s: float = START_TIMEOUT_S) -> None:
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"nothing listens on port {port}")


async def wait_until(condition, timeout_s: float = 10.0, step_s=0.05) -> None:
    """Waits until an async condition holds."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if await condition():
            return
        await asyncio.sleep(step_s)
    raise AssertionError("the condition did not hold before the timeout")


def load_document(path: str) -> document_models.DocumentModel:
    model = document_files.load(str(ROOT / path))
    assert isinstance(model, document_models.DocumentModel), model
    return model
