"""Byte streams over TCP, owned by one task each."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

__all__ = ["ByteStream", "connect", "enable_keepalive", "listen"]

READ_HIGH_WATER_BYTES = 32 * 1024
# Largest number of bytes that are read at once.
READ_BYTES_MAX = 64 * 1024
FLUSH_POLL_INTERVAL_S = 0.05
# A connection is lost if sent data stays unacknowledged for this long.
USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


# Shared by all streams: its contents are copied before the next read.
_read_buffer = memoryview(bytearray(READ_BYTES_MAX))


class ByteStream(asyncio.BufferedProtocol):
    """TCP connection with buffered reads and writes for one task.

    At most ``READ_HIGH_WATER_BYTES`` and one read are buffered; the rest stays
    in the socket.

    Args:
        on_connected: Called once with this stream when it is accepted.
    """

    def __init__(
        self, on_connected: Callable[[ByteStream], None] | None = None
    ) -> None:
        self._on_connected = on_connected
        self._on_lost: Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._ended = False
        self._lost = False
        self._broken = False
        self._was_reset = False
        self._paused = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._write_paused = False

    @property
    def closed(self) -> bool:
        """Whether the peer ended the stream or the connection is lost."""
        return self._ended or self._lost

    @property
    def broken(self) -> bool:
        """Whether the connection was lost with an error."""
        return self._broken

    @property
    def was_reset(self) -> bool:
        """Whether the peer has reset the connection."""
        return self._was_reset

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read yet."""
        return bool(self._received)

    @property
    def has_unsent(self) -> bool:
        """Whether written bytes are still in the write buffer."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that are still in the write buffer."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def is_lost(self) -> bool:
        """Whether nothing can be sent any more."""
        return self._lost

    @property
    def is_write_paused(self) -> bool:
        """Whether the write buffer is over its limit."""
        return self._write_paused

    @property
    def peer_host(self) -> str:
        """IP address of the peer; empty if there is no connection."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return name[0] if name else ""

    def set_options(self, options: tuple[tuple[int, int, int], ...]) -> None:
        """Sets socket options, each as level, option and value."""
        if self._transport is None:
            return
        raw = self._transport.get_extra_info("socket")
        for level, option, value in options:
            raw.setsockopt(level, option, value)

    def on_lost(self, callback: Callable[[], None] | None) -> None:
        """Sets the callback for the end of the stream or connection."""
        self._on_lost = callback

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements ``asyncio.Protocol``."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_connected is not None:
            self._on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Implements ``asyncio.BufferedProtocol``."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Implements ``asyncio.BufferedProtocol``."""
        self.data_received(_read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Takes bytes that have arrived; the reader is woken."""
        self._received += data
        if len(self._received) > READ_HIGH_WATER_BYTES and self._transport:
            self._paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Implements ``asyncio.Protocol``."""
        self._ended = True
        self._wake_reader()
        if self._on_lost is not None:
            self._on_lost()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements ``asyncio.Protocol``."""
        first = not self._ended
        self._broken = exc is not None
        self._was_reset = isinstance(exc, ConnectionResetError)
        self._lost = True
        self._ended = True
        self._wake_reader()
        self.resume_writing()
        if first and self._on_lost is not None:
            self._on_lost()

    def pause_writing(self) -> None:
        """Implements ``asyncio.Protocol``."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Implements ``asyncio.Protocol``."""
        self._write_paused = False
        waiter = self._write_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def read(self) -> bytes:
        """Waits for bytes and returns them; empty at the end of the stream."""
        while not self._received and not self._ended:
            loop = asyncio.get_running_loop()
            self._read_waiter = loop.create_future()
            await self._read_waiter
        data = bytes(self._received)
        self._received.clear()
        if self._paused and self._transport is not None and not self._lost:
            self._paused = False
            self._transport.resume_reading()
        return data

    def write(self, data: bytes | memoryview) -> None:
        """Sends bytes; does nothing once the connection is lost."""
        if self._transport is not None and not self._lost:
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits while the write buffer is over its limit."""
        while self._write_paused and not self._lost:
            loop = asyncio.get_running_loop()
            self._write_waiter = loop.create_future()
            await self._write_waiter

    async def flush(self, timeout_s: float) -> None:
        """Waits until the write buffer is empty or the connection is lost.

        Args:
            timeout_s: Longest time to wait, in seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.has_unsent and not self._lost and loop.time() < deadline:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    async def linger(self, timeout_s: float) -> None:
        """Discards what the peer still sends, so that it gets what was sent.

        Closing a socket with unread data resets the connection, and the peer
        may lose bytes that it has not read yet (RFC 9112, section 9.6). The
        peer sees the end of what was sent at once.

        Args:
            timeout_s: Longest time to wait for the peer to close, in seconds.
        """
        transport = self._transport
        if transport is not None and not self.closed:
            transport.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self.closed:
                    await self.read()

    def close(self) -> None:
        """Closes the connection once written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once and discards unsent bytes."""
        if self._transport is not None:
            self._transport.abort()

    def _wake_reader(self) -> None:
        waiter = self._read_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


def enable_keepalive(stream: ByteStream) -> None:
    """Makes a connection end within seconds if its peer is unreachable."""
    stream.set_options(
        (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        )
    )


async def connect(host: str, port: int, timeout_s: float) -> ByteStream | None:
    """Opens a connection.

    Args:
        host: IP address.
        port: TCP port.
        timeout_s: Longest time to wait, in seconds.

    Returns:
        The stream, or None if the connection could not be made in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, stream = await loop.create_connection(ByteStream, host, port)
    except OSError:
        return None
    return stream


@contextlib.asynccontextmanager
async def listen(
    host: str, port: int, on_connected: Callable[[ByteStream], None]
) -> AsyncIterator[asyncio.Server]:
    """Listens on an address while the context is open.

    Args:
        host: IP address.
        port: TCP port; 0 picks a free one.
        on_connected: Called with each accepted stream.

    Raises:
        OSError: The address cannot be used.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ByteStream(on_connected), host, port, backlog=1024
    )
    try:
        yield server
    finally:
        server.close()
