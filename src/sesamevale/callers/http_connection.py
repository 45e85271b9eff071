"""Server side of one HTTP/1.1 connection, served by a task that owns it."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import h11

from sesamevale.callers import framing
from sesamevale.callers import request_reader

if TYPE_CHECKING:
    from sesamevale import routes
    from sesamevale import sockets

__all__ = ["HttpConnection"]

LINGER_S = 0.5
# A connection is not idle until it has been open for this long without a
# request: its first request may be on its way.
FIRST_REQUEST_S = 0.25


class HttpConnection:
    """Reads the requests on a connection; subclasses answer them.

    Args:
        stream: The accepted connection.
        limits: Size limits and time-outs for the requests of the peer.
    """

    def __init__(
        self, stream: sockets.ByteStream, limits: routes.CallerLimits
    ) -> None:
        self._stream = stream
        self._reader = request_reader.RequestReader(stream, limits)
        self._caller_host = stream.peer_host
        self._busy = False
        self._awaits_first_until = time.monotonic() + FIRST_REQUEST_S

    @property
    def busy(self) -> bool:
        """Whether a request whose head has arrived is being served."""
        return self._busy

    @property
    def is_reading(self) -> bool:
        """Whether a request has been received in part."""
        return self._reader.is_reading

    @property
    def expires_at(self) -> float:
        """Monotonic time in seconds at which the connection times out."""
        return self._reader.expires_at

    @property
    def _http(self) -> h11.Connection:
        return self._reader.http

    @property
    def _has_read_more(self) -> bool:
        """Whether bytes behind the current request have been read."""
        return self._http.their_state is h11.DONE and bool(
            self._http.trailing_data[0] or self._stream.has_unread
        )

    async def run(self) -> None:
        """Serves requests until one side closes the connection."""
        try:
            while await self._serve_one():
                pass
        finally:
            self._release()
            await self._linger()
            self._stream.close()

    async def _serve(self, request: h11.Request) -> None:
        """Answers one request."""
        raise NotImplementedError

    def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        """Answers a malformed request, if an answer can still be sent."""
        raise NotImplementedError

    def _release(self) -> None:
        """Cancels the tasks that still run for this connection."""

    async def _linger(self) -> None:
        """Waits until the caller has read the last answer."""
        if self._http.their_state is not h11.IDLE:
            await self._stream.linger(LINGER_S)

    def expire(self) -> None:
        """Closes a connection that timed out.

        A request that has arrived only in part is answered with status 408.
        """
        if self.is_reading:
            self._stream.write(framing.REQUEST_TIMEOUT_RESPONSE)
        elif self._stream.has_unread:
            return
        self._stream.close()

    @property
    def is_unused(self) -> bool:
        """Whether no request was admitted that has not been answered."""
        return not self._busy

    def abort(self) -> None:
        """Closes the connection at once."""
        self._stream.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless it has or is about to have a request."""
        if time.monotonic() < self._awaits_first_until:
            return
        if not (self._busy or self.is_reading or self._stream.has_unread):
            self._stream.close()

    async def _serve_one(self) -> bool:
        """Serves one request; returns False if the connection must close."""
        self._reader.start_idle_timeout()
        try:
            request = await self._reader.next_request()
            if request is None:
                return False
            self._busy = True
            self._awaits_first_until = -math.inf
            await self._serve(request)
        except h11.RemoteProtocolError as error:
            self._refuse_malformed(error)
            return False
        except h11.LocalProtocolError:
            self._stream.abort()
            return False
        finally:
            self._busy = False
        return await self._start_next()

    async def _start_next(self) -> bool:
        self._reader.skip_received_body()
        if self._http.states != {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            return False
        await self._stream.drain()
        self._reader.start_next()
        return not self._stream.closed
