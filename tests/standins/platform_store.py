"""Stand-in for the store of the users' platform.

Keeps its items in memory and serves them over real sockets. ``faults`` lists
what happens to the next calls, one each:

``ok``: The call is answered.
``refused``, ``busy``: Status 503 or 429, without effect.
``reset``: The connection is aborted, without effect.
``silent``: No effect and no answer for 60 s.
``lost``: The call takes effect but gets no answer for 60 s.
``late``: The call takes effect after ``late_s`` but gets no answer for 60 s.
``slow``: The call is answered after ``SLOW_S``.
``garbled``: The answer's JSON is cut in half.

``standing_fault`` applies to every call while it is set.

The store can come back from a copy: ``copy`` takes one, and ``restore`` goes
back to it. Revisions and leases are then given out again, and the era rises.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import urllib.parse

import h11

from tests.standins import loopback_server

SLOW_S = 0.2
# Interval between the pieces of a body that ``bytes_per_s`` slows down.
SLOW_STEP_S = 0.05


@dataclasses.dataclass(frozen=True)
class Copy:
    """Copy of a store's contents, from which it can come back."""

    items: dict[str, dict]
    leases: frozenset[int]
    revision: int
    next_lease: int


class PlatformStore(loopback_server.LoopbackServer):
    """Items and leases in memory.

    Attributes:
      calls: Method and target of every call.
      page_size: Highest number of items in the answer to a range read.
      rejects_empty_transactions: Whether a transaction without writes gets
        status 400.
      sent_bytes: Bytes of all bodies sent.
      bytes_per_s: Rate at which bodies are sent; 0 sends them at once.
      era: Value of the header field ``Store-Era``; 0 for none.
      late_s: Seconds after which a call with the fault ``late`` is executed.
    """

    def __init__(self, page_size=500):
        super().__init__()
        self.items: dict[str, dict] = {}
        self.leases: set[int] = set()
        self.faults: collections.deque[str] = collections.deque()
        self.standing_fault = ""
        self.calls: list[str] = []
        self.revision = 10
        self.page_size = page_size
        self.rejects_empty_transactions = False
        self.sent_bytes = 0
        self.bytes_per_s = 0.0
        self.era = 0
        self.late_s = 1.0
        self._next_lease = 100

    def put(self, item: dict) -> None:
        self.revision += 1
        known = self.items.get(item["key"])
        self.items[item["key"]] = item | {
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
        }

    def remove(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)

    def copy(self) -> Copy:
        return Copy(
            dict(self.items),
            frozenset(self.leases),
            self.revision,
            self._next_lease,
        )

    def restore(self, copy: Copy) -> None:
        self.items = dict(copy.items)
        self.leases = set(copy.leases)
        self.revision = copy.revision
        self._next_lease = copy.next_lease
        self.era += 1

    def expire_lease(self, lease: int) -> None:
        self.leases.discard(lease)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def _serve(self, reader, writer):
        http = h11.Connection(h11.SERVER)
        while True:
            request, body = await self._read(http, reader)
            if request is None or not await self._answer(
                http, writer, request, body
            ):
                return
            http.start_next_cycle()

    async def _answer(self, http, writer, request, body):
        target = request.target.decode()
        self.calls.append(f"{request.method.decode()} {target}")
        fault = self.standing_fault
        if not fault and self.faults:
            fault = self.faults.popleft()
        if fault == "reset":
            writer.transport.abort()
            return False
        if fault == "silent":
            await asyncio.sleep(60)
        if fault == "slow":
            await asyncio.sleep(SLOW_S)
        if fault == "late":
            asyncio.get_running_loop().call_later(
                self.late_s, self._handle, fault, request, target, body
            )
            await asyncio.sleep(60)
        status, content = self._handle(fault, request, target, body)
        if fault == "lost":
            await asyncio.sleep(60)
        data = json.dumps(content).encode()
        if fault == "garbled":
            data = data[: len(data) // 2]
        headers = [("content-length", str(len(data)))]
        if self.era:
            headers.append(("Store-Era", str(self.era)))
        response = h11.Response(status_code=status, headers=headers)
        writer.write(http.send(response))
        await self._send_body(http, writer, data)
        writer.write(http.send(h11.EndOfMessage()))
        return True

    async def _send_body(self, http, writer, data):
        self.sent_bytes += len(data)
        if not self.bytes_per_s:
            writer.write(http.send(h11.Data(data=data)))
            return
        step = int(self.bytes_per_s * SLOW_STEP_S)
        for start in range(0, len(data), step):
            writer.write(http.send(h11.Data(data=data[start : start + step])))
            await asyncio.sleep(SLOW_STEP_S)

    def _handle(self, fault, request, target, body):
        if fault == "refused":
            return 503, {}
        if fault == "busy":
            return 429, {}
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        content = json.loads(body) if body else {}
        if path == "/api/kv-range":
            return 200, self._range(parameters)
        if path == "/api/kv-watch" and (
            int(parameters["after"]) > self.revision
        ):
            return 410, {}
        if path == "/api/kv-lease":
            self._next_lease += 1
            self.leases.add(self._next_lease)
            granted = {"lease": self._next_lease, "ttlMs": content["ttlMs"]}
            return 200, granted
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            return (200, {"ttlMs": 3000}) if lease in self.leases else (404, {})
        if path.startswith("/api/kv-lease-end/"):
            self.expire_lease(int(path.rpartition("/")[2]))
            return 200, {}
        if path == "/api/kv-txn":
            return self._write(content)
        return 404, {}

    def _range(self, parameters):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(parameters["prefix"])
            and key > parameters.get("after", "")
        )
        return {
            "items": [self.items[key] for key in keys[: self.page_size]],
            "hasMore": len(keys) > self.page_size,
            "currentRev": self.revision,
        }

    def _write(self, content):
        if self.rejects_empty_transactions and not content["writes"]:
            return 400, {}
        conditions = content["precondition"]
        found = [self.items.get(each["key"]) for each in conditions]
        if any(
            (item["revision"] if item else 0) != each["revision"]
            for item, each in zip(found, conditions, strict=True)
        ):
            return 412, {"items": [each for each in found if each]}
        for each in content["writes"]:
            if each["lease"] and each["lease"] not in self.leases:
                return 404, {}
            self.put(each)
        return 200, {"revision": self.revision}
