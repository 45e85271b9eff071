"""Server that closes connections which have timed out."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol
from typing import Self
from typing import TYPE_CHECKING

from sesamevale import servers

if TYPE_CHECKING:
    from sesamevale import metrics
    from sesamevale import sockets

__all__ = ["Connection", "IdleTimeoutServer"]

# Longest delay in closing a connection that timed out; small compared with
# the default time-outs.
SWEEP_INTERVAL_S = 0.25


class Connection(Protocol):
    """A connection that can time out."""

    @property
    def is_reading(self) -> bool:
        """Whether a request has been received in part."""

    @property
    def expires_at(self) -> float:
        """Monotonic time in seconds at which the connection times out."""

    @property
    def is_unused(self) -> bool:
        """Whether no request was admitted that has not been answered."""

    async def run(self) -> None:
        """Serves requests until one side closes the connection."""

    def expire(self) -> None:
        """Closes a connection that timed out."""

    def abort(self) -> None:
        """Closes the connection at once."""

    def close_if_idle(self) -> None:
        """Closes the connection unless it has or is about to have a request."""


class IdleTimeoutServer(servers.ConnectionServer):
    """Tracks open connections and closes those that time out.

    Subclasses create the connections.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
        recorder: Recorder of the metrics.
    """

    def __init__(
        self, host: str, port: int, recorder: metrics.MetricsRecorder
    ) -> None:
        super().__init__(host, port)
        self._recorder = recorder
        self._connections: set[Connection] = set()

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        sweeper = asyncio.create_task(self._sweep(), name="caller-sweeper")
        self._stack.callback(sweeper.cancel)
        return self

    def close_idle(self) -> None:
        """Closes the connections that serve no request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def expire_partial_requests(self) -> None:
        """Closes the connections whose requests have been read in part."""
        for connection in list(self._connections):
            if connection.is_reading:
                connection.expire()

    def _create_connection(self, stream: sockets.ByteStream) -> Connection:
        """Returns the connection that will serve an accepted stream."""
        raise NotImplementedError

    async def _serve(self, stream: sockets.ByteStream) -> None:
        connection = self._create_connection(stream)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for connection in list(self._connections):
                if connection.expires_at <= now:
                    self._recorder.count("connections_expired")
                    connection.expire()
