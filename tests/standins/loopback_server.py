"""Base class of the stand-ins for the users' platform."""

from __future__ import annotations

import asyncio

import h11


class LoopbackServer:
    """Serves HTTP/1.1 on a free loopback port within its context."""

    def __init__(self):
        self._server = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def port(self) -> int:
        return self._server.sockets[0].getsockname()[1]

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve(self, reader, writer):
        raise NotImplementedError

    async def _read(self, http, reader):
        """Returns a request and its body; None and no body at the end."""
        request, body = None, b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request, body
            else:
                return None, b""
