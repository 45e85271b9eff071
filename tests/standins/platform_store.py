"""Stand-in of the users' platform store, in memory, over real sockets.

``faults`` says what happens to the next calls: ``ok``, ``refused`` (503),
``busy`` (429), ``reset``, ``silent`` (no effect, no answer), ``lost`` (takes
effect, no answer), ``slow`` (answered after a while) or ``garbled``.
"""

from __future__ import annotations

import asyncio
import collections
import json
import urllib.parse

import h11

from tests.standins import loopback_server

SLOW_S = 0.2
# Interval at which a slow link passes its next bytes on.
SLOW_STEP_S = 0.05


class PlatformStore(loopback_server.LoopbackServer):
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
        self._next_lease = 100

    def put(self, item: dict) -> None:
        self.revision += 1
        self.items[item["key"]] = item | {"revision": self.revision}

    def remove(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)

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
        status, content = self._handle(fault, request, target, body)
        if fault == "lost":
            await asyncio.sleep(60)
        data = json.dumps(content).encode()
        if fault == "garbled":
            data = data[: len(data) // 2]
        response = h11.Response(
            status_code=status, headers=[("content-length", str(len(data)))]
        )
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
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        content = json.loads(body) if body else {}
        if path == "/api/kv-range":
            return 200, self._range(asked)
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

    def _range(self, asked):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(asked["prefix"]) and key > asked.get("after", "")
        )
        return {
            "items": [self.items[key] for key in keys[: self.page_size]],
            "hasMore": len(keys) > self.page_size,
            "currentRev": self.revision,
        }

    def _write(self, content):
        if self.rejects_empty_transactions and not content["writes"]:
            return 400, {}
        rows = content["precondition"]
        now = [self.items[each["key"]] for each in rows]
        if any(
            item["revision"] != each["revision"]
            for item, each in zip(now, rows, strict=True)
        ):
            return 412, {"items": now}
        for each in content["writes"]:
            if each["lease"] and each["lease"] not in self.leases:
                return 404, {}
            self.put({**each, "created": self.revision})
        return 200, {"revision": self.revision}
