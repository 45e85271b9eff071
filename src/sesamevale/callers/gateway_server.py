"""Server for callers of the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamevale import routes
from sesamevale.callers import gateway_connection
from sesamevale.callers import idle_timeout_server

if TYPE_CHECKING:
    from sesamevale import event_log
    from sesamevale import metrics
    from sesamevale import sockets
    from sesamevale.forwarding import router as routers

__all__ = ["GatewayServer"]


class GatewayServer(idle_timeout_server.IdleTimeoutServer):
    """Listens for callers of the gateway while its context is open.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
        router: Router that requests are submitted to.
        entry_id: Identifier of this entry.
        events: Event log for the results of requests.
        recorder: Recorder of the metrics.
    """

    def __init__(
        self,
        host: str,
        port: int,
        router: routers.RequestRouter,
        entry_id: str,
        events: event_log.EventLog,
        recorder: metrics.MetricsRecorder,
    ) -> None:
        super().__init__(host, port, recorder)
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
        )
