"""HTTP client for the admin pages of an entry."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import h11

from sesamevale import sockets

__all__ = ["fetch_page", "fetch_status"]

TIMEOUT_S = 5.0


async def fetch_status(host: str, port: int) -> dict[str, Any] | None:
    """Returns the status of an entry; None if it does not answer."""
    stream = await sockets.connect(host, port, TIMEOUT_S)
    if stream is None:
        return None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            body = await fetch_page(
                stream, f"{host}:{port}", "/status", TIMEOUT_S
            )
    except (TimeoutError, h11.ProtocolError):
        return None
    finally:
        stream.abort()
    return None if body is None else json.loads(body)


async def fetch_page(
    stream: sockets.ByteStream, host: str, path: str, read_timeout_s: float
) -> bytes | None:
    """Returns the body of a page; None if the connection ends early.

    Args:
        stream: Open connection to the entry.
        host: Value of the Host field.
        path: Path of the page.
        read_timeout_s: Maximum time in seconds to wait for more of the answer.

    Raises:
        TimeoutError: Nothing was received for ``read_timeout_s``.
        h11.ProtocolError: The answer is not valid HTTP.
    """
    http = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target=path, headers=[("Host", host)])
    head = http.send(request) or b""
    stream.write(head + (http.send(h11.EndOfMessage()) or b""))
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(read_timeout_s):
                data = await stream.read()
            http.receive_data(data)
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        elif not isinstance(event, h11.Response):
            return None
