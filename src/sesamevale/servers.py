"""Base class of the TCP servers of an entry."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self

from sesamevale import sockets

__all__ = ["ConnectionServer"]


class ConnectionServer:
    """Listens while its context is open; each connection has its own task.

    Subclasses override ``_serve``.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._stack = contextlib.AsyncExitStack()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        if self._server is None:
            return self._port
        return self._server.sockets[0].getsockname()[1]

    @property
    def open_connections(self) -> int:
        """Number of accepted connections that have not ended."""
        return len(self._tasks)

    async def __aenter__(self) -> Self:
        context = sockets.listen(self._host, self._port, self._on_accepted)
        self._server = await self._stack.enter_async_context(context)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()
        for task in list(self._tasks):
            task.cancel()

    def stop_accepting(self) -> None:
        """Stops listening; open connections continue."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, stream: sockets.ByteStream) -> None:
        """Serves one connection until it ends."""
        raise NotImplementedError

    def _on_accepted(self, stream: sockets.ByteStream) -> None:
        task = asyncio.create_task(self._serve(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
