"""Stand-ins and helpers that the scripts of the review share.

They need the standard library only. The programs under test are started with
the command of the deploy file, and settings in the form of its template.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
RUN = ("python3", "deploy/start.py")
OK = 200
PORT_FIRST = 20_000
PORT_END = 32_000
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
# Mean duration of a payment at the users.
PAYMENT_S = 0.29


def free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP at this moment.

    They lie below those that the system gives to outgoing connections.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(PORT_FIRST, PORT_END)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            if port not in found:
                found.append(port)
    return found


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Writes one line with the time."""
        self._file.write(f"{self.now:9.3f} {text}\n")
        self._file.flush()


class Message:
    """Head and body of one HTTP/1.1 message."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ", 2)[1])


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Reads the head of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with a length; None if it is incomplete."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(start, headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body or start.startswith(("HTTP/", "POST")):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """TCP server on a free loopback port while its context is open."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._accept, HOST, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: items, leases and transactions in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, dict] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 100
        self._numbers = itertools.count(500)

    def put(self, key: str, content: object, lease: int = 0) -> None:
        """Writes an item as the operator or an upstream does."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._write(key, value, lease)

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items.pop(key, None)

    def _write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    def expire(self) -> None:
        """Ends the leases whose time is over."""
        now = time.monotonic()
        for lease, (ttl_s, renewed_at) in list(self.leases.items()):
            if now - renewed_at > ttl_s:
                self._end_lease(lease)

    async def serve(self, reader, writer) -> None:
        """Answers the calls on one connection."""
        while True:
            message = await read_message(reader)
            if message is None:
                return
            method, target, _ = message.start.split(" ")
            self.expire()
            status, body = self.answer(method, target, message.body)
            writer.write(
                encode(
                    f"HTTP/1.1 {status} Answer",
                    {"Content-Type": "application/json"},
                    json.dumps(body).encode(),
                )
            )

    def answer(self, method: str, target: str, body: bytes):
        """Performs one call."""
        path, _, query = target.partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        if (method, path) == ("GET", "/api/kv-range"):
            keys = sorted(
                key
                for key in self.items
                if key.startswith(values.get("prefix", ""))
                and key > values.get("after", "")
            )
            return OK, {
                "items": [self.items[key] for key in keys[:500]],
                "hasMore": len(keys) > 500,
                "currentRev": self.revision,
            }
        if (method, path) == ("POST", "/api/kv-lease"):
            lease = next(self._numbers)
            ttl_ms = json.loads(body)["ttlMs"]
            self.leases[lease] = ttl_ms / 1000, time.monotonic()
            return OK, {"lease": lease, "ttlMs": ttl_ms}
        if path.startswith(("/api/kv-keep/", "/api/kv-lease-end/")):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self._end_lease(lease)
                return OK, {}
            ttl_s, _ = self.leases[lease]
            self.leases[lease] = ttl_s, time.monotonic()
            return OK, {"lease": lease, "ttlMs": int(ttl_s * 1000)}
        if (method, path) == ("POST", "/api/kv-txn"):
            return self._transact(json.loads(body))
        return 404, {}

    def _transact(self, body: dict):
        for row in body.get("precondition", []):
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                found = [
                    self.items[each["key"]]
                    for each in body["precondition"]
                    if each["key"] in self.items
                ]
                return 412, {"items": found}
        for row in body.get("writes", []):
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return OK, {"revision": self.revision}


class Upstream(Server):
    """A sound upstream; records which requests it has run."""

    def __init__(self, name: str, ran: dict[str, str]) -> None:
        super().__init__()
        self.name = name
        self.running = 0
        self.reports_load = True
        self.work_s = PAYMENT_S
        self._ran = ran

    def signals(self) -> dict[str, str]:
        """Returns further header fields of each answer."""
        return {}

    def status(self) -> str:
        """Returns the status of the next answer."""
        return "200 OK"

    def arrived(self, attempt: str) -> None:
        """Is called when a request has arrived."""

    async def serve(self, reader, writer) -> None:
        """Answers the requests on one connection."""
        while True:
            head = await read_head(reader)
            if head is None:
                return
            start, headers = head
            left = int(headers.get("content-length", 0))
            while left:
                data = await reader.read(min(left, 1 << 18))
                if not data:
                    return
                left -= len(data)
            answer = {"X-Instance-Id": self.name}
            if self.reports_load:
                answer["X-Server-Load"] = f"{self.running},0,4,100"
            if start.startswith("GET /health"):
                answer |= self.signals()
                writer.write(encode("HTTP/1.1 200 OK", answer))
                continue
            attempt = headers["x-attempt-id"]
            self.arrived(attempt)
            self._ran[attempt] = self.name
            self.running += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
            answer |= self.signals()
            answer |= {
                "X-Attempt-Id": attempt,
                "X-Response-Signature": SIGNATURE,
            }
            writer.write(encode(f"HTTP/1.1 {self.status()}", answer, b"done"))


@dataclasses.dataclass(frozen=True)
class Result:
    """What a client saw of one request.

    Attributes:
        attempt: Identifier of the attempt.
        answer: Status, or ``closed`` or ``no answer``.
        seconds: Time from the end of sending to the answer or the end.
        kept: Whether an earlier request was answered on the connection.
    """

    attempt: str
    answer: str
    seconds: float
    kept: bool


class Client:
    """Sends requests one after the other on a kept connection.

    It waits for each answer until its deadline, and opens another connection
    after an answer that is no success.
    """

    DEADLINE_S = 5.0

    def __init__(self, name: str, port: int, results: list[Result]) -> None:
        self._name = name
        self._port = port
        self._results = results
        self.on_send = lambda attempt: None

    async def run(self, path: str, body: bytes, pause_s: float, until: float):
        """Sends requests until a monotonic time."""
        number = 0
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(HOST, self._port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            kept = False
            while time.monotonic() < until:
                number += 1
                attempt = f"{self._name}-{number}"
                self.on_send(attempt)
                answer, seconds = await self._send(
                    reader, writer, path, body, attempt
                )
                self._results.append(Result(attempt, answer, seconds, kept))
                if answer != "200":
                    break
                kept = True
                await asyncio.sleep(pause_s)
            writer.transport.abort()
            await asyncio.sleep(0.1)

    async def _send(self, reader, writer, path, body, attempt):
        head = (
            f"POST {path}{attempt} HTTP/1.1\r\nHost: jepu9.example\r\n"
            f"X-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {int(self.DEADLINE_S * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(self.DEADLINE_S):
                writer.write(head.encode())
                writer.write(body)
                await writer.drain()
                sent_at = time.monotonic()
                message = await read_message(reader)
                answer = str(message.status) if message else "closed"
        except TimeoutError:
            answer = "no answer"
        except ConnectionError:
            answer = "closed"
        return answer, time.monotonic() - sent_at


def heartbeat(service: str, port: int, zone: str, **changes: object) -> dict:
    """Returns the entry of an upstream in the store."""
    values: dict[str, object] = {
        "service": service,
        "address": f"{HOST}:{port}",
        "zone": zone,
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "warmupLeftMs": 0,
        "seqNo": 1,
        "born": int(time.time() * 1000) - 60_000,
    }
    return values | changes


def route(name: str, prefix: str, kind: str, service: str, **changes) -> dict:
    """Returns a route of the configuration."""
    values = {
        "name": name,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    return values | changes


def configuration(version: str, services: list[str], routes: list[dict]):
    """Returns a configuration with the limits of the users' deployments."""
    return {
        "version": version,
        "services": [
            {"name": each, "healthPath": "/health", "maxConnections": 220}
            for each in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "virtualHosts": [{"host": "jepu9.example", "paths": routes}],
    }


class Entry:
    """A process of the role ``entry``, started as on the platform."""

    def __init__(self, name: str, zone: str, store_port: int, **bounds) -> None:
        self.name = name
        self._zone = zone
        self._store_port = store_port
        self._bounds = {
            "drain_ms": 2000,
            "config_apply_ms": 2000,
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_extra": 58,
            "directory_lifetime_max_s": 5,
        } | bounds
        ports = free_ports(5)
        self.port, self.readiness, self.directory, self.peer = ports[:4]
        self._metrics = ports[4]
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        settings = {
            "entry_id": self.name,
            "data_center": self._zone,
            "host": HOST,
            "callers": f"{HOST}:{self.port}",
            "readiness": f"{HOST}:{self.readiness}",
            "directory": f"{HOST}:{self.directory}",
            "entry_ports": [self.peer, self.peer],
            "bounds": self._bounds,
            "seeds": None,
            "store": {"address": f"{HOST}:{self._store_port}"},
        }
        path = self._folder / "boot.json"
        path.write_text(json.dumps(settings))
        kept = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SESAMEVALE_NODE_FILE": str(path),
            "SESAMEVALE_METRICS_PORT": str(self._metrics),
        }
        with (self._folder / "output.txt").open("ab") as output:
            self.process = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the readiness page answers 200."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await get_status(self.readiness, "/api/readiness") == OK:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(
            f"{self.name} is not ready; {self.output()[-600:]}"
        )

    def output(self) -> str:
        """Returns what the process has logged."""
        path = self._folder / "output.txt"
        return path.read_text(errors="replace") if path.exists() else ""

    def events(self, *names: str) -> list[dict]:
        """Returns the logged events of some names."""
        found = []
        for line in self.output().splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get("event") in names:
                    found.append(event)
        return found

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and removes its files."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not be set up."""


async def get_status(port: int, path: str) -> int:
    """Returns the status of a page; 0 without an answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                message = await read_message(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return 0
    return message.status if message else 0


def run(main, folder: pathlib.Path) -> None:
    """Runs a case; ``main`` returns whether the rule held."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")

    async def limited() -> bool:
        async with asyncio.timeout(110.0):
            return await main(record, trouble)

    try:
        held = asyncio.run(limited())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    verdict = "the rule held" if held else "the rule was broken"
    record.write(verdict)
    print(verdict)
    sys.exit(0 if held else 1)
