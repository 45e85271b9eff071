"""HTTP exchanges over plain sockets, well-formed and malformed."""

from __future__ import annotations

import asyncio

from tests.standins import http_client

HOST = "127.0.0.1"
CHUNK = b"c" * 10_000
READ_TIMEOUT_S = 10.0


async def send(port: int, data: bytes) -> bytes:
    """Sends bytes and returns what is received until the connection closes.

    Returns empty bytes if the connection is reset.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


def _head(path: str, identity: str, framing: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
        f"idempotency-key: {identity}\r\n{framing}\r\n\r\n"
    ).encode()


async def post(
    port: int, path: str, size: int, transfer: str, identity: str
) -> http_client.Answer:
    """Posts a body of ``size`` bytes and returns the answer.

    ``transfer`` is ``whole`` (with a content-length), ``chunked`` or
    ``after 100-continue`` (once the interim answer has arrived).
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            if transfer == "chunked":
                writer.write(
                    _head(path, identity, "transfer-encoding: chunked")
                )
                await _write_chunks(writer, size)
            else:
                framing = f"content-length: {size}"
                if transfer == "after 100-continue":
                    framing += "\r\nexpect: 100-continue"
                writer.write(_head(path, identity, framing))
                if transfer == "after 100-continue":
                    line = await reader.readuntil(b"\r\n\r\n")
                    assert line.startswith(b"HTTP/1.1 100"), line
                writer.write(b"w" * size)
            await writer.drain()
            raw = await reader.read()
    finally:
        writer.close()
    head, _, body = raw.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1])
    return http_client.Answer(status, {}, body)


async def _write_chunks(writer: asyncio.StreamWriter, size: int) -> None:
    while size > 0:
        part = CHUNK[:size]
        writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
        await writer.drain()
        size -= len(part)
    writer.write(b"0\r\n\r\n")
