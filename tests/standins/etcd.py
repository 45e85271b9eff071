"""Stand-in for the platform's key-value service, with faults on demand.

Speaks the published JSON mapping of etcd v3: range, txn, lease and watch.
``/_control`` takes ``down``, ``delay_ms``, ``lose_answers`` (writes take
effect, their answers do not come), ``cut_watches``, ``watch_delay_ms``,
``save`` and ``restore`` (an older state comes back).
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import collections
import copy
import dataclasses
import itertools
import json
import signal
import time

from tests.standins import http_server


def _text(content: bytes) -> str:
    return base64.b64encode(content).decode()


def _bytes(text: str) -> bytes:
    return base64.b64decode(text)


@dataclasses.dataclass(slots=True)
class Stored:
    value: bytes
    mod_revision: int
    lease: int


class EtcdStandin:
    """Keys, leases and watches in memory."""

    def __init__(self) -> None:
        self.keys: dict[bytes, Stored] = {}
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_ids = itertools.count(1000)
        self.watches: list[tuple[bytes, bytes, asyncio.Queue]] = []
        self.events: list[tuple[int, str, bytes, Stored | None]] = []
        self.calls: collections.Counter[str] = collections.Counter()
        self.down = False
        self.delay_ms = 0.0
        self.watch_delay_ms = 0.0
        self.lose_answers = 0
        self.saved: dict[bytes, Stored] | None = None

    async def handle(self, request: http_server.Request):
        if request.path == "/_control":
            return self._control(request.json())
        if request.path == "/_stats":
            return http_server.json_reply(
                {
                    "calls": self.calls,
                    "watches": len(self.watches),
                    "keys": sorted(key.decode() for key in self.keys),
                }
            )
        self.calls[request.path] += 1
        if self.down:
            return None
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        self._expire()
        return await self._serve(request)

    async def _serve(self, request: http_server.Request):
        body = request.json()
        if request.path == "/v3/kv/range":
            return http_server.json_reply(self._range(body))
        if request.path == "/v3/kv/txn":
            reply = self._txn(body)
            if self.lose_answers > 0:
                self.lose_answers -= 1
                return None
            return http_server.json_reply(reply)
        if request.path == "/v3/lease/grant":
            lease_id = next(self.lease_ids)
            ttl = int(body["TTL"])
            self.leases[lease_id] = (time.monotonic() + ttl, ttl)
            return http_server.json_reply(
                {"ID": str(lease_id), "TTL": str(ttl)}
            )
        if request.path == "/v3/lease/keepalive":
            return http_server.json_reply(self._keepalive(int(body["ID"])))
        if request.path == "/v3/lease/revoke":
            self._drop_lease(int(body["ID"]))
            return http_server.json_reply({})
        if request.path == "/v3/watch":
            return http_server.Reply(200, stream=self._watch(body))
        return http_server.Reply(404)

    def _control(self, body: dict):
        if body.pop("cut_watches", False):
            self._cut_watches()
        if body.pop("save", False):
            self.saved = copy.deepcopy(self.keys)
        if body.pop("restore", False) and self.saved is not None:
            self.keys = copy.deepcopy(self.saved)
            self._cut_watches()
        for key, value in body.items():
            setattr(self, key, value)
        if self.down:
            self._cut_watches()
        return http_server.json_reply({})

    def _cut_watches(self) -> None:
        for _, _, queue in self.watches:
            queue.put_nowait(None)

    def _range(self, body: dict) -> dict:
        start = _bytes(body["key"])
        end = _bytes(body.get("range_end", ""))
        found = [
            (key, stored)
            for key, stored in sorted(self.keys.items())
            if key == start or (end and start <= key < end)
        ]
        return {
            "header": {"revision": str(self.revision)},
            "kvs": [
                self._kv(key, stored, body.get("keys_only", False))
                for key, stored in found
            ],
            "count": str(len(found)),
        }

    def _kv(self, key: bytes, stored: Stored, keys_only=False) -> dict:
        return {
            "key": _text(key),
            "value": "" if keys_only else _text(stored.value),
            "mod_revision": str(stored.mod_revision),
            "lease": str(stored.lease),
        }

    def _txn(self, body: dict) -> dict:
        for compare in body.get("compare", []):
            stored = self.keys.get(_bytes(compare["key"]))
            found = stored.mod_revision if stored else 0
            if found != int(compare["mod_revision"]):
                return {"header": self._header(), "succeeded": False}
        self.revision += 1
        for operation in body.get("success", []):
            put = operation["request_put"]
            self._put(
                _bytes(put["key"]),
                _bytes(put["value"]),
                int(put.get("lease", 0)),
            )
        return {"header": self._header(), "succeeded": True}

    def _header(self) -> dict:
        return {"revision": str(self.revision)}

    def _put(self, key: bytes, value: bytes, lease: int) -> None:
        stored = Stored(value, self.revision, lease)
        self.keys[key] = stored
        self._notify("PUT", key, stored)

    def _notify(self, kind: str, key: bytes, stored: Stored | None) -> None:
        event = (self.revision, kind, key, stored)
        self.events.append(event)
        for start, end, queue in self.watches:
            if start <= key < end:
                queue.put_nowait(event)

    def _keepalive(self, lease_id: int) -> dict:
        if lease_id not in self.leases:
            return {"result": {"ID": str(lease_id)}}
        _, ttl = self.leases[lease_id]
        self.leases[lease_id] = (time.monotonic() + ttl, ttl)
        return {"result": {"ID": str(lease_id), "TTL": str(ttl)}}

    def _expire(self) -> None:
        now = time.monotonic()
        for lease_id, (until, _) in list(self.leases.items()):
            if until <= now:
                self._drop_lease(lease_id)

    def _drop_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        bound = [
            key for key, stored in self.keys.items() if stored.lease == lease_id
        ]
        for key in bound:
            del self.keys[key]
            self.revision += 1
            self._notify("DELETE", key, None)

    async def _watch(self, body: dict):
        wanted = body["create_request"]
        start, end = _bytes(wanted["key"]), _bytes(wanted["range_end"])
        queue: asyncio.Queue = asyncio.Queue()
        first = int(wanted.get("start_revision", 0))
        for event in self.events:
            if event[0] >= first and start <= event[2] < end:
                queue.put_nowait(event)
        watch = (start, end, queue)
        self.watches.append(watch)
        try:
            yield self._line({"created": True})
            while (event := await queue.get()) is not None:
                if self.watch_delay_ms:
                    await asyncio.sleep(self.watch_delay_ms / 1000)
                yield self._line({"events": [self._event(event)]})
        finally:
            self.watches.remove(watch)

    def _event(self, event: tuple) -> dict:
        revision, kind, key, stored = event
        if stored is None:
            kv = {"key": _text(key), "mod_revision": str(revision)}
            return {"type": kind, "kv": kv}
        return {"type": kind, "kv": self._kv(key, stored)}

    def _line(self, result: dict) -> bytes:
        result["header"] = self._header()
        return json.dumps({"result": result}).encode() + b"\n"


async def run(host: str, port: int) -> None:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    async with http_server.serving(host, port, EtcdStandin().handle):
        await stop.wait()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    asyncio.run(run(arguments.host, arguments.port))


if __name__ == "__main__":
    main()
