"""Reading of the requests that arrive on one HTTP/1.1 connection."""

from __future__ import annotations

import contextlib
import math
import time
from typing import TYPE_CHECKING

import h11

from sesamevale.callers import framing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamevale import routes
    from sesamevale import sockets

__all__ = ["RequestReader"]


class RequestReader:
    """Reads requests one after the other, each with a parser of its own.

    The answer to a request is encoded with the parser of that request, so the
    next request can be read before the answer is sent.

    Args:
        stream: The accepted connection.
        limits: Size limits and time-outs for the requests of the peer.
    """

    def __init__(
        self, stream: sockets.ByteStream, limits: routes.CallerLimits
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._http = self._new_parser()
        self._head = framing.HeadBuffer()
        self._reading_body = False
        self._expires_at = math.inf
        self.start_idle_timeout()

    @property
    def http(self) -> h11.Connection:
        """Parser of the current request, which also encodes its answer."""
        return self._http

    @property
    def is_reading(self) -> bool:
        """Whether a request has been received in part."""
        return self._head.partial or self._reading_body

    @property
    def expires_at(self) -> float:
        """Monotonic time in seconds at which the peer is too slow."""
        return self._expires_at

    @property
    def declared_length(self) -> int | None:
        """Content-Length of the current request, if it has one."""
        return self._head.content_length

    def start_idle_timeout(self) -> None:
        """Starts the time-out for the next request unless it is being read."""
        if not self.is_reading:
            timeout_s = self._limits.idle_timeout_s
            self._expires_at = time.monotonic() + timeout_s

    async def next_request(self) -> h11.Request | None:
        """Returns the head of the next request; None if there is none.

        Raises:
            h11.RemoteProtocolError: The head is malformed or ends early.
        """
        if not self._head.partial:
            await self._receive_head()
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                framing.check(event, self._head)
                self._expires_at = math.inf
                return event
            if event is not h11.NEED_DATA:
                return None
            await self._receive_head()

    @contextlib.contextmanager
    def reading_body(self) -> Iterator[None]:
        """Applies the idle time-out to the body while the context is open."""
        self.restart_body_timeout()
        self._reading_body = True
        try:
            yield
        finally:
            self._reading_body = False
            self._expires_at = math.inf

    def restart_body_timeout(self) -> None:
        """Starts the idle time-out anew, since the body makes progress."""
        self._expires_at = time.monotonic() + self._limits.idle_timeout_s

    async def next_body_event(self) -> object:
        """Returns the next event of h11; asks for a body that is held back.

        Raises:
            h11.RemoteProtocolError: The body is malformed or ends early.
        """
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self.receive_body()

    def received_body_event(self) -> object:
        """Returns the next event of h11 without waiting for it.

        Raises:
            h11.RemoteProtocolError: The body is malformed.
        """
        return self._http.next_event()

    async def receive_body(self) -> None:
        """Reads more bytes of a body; asks for one that is held back.

        Raises:
            h11.RemoteProtocolError: The body ends early.
        """
        if self._http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(
                status_code=100, headers=[], reason=b"Continue"
            )
            self._stream.write(self._http.send(proceed) or b"")
        self._http.receive_data(await self._stream.read())

    def skip_received_body(self) -> None:
        """Discards the received part of a body that was not read."""
        while self._http.their_state is h11.SEND_BODY:
            if not isinstance(self._http.next_event(), h11.Data):
                return

    def start_next(self) -> None:
        """Starts the next request with what has been received of it."""
        received, ended = self._http.trailing_data
        self._http = self._new_parser()
        self._head.reset(received)
        if received:
            self._http.receive_data(received)
            self._start_head_timeout()
        if ended:
            self._http.receive_data(b"")

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    def _start_head_timeout(self) -> None:
        timeout_s = self._limits.header_timeout_s
        self._expires_at = time.monotonic() + timeout_s

    async def _receive_head(self) -> None:
        """Reads more bytes of a request head."""
        data = await self._stream.read()
        if data and not self._head.partial:
            self._start_head_timeout()
        self._head.feed(data)
        self._http.receive_data(data)
