"""Server for callers of the gateway."""

from __future__ import annotations

import asyncio
import time
from typing import Self
from typing import TYPE_CHECKING

from sesamevale import routes
from sesamevale import servers
from sesamevale.callers import gateway_connection

if TYPE_CHECKING:
    from sesamevale import event_log
    from sesamevale import metrics
    from sesamevale import sockets
    from sesamevale.forwarding import front as fronts

__all__ = ["GatewayServer"]

SWEEP_INTERVAL_S = 0.25


class GatewayServer(servers.ConnectionServer):
    """Listens for callers while its context is open.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
        front: Where requests are handed to.
        entry_id: Identifier of this entry.
        events: Where decisions are logged.
        book: Measurements.
    """

    def __init__(
        self,
        host: str,
        port: int,
        front: fronts.Front,
        entry_id: str,
        events: event_log.EventLog,
        book: metrics.Book,
    ) -> None:
        super().__init__(host, port)
        self._front = front
        self._entry_id = entry_id
        self._events = events
        self._book = book
        self._connections: set[gateway_connection.GatewayConnection] = set()

    @property
    def open_connections(self) -> int:
        """Connections of callers that are open."""
        return len(self._connections)

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        sweeper = asyncio.create_task(self._sweep(), name="caller-sweeper")
        self._stack.callback(sweeper.cancel)
        return self

    def close_idle(self) -> None:
        """Closes the connections on which nothing is being served."""
        for each in list(self._connections):
            each.close_if_idle()

    async def _serve(self, stream: sockets.ByteStream) -> None:
        configuration = self._front.view.configuration
        limits = routes.CallerLimits()
        if configuration is not None:
            limits = configuration.limits
        serving = gateway_connection.GatewayConnection(
            stream,
            self._front,
            self._entry_id,
            limits,
            self._events,
            self._book,
        )
        self._connections.add(serving)
        try:
            await serving.run()
        finally:
            self._connections.discard(serving)

    async def _sweep(self) -> None:
        """Ends connections whose callers were silent for too long."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for each in list(self._connections):
                if each.expires <= now:
                    self._book.count("connections_expired")
                    each.expire()
