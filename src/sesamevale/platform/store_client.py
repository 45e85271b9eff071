"""Client of the platform's store: a task that owns one connection."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import urllib.parse
from typing import TYPE_CHECKING
from typing import TypeVar

import h11
import pydantic

from sesamevale import messaging
from sesamevale import sockets
from sesamevale.platform import models

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamevale import metrics
    from sesamevale import settings as checked_settings

__all__ = [
    "CallFailure",
    "Contents",
    "LeaseLost",
    "StoreClient",
    "Unchanged",
]

Model = TypeVar("Model", bound=pydantic.BaseModel)

# The store answers in milliseconds; after this long without data, the answer is
# considered lost.
READ_TIMEOUT_S = 0.5
# The read timeout doubles after each timeout up to this limit, so that calls to
# a store that is merely slow succeed.
READ_TIMEOUT_MAX_S = 2.0
# Timeout for a whole call; enough for a megabyte on a slow link.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
ERA_FIELD = b"store-era"
OK = 200
NOT_FOUND = 404
CONFLICT = 412


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call got no usable answer.

    Attributes:
        reason: Cause of the failure, for the log.
        outcome_unknown: Whether the call may have taken effect or still may.
        answered: Whether the store answered, as when it turns a call away.
    """

    reason: str
    outcome_unknown: bool
    answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """A key still has the known revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Contents:
    """Items of one read.

    Attributes:
        items: The items by key.
        era: Era of the store; 0 if it names none.
    """

    items: list[models.Item]
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    request: h11.Request
    body: bytes
    reply: asyncio.Future[_Reply | CallFailure]


class StoreClient(messaging.Actor[_Call]):
    """Sends calls one at a time over one connection.

    A connection on which an answer was lost is closed.

    Args:
        endpoint: Address of the store.
        recorder: Records metrics.
    """

    def __init__(
        self,
        endpoint: checked_settings.Endpoint,
        recorder: metrics.MetricsRecorder,
    ) -> None:
        super().__init__("store-client")
        self._endpoint = endpoint
        self._recorder = recorder
        self._stream: sockets.ByteStream | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._read_timeout_s = READ_TIMEOUT_S
        self._era = 0

    @property
    def era(self) -> int:
        """Latest era that the store has named; 0 if it has named none."""
        return self._era

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        self._close()

    async def read_all(self, after: str = "") -> Contents | CallFailure:
        """Reads all keys page by page, with reads that are never stale.

        Args:
            after: Key after which the read starts; empty for all keys.
        """
        items: list[models.Item] = []
        era = self._era
        while True:
            query = {"prefix": ""} | ({"after": after} if after else {})
            reply = await self._call("GET", "/api/kv-range", query)
            page = _parse_reply(reply, models.Page)
            if isinstance(page, CallFailure):
                return page
            if self._era != era and items:
                return CallFailure("the store came back", outcome_unknown=False)
            era = self._era
            items += page.items
            if not page.more or not page.items:
                return Contents(items, era)
            after = page.items[-1].key

    async def read_if_changed(
        self, known: models.Item
    ) -> models.Item | Unchanged | CallFailure:
        """Reads a key's value unless its revision is the known one.

        This is a transaction without writes: it compares the revision without
        transferring an unchanged value and, unlike a watch, does not depend on
        the store's history.
        """
        body = {
            "precondition": [{"key": known.key, "revision": known.revision}],
            "writes": [],
            "remove": [],
        }
        reply = await self._call("POST", "/api/kv-txn", body=body)
        if isinstance(reply, CallFailure):
            return reply
        if reply.status == OK:
            return Unchanged()
        found = _parse_reply(reply, models.Conflict, expected=CONFLICT)
        if isinstance(found, CallFailure):
            return found
        for item in found.items:
            if item.key == known.key:
                return item
        return CallFailure("the key does not exist", outcome_unknown=False)

    async def grant_lease(
        self, ttl_ms: int
    ) -> models.LeaseGranted | CallFailure:
        """Requests a lease."""
        body = {"ttlMs": ttl_ms}
        reply = await self._call("POST", "/api/kv-lease", body=body)
        return _parse_reply(reply, models.LeaseGranted)

    async def renew_lease(
        self, lease: int
    ) -> models.LeaseGranted | LeaseLost | CallFailure:
        """Renews a lease."""
        reply = await self._call("POST", f"/api/kv-keep/{lease}")
        if isinstance(reply, _Reply) and reply.status == NOT_FOUND:
            return LeaseLost()
        return _parse_reply(reply, models.LeaseGranted)

    async def revoke_lease(self, lease: int) -> CallFailure | None:
        """Ends a lease; its keys are removed."""
        reply = await self._call("DELETE", f"/api/kv-lease-end/{lease}")
        return reply if isinstance(reply, CallFailure) else None

    async def write(
        self, key: str, value: str, lease: int, revision: int
    ) -> models.Written | models.Conflict | LeaseLost | CallFailure:
        """Writes one key if it has a revision.

        Args:
            key: The key.
            value: The value in base64.
            lease: Lease with whose end the key is removed.
            revision: Revision that the key must have; 0 if it must not exist.
        """
        body = {
            "precondition": [{"key": key, "revision": revision}],
            "writes": [{"key": key, "value": value, "lease": lease}],
            "remove": [],
        }
        reply = await self._call("POST", "/api/kv-txn", body=body)
        if isinstance(reply, _Reply) and reply.status == NOT_FOUND:
            return LeaseLost()
        if isinstance(reply, _Reply) and reply.status == CONFLICT:
            return _parse_reply(reply, models.Conflict, expected=CONFLICT)
        return _parse_reply(reply, models.Written)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Mapping[str, object] | None = None,
    ) -> _Reply | CallFailure:
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        content = b"" if body is None else json.dumps(body).encode()
        headers = [("Host", str(self._endpoint))]
        if body is not None:
            headers.append(("Content-Type", "application/json"))
        if method == "POST":
            headers.append(("Content-Length", str(len(content))))
        request = h11.Request(method=method, target=target, headers=headers)
        reply: asyncio.Future[_Reply | CallFailure] = (
            asyncio.get_running_loop().create_future()
        )
        self._recorder.count("store_calls")
        self.send(_Call(request, content, reply))
        return await reply

    async def _run(self) -> None:
        while True:
            call = await self._inbox.get()
            reply = await self._exchange(call)
            if isinstance(reply, CallFailure):
                self._recorder.count("store_calls_failed")
            if not call.reply.done():
                call.reply.set_result(reply)

    async def _exchange(self, call: _Call) -> _Reply | CallFailure:
        """Performs one call; keeps the connection if it is still usable."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reply = await self._send_and_read(call)
        except TimeoutError:
            self._close()
            self._read_timeout_s = min(
                2 * self._read_timeout_s, READ_TIMEOUT_MAX_S
            )
            return CallFailure("no answer in time", outcome_unknown=True)
        except h11.ProtocolError as error:
            self._close()
            return CallFailure(f"invalid answer: {error}", outcome_unknown=True)
        self._read_timeout_s = READ_TIMEOUT_S
        return reply

    async def _send_and_read(self, call: _Call) -> _Reply | CallFailure:
        stream = self._stream
        if stream is None or stream.closed or stream.has_unread:
            self._close()
            endpoint = self._endpoint
            stream = await sockets.connect(
                endpoint.host, endpoint.port, CONNECT_TIMEOUT_S
            )
            if stream is None:
                return CallFailure("cannot connect", outcome_unknown=False)
            sockets.enable_keepalive(stream)
            self._stream = stream
        data = self._http.send(call.request) or b""
        if call.body:
            data += self._http.send(h11.Data(data=call.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        stream.write(data)
        return await self._read(stream)

    async def _read(self, stream: sockets.ByteStream) -> _Reply | CallFailure:
        status, era = 0, 0
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(self._read_timeout_s):
                    data = await stream.read()
                if not data:
                    self._close()
                    return CallFailure("connection lost", outcome_unknown=True)
                self._http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                era = _era(event)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                self._close()
                return CallFailure(
                    "connection closed early", outcome_unknown=True
                )
        if self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._http.start_next_cycle()
        else:
            self._close()
        # An answer without an era says nothing of it.
        if 0 < era < self._era:
            return CallFailure("answer of an earlier era", outcome_unknown=True)
        self._era = max(era, self._era)
        return _Reply(status, bytes(body))

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.abort()
        self._stream = None
        self._http = h11.Connection(h11.CLIENT)


def _era(response: h11.Response) -> int:
    """Returns the era that an answer names; 0 if it names none."""
    value = dict(response.headers).get(ERA_FIELD, b"")
    return int(value) if value.isdigit() and len(value) < 16 else 0


def _parse_reply(
    reply: _Reply | CallFailure, model: type[Model], expected: int = OK
) -> Model | CallFailure:
    """Parses the body of a reply that has the expected status."""
    if isinstance(reply, CallFailure):
        return reply
    if reply.status != expected:
        return CallFailure(
            f"unexpected status {reply.status}",
            outcome_unknown=False,
            answered=True,
        )
    try:
        return model.model_validate_json(reply.body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        return CallFailure(
            f"invalid answer: {first['msg']}", outcome_unknown=False
        )
