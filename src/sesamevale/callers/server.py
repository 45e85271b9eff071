"""Server for callers: accepts connections and enforces their limits."""

from __future__ import annotations

import asyncio
import collections
import time
from typing import Self
from typing import TYPE_CHECKING

from sesamevale import servers
from sesamevale.callers import connection

if TYPE_CHECKING:
    from sesamevale import documents
    from sesamevale import metrics
    from sesamevale import sockets
    from sesamevale.dispatching import at_most_once
    from sesamevale.dispatching import front as fronts

__all__ = ["CallerServer"]

SWEEP_INTERVAL_S = 0.25


class CallerServer(servers.ConnectionServer):
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
        super().__init__(host, port)
        self._front = front
        self._register = register
        self._book = book
        self._limits = limits
        self._connections: set[connection.CallerConnection] = set()
        self._by_address: collections.Counter[str] = collections.Counter()

    @property
    def open_connections(self) -> int:
        """Connections of callers that are open."""
        return len(self._connections)

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        sweeper = asyncio.create_task(self._sweep(), name="caller-sweeper")
        self._stack.callback(sweeper.cancel)
        return self

    def set_limits(self, limits: documents.Limits) -> None:
        """Sets the limits for connections accepted from now on."""
        self._limits = limits

    def close_idle(self) -> None:
        """Closes the connections on which nothing is being served."""
        for each in list(self._connections):
            each.close_if_idle()

    def _accepted(self, stream: sockets.ByteStream) -> None:
        """Starts a connection's task unless there are too many."""
        address = stream.peer_host
        of_address = self._by_address[address]
        if (
            len(self._connections) >= self._limits.connections
            or of_address >= self._limits.connections_per_address
        ):
            self._book.count("connections_refused")
            stream.abort()
            return
        self._book.count("connections_accepted")
        self._by_address[address] += 1
        super()._accepted(stream)

    async def _serve(self, stream: sockets.ByteStream) -> None:
        address = stream.peer_host
        serving = connection.CallerConnection(
            stream, self._front, self._register, self._book, self._limits
        )
        self._connections.add(serving)
        try:
            await serving.run()
        finally:
            self._connections.discard(serving)
            self._by_address[address] -= 1
            if not self._by_address[address]:
                del self._by_address[address]

    async def _sweep(self) -> None:
        """Ends connections whose callers were silent for too long."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for each in list(self._connections):
                if each.expires <= now:
                    self._book.count("connections_expired")
                    each.expire()
