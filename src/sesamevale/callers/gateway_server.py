"""Server for callers of the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamevale import memory_room
from sesamevale import resources
from sesamevale import routes
from sesamevale.callers import gateway_connection
from sesamevale.callers import idle_timeout_server
from sesamevale.policy.admission import memory_account

if TYPE_CHECKING:
    from sesamevale import event_log
    from sesamevale import metrics
    from sesamevale import sockets
    from sesamevale.forwarding import router as routers

__all__ = ["GatewayServer"]

# Share of the connections above which those that are idle are closed, longest
# idle first.
IDLE_CLOSE_SHARE = 7 / 8


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
            usual = memory_account.MemoryLimits.plan(resources.Machine())
            room = memory_room.MemoryRoom(usual)
        self._room = room
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
        if self._room.account.try_connect():
            super()._on_accepted(stream)
        else:
            stream.abort()

    async def _serve(self, stream: sockets.ByteStream) -> None:
        try:
            await super()._serve(stream)
        finally:
            self._room.account.disconnect()

    def _make_room(self) -> None:
        limit = self._room.account.limits.connections_max
        excess = len(self._connections) - int(limit * IDLE_CLOSE_SHARE)
        if excess <= 0:
            return
        by_age = sorted(self._connections, key=lambda each: each.expires_at)
        for connection in by_age[:excess]:
            connection.close_if_idle()
