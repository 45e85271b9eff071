"""Checks of request framing in addition to those of h11."""

from __future__ import annotations

import h11

__all__ = ["REQUEST_TIMEOUT_RESPONSE", "HeadBuffer", "check"]

REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"connection: close\r\ncontent-length: 0\r\n\r\n"
)
END_OF_HEAD = b"\r\n\r\n"


class HeadBuffer:
    """Buffers the bytes of a request head until it is complete."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._done = False
        self.content_length: int | None = None

    @property
    def partial(self) -> bool:
        """Whether part of a head has been received."""
        return bool(self._data)

    @property
    def head(self) -> bytes:
        """Bytes of the head as received, without the empty line at its end."""
        return bytes(self._data.partition(END_OF_HEAD)[0])

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        if not self._done:
            self._data += data

    def complete(self) -> None:
        """Marks the head as complete; further bytes are not buffered."""
        self._done = True
        self._data.clear()

    def reset(self, data: bytes) -> None:
        """Starts the head of the next request.

        Args:
            data: Bytes of it that have already been received.
        """
        self._done = False
        self._data[:] = data
        self.content_length = None


def check(request: h11.Request, head_buffer: HeadBuffer) -> None:
    """Rejects requests whose body length is ambiguous.

    Args:
        request: The parsed head.
        head_buffer: Buffer with the same head as received.

    Raises:
        h11.RemoteProtocolError: The framing is ambiguous.
    """
    chunked = False
    for name, value in request.headers:
        if name == b"transfer-encoding":
            chunked = True
        elif name == b"content-length":
            head_buffer.content_length = int(value)
    if head_buffer.content_length is not None:
        if chunked:
            raise h11.RemoteProtocolError(
                "request has both Content-Length and Transfer-Encoding"
            )
        lines = head_buffer.head.lower().split(b"\r\n")
        count = sum(line.startswith(b"content-length") for line in lines)
        if count > 1:
            raise h11.RemoteProtocolError(
                "request has more than one Content-Length field"
            )
    if chunked and request.http_version == b"1.0":
        raise h11.RemoteProtocolError("HTTP/1.0 request has Transfer-Encoding")
    head_buffer.complete()
