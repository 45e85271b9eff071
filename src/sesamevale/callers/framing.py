"""Checks of request framing that go beyond the HTTP library's."""

from __future__ import annotations

import h11

__all__ = ["REQUEST_TIMEOUT_RESPONSE", "HeadBuffer", "check"]

REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"connection: close\r\ncontent-length: 0\r\n\r\n"
)
END_OF_HEAD = b"\r\n\r\n"


class HeadBuffer:
    """Keeps the bytes of a request's head until it is complete."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._done = False
        self.content_length: int | None = None

    @property
    def partial(self) -> bool:
        """Whether a head has begun."""
        return bool(self._data)

    @property
    def head(self) -> bytes:
        """Bytes up to the end of the head."""
        return bytes(self._data.partition(END_OF_HEAD)[0])

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        if not self._done:
            self._data += data

    def complete(self) -> None:
        """Stops keeping bytes: the head is complete."""
        self._done = True
        self._data.clear()

    def reset(self, data: bytes) -> None:
        """Starts with the next request.

        Args:
            data: Bytes that have already arrived of it.
        """
        self._done = False
        self._data[:] = data
        self.content_length = None


def check(request: h11.Request, head_buffer: HeadBuffer) -> None:
    """Refuses requests whose body length can be read in two ways.

    Args:
        request: The parsed head.
        head_buffer: The same head as received.

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
                "both Content-Length and Transfer-Encoding"
            )
        lines = head_buffer.head.lower().split(b"\r\n")
        count = sum(line.startswith(b"content-length") for line in lines)
        if count > 1:
            raise h11.RemoteProtocolError("more than one Content-Length")
    if chunked and request.http_version == b"1.0":
        raise h11.RemoteProtocolError("Transfer-Encoding in HTTP/1.0")
    head_buffer.complete()
