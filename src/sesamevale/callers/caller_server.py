"""Server for callers: accepts connections and enforces their limits."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from sesamevale.callers import caller_connection
from sesamevale.callers import idle_timeout_server

if TYPE_CHECKING:
    from sesamevale import documents
    from sesamevale import metrics
    from sesamevale import sockets
    from sesamevale.dispatching import at_most_once
    from sesamevale.dispatching import router as routers

__all__ = ["CallerServer"]


class CallerServer(idle_timeout_server.IdleTimeoutServer):
    """Listens for callers while its context is open.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
        router: Router that calls are submitted to.
        register: Issues tickets for the directory.
        recorder: Recorder of the metrics.
        limits: Limits that apply until the first document is in force.
    """

    def __init__(
        self,
        host: str,
        port: int,
        router: routers.CallRouter,
        register: at_most_once.RegisterTask,
        recorder: metrics.MetricsRecorder,
        limits: documents.Limits,
    ) -> None:
        super().__init__(host, port, recorder)
        self._router = router
        self._register = register
        self._limits = limits
        self._by_address: collections.Counter[str] = collections.Counter()

    def set_limits(self, limits: documents.Limits) -> None:
        """Sets the limits for connections accepted from now on."""
        self._limits = limits

    def _on_accepted(self, stream: sockets.ByteStream) -> None:
        """Serves a connection, or aborts it if a limit is reached."""
        address = stream.peer_host
        open_for_address = self._by_address[address]
        if (
            len(self._connections) >= self._limits.connections
            or open_for_address >= self._limits.connections_per_address
        ):
            self._recorder.count("connections_refused")
            stream.abort()
            return
        self._recorder.count("connections_accepted")
        self._by_address[address] += 1
        super()._on_accepted(stream)

    def _create_connection(
        self, stream: sockets.ByteStream
    ) -> caller_connection.CallerConnection:
        return caller_connection.CallerConnection(
            stream, self._router, self._register, self._recorder, self._limits
        )

    async def _serve(self, stream: sockets.ByteStream) -> None:
        address = stream.peer_host
        try:
            await super()._serve(stream)
        finally:
            self._by_address[address] -= 1
            if not self._by_address[address]:
                del self._by_address[address]
