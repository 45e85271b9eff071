"""Task that watches all keys with a prefix over one connection."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
from typing import TYPE_CHECKING

import h11
import pydantic

from sesamevale import messaging
from sesamevale import sockets
from sesamevale.etcd import client
from sesamevale.etcd import models

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["KeyChanged", "Snapshot", "Watch"]

RETRY_DELAY_MIN_S = 0.1
RETRY_DELAY_MAX_S = 2.0
WATCH_PATH = "/v3/watch"


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys with the prefix at one revision."""

    records: tuple[client.KeyRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged:
    """One key was written, or deleted if the value is None."""

    key: str
    value: bytes | None
    mod_revision: int


class Watch(messaging.BackgroundTask):
    """Reports a snapshot and then each change while its context is open.

    A watch whose connection ends is set up again after a random delay, with a
    new snapshot so that no change is missed.

    Args:
        kv_client: Client for snapshots.
        address: Address of the key-value service.
        prefix: Prefix of the keys.
        on_message: Called with each snapshot and each change.
        on_call: Called with the path of each request, and with an empty path
            and the number of bytes of each chunk received, for metrics.
        rng: Source of randomness for delays.
    """

    def __init__(
        self,
        kv_client: client.KeyValueClient,
        address: client.Address,
        prefix: str,
        on_message: Callable[[Snapshot | KeyChanged], None],
        on_call: Callable[[str, int], None],
        rng: random.Random,
    ) -> None:
        super().__init__("platform-watch")
        self._kv_client = kv_client
        self._address = address
        self._prefix = prefix
        self._on_message = on_message
        self._on_call = on_call
        self._rng = rng
        self._connected = False

    @property
    def connected(self) -> bool:
        """Whether the watch is set up."""
        return self._connected

    async def _run(self) -> None:
        delay_s = RETRY_DELAY_MIN_S
        while True:
            found = await self._kv_client.read_all_with_revision(self._prefix)
            if not isinstance(found, client.Unavailable):
                delay_s = RETRY_DELAY_MIN_S
                records, revision = found
                self._on_message(Snapshot(tuple(records)))
                await self._watch_from(revision + 1)
                self._connected = False
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
            delay_s = min(RETRY_DELAY_MAX_S, delay_s * 2)

    async def _watch_from(self, start_revision: int) -> None:
        """Reports changes from a revision on until the connection ends."""
        stream = await sockets.connect(
            self._address.host, self._address.port, client.CONNECT_TIMEOUT_S
        )
        if stream is None:
            return
        self._on_call(WATCH_PATH, 0)
        http = h11.Connection(h11.CLIENT)
        prefix = self._prefix.encode()
        body = {
            "create_request": {
                "key": models.encode_base64(prefix),
                "range_end": models.encode_base64(models.prefix_end(prefix)),
                "start_revision": str(start_revision),
            }
        }
        content = json.dumps(body).encode()
        try:
            stream.write(
                client.encode_request(http, self._address, WATCH_PATH, content)
            )
            await self._read_events(stream, http)
        except h11.RemoteProtocolError:
            return
        finally:
            stream.abort()

    async def _read_events(
        self, stream: sockets.ByteStream, http: h11.Connection
    ) -> None:
        buffer = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.read())
            elif isinstance(event, h11.Data):
                buffer += event.data
                self._on_call("", len(event.data))
                if not self._process_lines(buffer):
                    return
            elif not isinstance(event, h11.Response):
                return

    def _process_lines(self, buffer: bytearray) -> bool:
        """Reports the complete lines; False if the watch has ended."""
        while (end := buffer.find(b"\n")) >= 0:
            line = bytes(buffer[:end])
            del buffer[: end + 1]
            if not line.strip():
                continue
            try:
                reply = models.WatchReply.model_validate_json(line)
            except pydantic.ValidationError:
                return False
            if reply.result.canceled:
                return False
            self._connected = True
            for event in reply.result.events:
                self._on_message(_key_changed(event))
        return True


def _key_changed(event: models.Event) -> KeyChanged:
    value = None if event.type == "DELETE" else event.kv.value
    return KeyChanged(event.kv.key.decode(), value, event.kv.mod_revision)
