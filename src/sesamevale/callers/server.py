"""Server for callers: accepts connections and enforces their limits."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import time
from typing import Self
from typing import TYPE_CHECKING

from sesamevale import sockets
from sesamevale.callers import connection

if TYPE_CHECKING:
    from sesamevale import documents
    from sesamevale import metrics
    from sesamevale.dispatching import at_most_once
    from sesamevale.dispatching import front as fronts

__all__ = ["CallerServer"]

SWEEP_INTERVAL_S = 0.25


class CallerServer:
    """Listens for callers while its context is open.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
        front: Where calls are handed to.
        register: Issues tickets for the directory.
        book: Measurements.
        limits: Limits before the first document is in force.
    """

    def __init__(
        self,
        host: str,
        port: int,
        front: fronts.Front,
        register: at_most_once.RegisterTask,
        book: metrics.Book,
        limits: documents.Limits,
    ) -> None:
        self._host = host
        self._port = port
        self._front = front
        self._register = register
        self._book = book
        self._limits = limits
        self._connections: set[connection.CallerConnection] = set()
        self._by_address: collections.Counter[str] = collections.Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stack = contextlib.AsyncExitStack()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """TCP port that is listened on."""
        if self._server is None:
            return self._port
        return self._server.sockets[0].getsockname()[1]

    @property
    def open_connections(self) -> int:
        """Connections of callers that are open."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """Connections with a request that is being served."""
        return sum(each.busy for each in self._connections)

    async def __aenter__(self) -> Self:
        context = sockets.listen(self._host, self._port, self._accepted)
        self._server = await self._stack.enter_async_context(context)
        sweeper = asyncio.create_task(self._sweep(), name="caller-sweeper")
        self._stack.callback(sweeper.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()
        for task in list(self._tasks):
            task.cancel()

    def set_limits(self, limits: documents.Limits) -> None:
        """Sets the limits for connections accepted from now on."""
        self._limits = limits

    def close_idle(self) -> None:
        """Closes the connections on which nothing is being served."""
        for each in list(self._connections):
            each.close_if_idle()

    def stop_accepting(self) -> None:
        """Refuses new connections; open ones go on."""
        if self._server is not None:
            self._server.close()

    def _accepted(self, stream: sockets.ByteStream) -> None:
        address = stream.peer_host
        too_many = len(self._connections) >= self._limits.connections
        if (
            too_many
            or self._by_address[address] >= self._limits.connections_per_address
        ):
            self._book.count("connections_refused")
            stream.abort()
            return
        self._book.count("connections_accepted")
        serving = connection.CallerConnection(
            stream, self._front, self._register, self._book, self._limits
        )
        self._connections.add(serving)
        self._by_address[address] += 1
        task = asyncio.create_task(serving.run())
        self._tasks.add(task)

        def ended(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self._connections.discard(serving)
            self._by_address[address] -= 1
            if not self._by_address[address]:
                del self._by_address[address]

        task.add_done_callback(ended)

    async def _sweep(self) -> None:
        """Ends connections whose callers were silent for too long."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for each in list(self._connections):
                if each.expires <= now:
                    self._book.count("connections_expired")
                    each.expire()
