"""Client of the key-value service."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import h11
import pydantic

from sesamevale import messaging
from sesamevale import sockets
from sesamevale.etcd import models

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "Address",
    "Compare",
    "KeyRecord",
    "KeyValueClient",
    "Put",
    "Unavailable",
    "encode_request",
]

REQUEST_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5

Reply = TypeVar("Reply", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of the key-value service."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The key-value service returned no usable answer.

    Attributes:
        may_have_executed: Whether the request may have taken effect.
    """

    may_have_executed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """One key with its value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """Condition on the revision of a key's last change; 0 if missing."""

    key: str
    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write of a key, optionally attached to a lease."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    path: str
    content: bytes
    reply: asyncio.Future[bytes | Unavailable]


class KeyValueClient(messaging.Actor[_Request]):
    """Sends requests one at a time over one connection.

    Args:
        address: Address of the key-value service.
        on_call: Called for each request with its path and the size of its
            body and answer in bytes, for metrics.
    """

    def __init__(
        self, address: Address, on_call: Callable[[str, int], None]
    ) -> None:
        super().__init__("platform-client")
        self._address = address
        self._on_call = on_call
        self._stream: sockets.ByteStream | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        if self._stream is not None:
            self._stream.abort()

    async def get(self, key: str) -> KeyRecord | Unavailable | None:
        """Reads one key."""
        reply = await self._read_range(key.encode(), b"")
        if isinstance(reply, Unavailable):
            return reply
        return reply[0] if reply else None

    async def mod_revision(self, key: str) -> int | Unavailable:
        """Reads a key's mod_revision without its value; 0 if it is missing."""
        body = {"key": models.encode_base64(key.encode()), "keys_only": True}
        reply = await self._call("/v3/kv/range", body, models.RangeReply)
        if isinstance(reply, Unavailable):
            return reply
        return reply.kvs[0].mod_revision if reply.kvs else 0

    async def read_all(self, prefix: str) -> list[KeyRecord] | Unavailable:
        """Reads all keys with a prefix."""
        start = prefix.encode()
        return await self._read_range(start, models.prefix_end(start))

    async def read_all_with_revision(
        self, prefix: str
    ) -> tuple[list[KeyRecord], int] | Unavailable:
        """Reads all keys with a prefix and the revision of this read."""
        start = prefix.encode()
        end = models.prefix_end(start)
        reply = await self._range(start, end)
        if isinstance(reply, Unavailable):
            return reply
        return _key_records(reply), reply.header.revision

    async def write(
        self, compares: list[Compare], puts: list[Put]
    ) -> bool | Unavailable:
        """Writes keys if all conditions hold.

        Returns:
            Whether the conditions held. ``Unavailable`` with
            ``may_have_executed`` means that the write may have taken effect.
        """
        body = {
            "compare": [
                {
                    "key": models.encode_base64(each.key.encode()),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(each.mod_revision),
                }
                for each in compares
            ],
            "success": [{"request_put": _put_body(each)} for each in puts],
        }
        reply = await self._call("/v3/kv/txn", body, models.TxnReply)
        return reply if isinstance(reply, Unavailable) else reply.succeeded

    async def grant_lease(self, ttl_s: int) -> int | Unavailable:
        """Requests a lease and returns its identifier."""
        reply = await self._call(
            "/v3/lease/grant", {"TTL": str(ttl_s)}, models.LeaseReply
        )
        return reply if isinstance(reply, Unavailable) else reply.ID

    async def renew_lease(self, lease_id: int) -> bool | Unavailable:
        """Renews a lease; False if it no longer exists."""
        reply = await self._call(
            "/v3/lease/keepalive", {"ID": str(lease_id)}, models.KeepAliveReply
        )
        if isinstance(reply, Unavailable):
            return reply
        return reply.result.TTL > 0

    async def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease."""
        await self._call(
            "/v3/lease/revoke", {"ID": str(lease_id)}, models.RevokeReply
        )

    async def _read_range(
        self, start: bytes, end: bytes
    ) -> list[KeyRecord] | Unavailable:
        reply = await self._range(start, end)
        return reply if isinstance(reply, Unavailable) else _key_records(reply)

    async def _range(
        self, start: bytes, end: bytes
    ) -> models.RangeReply | Unavailable:
        body = {"key": models.encode_base64(start)}
        if end:
            body["range_end"] = models.encode_base64(end)
        return await self._call("/v3/kv/range", body, models.RangeReply)

    async def _call(
        self, path: str, body: dict[str, Any], reply_model: type[Reply]
    ) -> Reply | Unavailable:
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[bytes | Unavailable] = loop.create_future()
        self.send(_Request(path, json.dumps(body).encode(), reply))
        content = await reply
        if isinstance(content, Unavailable):
            return content
        try:
            return reply_model.model_validate_json(content)
        except pydantic.ValidationError:
            return Unavailable(may_have_executed=True)

    async def _run(self) -> None:
        while True:
            request = await self._inbox.get()
            if request.reply.done():
                continue
            answer = await self._perform(request)
            size = len(request.content)
            if isinstance(answer, Unavailable):
                self._close()
            else:
                size += len(answer)
            self._on_call(request.path, size)
            if not request.reply.done():
                request.reply.set_result(answer)

    async def _perform(self, request: _Request) -> bytes | Unavailable:
        if self._stream is None or self._stream.closed:
            self._close()
            self._stream = await sockets.connect(
                self._address.host, self._address.port, CONNECT_TIMEOUT_S
            )
        if self._stream is None:
            return Unavailable(may_have_executed=False)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await self._exchange(self._stream, request)
        except (TimeoutError, h11.RemoteProtocolError):
            return Unavailable(may_have_executed=True)

    async def _exchange(
        self, stream: sockets.ByteStream, request: _Request
    ) -> bytes | Unavailable:
        stream.write(
            encode_request(
                self._http, self._address, request.path, request.content
            )
        )
        status = 0
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await stream.read())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return Unavailable(may_have_executed=True)
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._close()
        return (
            bytes(body)
            if status == 200
            else Unavailable(may_have_executed=True)
        )

    def _close(self) -> None:
        """Closes the connection; the next request opens another one."""
        if self._stream is not None:
            self._stream.abort()
        self._stream = None
        self._http = h11.Connection(h11.CLIENT)


def encode_request(
    http: h11.Connection, address: Address, path: str, content: bytes
) -> bytes:
    """Returns the bytes of one HTTP request."""
    request = h11.Request(
        method="POST",
        target=path,
        headers=[
            ("Host", f"{address.host}:{address.port}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
        ],
    )
    data = http.send(request) or b""
    data += http.send(h11.Data(data=content)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


def _put_body(put: Put) -> dict[str, str]:
    body = {
        "key": models.encode_base64(put.key.encode()),
        "value": models.encode_base64(put.value),
    }
    if put.lease_id:
        body["lease"] = str(put.lease_id)
    return body


def _key_records(reply: models.RangeReply) -> list[KeyRecord]:
    return [
        KeyRecord(each.key.decode(), each.value, each.mod_revision)
        for each in reply.kvs
    ]
