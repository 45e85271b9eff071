"""HTTP server for operators, on a separate address."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

import h11

from sesamevale import servers

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import sockets

__all__ = ["AdminServer", "Page"]

REQUEST_TIMEOUT_S = 10.0
HEADER_BYTES = 16 * 1024
# Most connections at a time; each carries one request. Above it the oldest one
# is closed.
CONNECTIONS_MAX = 128
# Most parsed events of a request; pages need no body.
EVENTS_MAX = 4096
# Number of parsed events after which other tasks get a turn.
EVENTS_PER_TURN = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Answer to a request for a page."""

    status: int
    content_type: str
    body: bytes


class AdminServer(servers.ConnectionServer):
    """Serves pages to operators while its context is open.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on.
        pages: By path, the function that builds a page from the query string.
    """

    def __init__(
        self, host: str, port: int, pages: dict[str, Callable[[str], Page]]
    ) -> None:
        super().__init__(host, port)
        self._pages = pages
        # Oldest first.
        self._streams: collections.deque[sockets.ByteStream] = (
            collections.deque()
        )

    async def _serve(self, stream: sockets.ByteStream) -> None:
        """Serves one request and closes the connection."""
        try:
            await self._answer(stream)
        finally:
            if stream in self._streams:
                self._streams.remove(stream)

    async def _answer(self, stream: sockets.ByteStream) -> None:
        http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=HEADER_BYTES
        )
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                request = await _read_request(stream, http)
                if request is not None:
                    _send(stream, http, self._page(request))
                await stream.flush(REQUEST_TIMEOUT_S)
        except (TimeoutError, h11.ProtocolError):
            pass
        finally:
            if stream.has_unsent:
                stream.abort()
            stream.close()

    def _on_accepted(self, stream: sockets.ByteStream) -> None:
        if len(self._streams) >= CONNECTIONS_MAX:
            self._streams.popleft().abort()
        self._streams.append(stream)
        super()._on_accepted(stream)

    def _page(self, request: h11.Request) -> Page:
        target = request.target.decode("ascii", "replace")
        path, _, query = target.partition("?")
        if request.method not in (b"GET", b"HEAD"):
            return Page(405, "text/plain", b"only GET\n")
        make = self._pages.get(path)
        if make is None:
            known = ", ".join(sorted(self._pages))
            return Page(404, "text/plain", f"pages: {known}\n".encode())
        return make(query)


async def _read_request(
    stream: sockets.ByteStream, http: h11.Connection
) -> h11.Request | None:
    request = None
    for event_count in range(EVENTS_MAX):
        if event_count % EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.read())
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif not isinstance(event, h11.Data):
            return None
    return None


def _send(stream: sockets.ByteStream, http: h11.Connection, page: Page) -> None:
    response = h11.Response(
        status_code=page.status,
        headers=[
            ("Content-Type", page.content_type),
            ("Content-Length", str(len(page.body))),
            ("Connection", "close"),
        ],
    )
    data = http.send(response) or b""
    if http.their_state is not h11.ERROR:
        data += http.send(h11.Data(data=page.body)) or b""
    stream.write(data)
