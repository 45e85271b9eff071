"""Server for callers of the gateway."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sesamevale import memory_room
from sesamevale import resources
from sesamevale import routes
from sesamevale.callers import gateway_connection
from sesamevale.callers import idle_timeout_server
from sesamevale.policy.admission import memory_limits

if TYPE_CHECKING:
    from sesamevale import event_log
    from sesamevale import metrics
    from sesamevale import sockets
    from sesamevale.forwarding import router as routers

__all__ = ["GatewayServer"]

# Number of unused connections that is worth a look at all connections; after
# a look that has found fewer, the next one comes later by this time in seconds.
SORT_YIELD_MIN = 16
SORT_INTERVAL_S = 0.05
# Most accepted connections that wait for room.
UNPLACED_MAX = 32


class GatewayServer(idle_timeout_server.IdleTimeoutServer):
    """Listens for callers of the gateway while its context is open.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
        router: Router that requests are submitted to.
        entry_id: Identifier of this entry.
        events: Event log for the results of requests.
        recorder: Recorder of the metrics.
        room: Memory of the entry; None for that of a usual machine.
    """

    def __init__(
        self,
        host: str,
        port: int,
        router: routers.RequestRouter,
        entry_id: str,
        events: event_log.EventLog,
        recorder: metrics.MetricsRecorder,
        room: memory_room.MemoryRoom | None = None,
    ) -> None:
        super().__init__(host, port, recorder)
        if room is None:
            usual = memory_limits.MemoryLimits.plan(resources.Machine())
            room = memory_room.MemoryRoom(usual)
        self._room = room
        # Connections without a request, the one that expires first at the end.
        self._by_expiry: list[idle_timeout_server.Connection] = []
        self._sort_at = 0.0
        self._unplaced: list[sockets.ByteStream] = []
        self._router = router
        self._entry_id = entry_id
        self._events = events

    def _create_connection(
        self, stream: sockets.ByteStream
    ) -> gateway_connection.GatewayConnection:
        configuration = self._router.view.configuration
        limits = routes.CallerLimits()
        if configuration is not None:
            limits = configuration.limits
        return gateway_connection.GatewayConnection(
            stream,
            self._router,
            self._entry_id,
            limits,
            self._events,
            self._recorder,
            self._room,
        )

    def _on_accepted(self, stream: sockets.ByteStream) -> None:
        if self._try_place(stream):
            return
        if len(self._unplaced) >= UNPLACED_MAX:
            self._refuse(stream)
            return
        # Others of the same burst can make room once they are served.
        if not self._unplaced:
            loop = asyncio.get_running_loop()
            loop.call_later(SORT_INTERVAL_S, self._place_rest)
        self._unplaced.append(stream)

    def _place_rest(self) -> None:
        """Serves the connections that wait for room, or aborts them."""
        streams, self._unplaced = self._unplaced, []
        for stream in streams:
            if not self._try_place(stream):
                self._refuse(stream)

    def _refuse(self, stream: sockets.ByteStream) -> None:
        self._room.account.count_refused_connection()
        stream.abort()

    def _try_place(self, stream: sockets.ByteStream) -> bool:
        """Serves a connection; False if there is no room for it."""
        account = self._room.account
        has_room = False
        if self.open_connections >= account.limits.crowded_connections:
            has_room = self._abort_unused()
        if not account.try_connect(time.monotonic(), replaces=has_room):
            return False
        super()._on_accepted(stream)
        return True

    async def _serve(self, stream: sockets.ByteStream) -> None:
        try:
            await super()._serve(stream)
        finally:
            self._room.account.disconnect()

    def _abort_unused(self) -> bool:
        """Aborts the connection without a request that expires first.

        Returns:
            Whether there was one.
        """
        now = time.monotonic()
        if not self._by_expiry and now >= self._sort_at:
            found = [each for each in self._connections if each.is_unused]
            found.sort(key=lambda each: each.expires_at, reverse=True)
            self._by_expiry = found
            if len(found) < SORT_YIELD_MIN:
                self._sort_at = now + SORT_INTERVAL_S
        while self._by_expiry:
            connection = self._by_expiry.pop()
            if connection.is_unused and connection in self._connections:
                self._recorder.count("connections_displaced")
                connection.abort()
                return True
        return False
