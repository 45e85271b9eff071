"""Stand-in for the platform's key-value service, with faults on demand.

Serves range, txn, lease and watch requests in the published JSON mapping of
etcd v3. ``/_control`` accepts:

``down``: Requests get no answer and open watches end.
``delay_ms``: Delay before each request is served.
``watch_delay_ms``: Delay before each event of a watch.
``lose_answers``: Number of transactions that take effect without an answer.
``cut_watches``: Ends all open watches.
``save``, ``restore``: Copies the keys; replaces them by the copy, as after a
    restore from a backup, and ends all open watches.

``/_stats`` reports requests per path, open watches and keys.
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


def _to_base64(content: bytes) -> str:
    return base64.b64encode(content).decode()


def _from_base64(text: str) -> bytes:
    return base64.b64decode(text)


@dataclasses.dataclass(slots=True)
class StoredValue:
    """The value of a key, with the lease that it is bound to (0: none)."""

    value: bytes
    mod_revision: int
    lease: int


class EtcdStandin:
    """An etcd server that keeps keys, leases and watches in memory.

    Attributes:
      leases: Time of expiry (``time.monotonic``) and TTL in seconds, by ID.
      events: All events since the start, for watches that begin in the past.
    """

    def __init__(self) -> None:
        self.keys: dict[bytes, StoredValue] = {}
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_ids = itertools.count(1000)
        self.watches: list[tuple[bytes, bytes, asyncio.Queue]] = []
        self.events: list[tuple[int, str, bytes, StoredValue | None]] = []
        self.calls: collections.Counter[str] = collections.Counter()
        self.down = False
        self.delay_ms = 0.0
        self.watch_delay_ms = 0.0
        self.lose_answers = 0
        self.saved: dict[bytes, StoredValue] | None = None

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
        self._expire_leases()
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
            self._revoke_lease(int(body["ID"]))
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
        start = _from_base64(body["key"])
        end = _from_base64(body.get("range_end", ""))
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

    def _kv(self, key: bytes, stored: StoredValue, keys_only=False) -> dict:
        return {
            "key": _to_base64(key),
            "value": "" if keys_only else _to_base64(stored.value),
            "mod_revision": str(stored.mod_revision),
            "lease": str(stored.lease),
        }

    def _txn(self, body: dict) -> dict:
        for compare in body.get("compare", []):
            stored = self.keys.get(_from_base64(compare["key"]))
            found = stored.mod_revision if stored else 0
            if found != int(compare["mod_revision"]):
                return {"header": self._header(), "succeeded": False}
        self.revision += 1
        for operation in body.get("success", []):
            put = operation["request_put"]
            self._put(
                _from_base64(put["key"]),
                _from_base64(put["value"]),
                int(put.get("lease", 0)),
            )
        return {"header": self._header(), "succeeded": True}

    def _header(self) -> dict:
        return {"revision": str(self.revision)}

    def _put(self, key: bytes, value: bytes, lease: int) -> None:
        stored = StoredValue(value, self.revision, lease)
        self.keys[key] = stored
        self._notify("PUT", key, stored)

    def _notify(
        self, kind: str, key: bytes, stored: StoredValue | None
    ) -> None:
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

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease_id, (expires_at, _) in list(self.leases.items()):
            if expires_at <= now:
                self._revoke_lease(lease_id)

    def _revoke_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        bound = [
            key for key, stored in self.keys.items() if stored.lease == lease_id
        ]
        for key in bound:
            del self.keys[key]
            self.revision += 1
            self._notify("DELETE", key, None)

    async def _watch(self, body: dict):
        create = body["create_request"]
        start, end = (
            _from_base64(create["key"]),
            _from_base64(create["range_end"]),
        )
        queue: asyncio.Queue = asyncio.Queue()
        first = int(create.get("start_revision", 0))
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
            kv = {"key": _to_base64(key), "mod_revision": str(revision)}
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
