"""HTTP/1.1 server for the stand-ins that run as processes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import h11

from sesamevale import sockets


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        return json.loads(self.body or b"{}")


@dataclasses.dataclass(slots=True)
class Reply:
    """An answer, whose body is ``body`` or ``stream``.

    ``cut_after`` closes the connection after this many bytes of ``body``.
    """

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    stream: AsyncIterator[bytes] | None = None
    cut_after: int | None = None


def json_reply(content: object, status: int = 200) -> Reply:
    return Reply(
        status,
        json.dumps(content).encode(),
        {"content-type": "application/json"},
    )


Handler = Callable[[Request], Awaitable[Reply | None]]


async def serve_connection(stream: sockets.ByteStream, handler: Handler):
    """Answers requests until the peer or a reply closes the connection.

    The connection is aborted where the handler returns None.
    """
    http = h11.Connection(h11.SERVER)
    try:
        while True:
            request = await _read(stream, http)
            if request is None:
                return
            reply = await _run_handler(stream, handler, request)
            if reply is None:
                stream.abort()
                return
            if not await _send(stream, http, reply, request.method == "HEAD"):
                return
            if http.our_state is not h11.DONE:
                return
            http.start_next_cycle()
    except h11.ProtocolError:
        pass
    finally:
        stream.close()


async def _run_handler(
    stream: sockets.ByteStream, handler: Handler, request: Request
) -> Reply | None:
    """Runs the handler and cancels it when the connection is lost."""
    task = asyncio.ensure_future(handler(request))
    stream.on_lost(task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        if task.cancelled():
            return None
        raise
    finally:
        stream.on_lost(None)


async def _read(
    stream: sockets.ByteStream, http: h11.Connection
) -> Request | None:
    head = None
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.read())
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            headers = {
                name.decode(): value.decode() for name, value in head.headers
            }
            return Request(
                head.method.decode(), head.target.decode(), headers, bytes(body)
            )
        else:
            return None


async def _send(
    stream: sockets.ByteStream,
    http: h11.Connection,
    reply: Reply,
    is_head: bool,
) -> bool:
    headers = dict(reply.headers)
    if reply.stream is None:
        headers["content-length"] = str(len(reply.body))
    data = http.send(
        h11.Response(status_code=reply.status, headers=list(headers.items()))
    )
    if reply.cut_after is not None:
        stream.write(data + reply.body[: reply.cut_after])
        await asyncio.sleep(0.01)
        stream.abort()
        return False
    if reply.stream is None:
        if http.their_state is not h11.ERROR and not is_head:
            data += http.send(h11.Data(data=reply.body))
        stream.write(data + http.send(h11.EndOfMessage()))
        return True
    stream.write(data)
    async for part in reply.stream:
        if stream.closed:
            return False
        stream.write(http.send(h11.Data(data=part)))
        await stream.drain()
    stream.write(http.send(h11.EndOfMessage()))
    return True


@contextlib.asynccontextmanager
async def serving(host: str, port: int, handler: Handler):
    """Serves HTTP within its context and yields the port."""
    tasks: set[asyncio.Task] = set()

    def on_connection(stream: sockets.ByteStream) -> None:
        task = asyncio.ensure_future(serve_connection(stream, handler))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async with sockets.listen(host, port, on_connection) as server:
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            for task in list(tasks):
                task.cancel()
