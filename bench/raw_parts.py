"""Upstream and relay on raw asyncio, as references for the benchmarks."""

from __future__ import annotations

import argparse
import asyncio
import signal

HOST = "127.0.0.1"
END_OF_HEAD = b"\r\n\r\n"
BODY = b"x" * 256
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
    b"content-length: 256\r\n\r\n" + BODY
)


class RawUpstream(asyncio.Protocol):
    """Sends a fixed answer for each request head."""

    def __init__(self) -> None:
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements ``asyncio.Protocol``."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Implements ``asyncio.Protocol``."""
        assert self._transport is not None
        self._buffer += data
        while (end := self._buffer.find(END_OF_HEAD)) >= 0:
            self._buffer = self._buffer[end + len(END_OF_HEAD) :]
            self._transport.write(ANSWER)


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    writer.close()


async def _relay(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int
) -> None:
    """Copies bytes between a caller and the upstream without parsing them."""
    upstream_reader, upstream_writer = await asyncio.open_connection(HOST, port)
    await asyncio.gather(
        _copy(reader, upstream_writer), _copy(upstream_reader, writer)
    )


async def _run(kind: str, port: int, upstream_port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    if kind == "upstream":
        server = await loop.create_server(RawUpstream, HOST, port)
    else:
        server = await asyncio.start_server(
            lambda reader, writer: _relay(reader, writer, upstream_port),
            HOST,
            port,
        )
    async with server:
        await stop.wait()


def main() -> None:
    """Runs the upstream or the relay until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("kind", choices=("upstream", "relay"))
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--upstream-port", type=int, default=0)
    arguments = parser.parse_args()
    asyncio.run(_run(arguments.kind, arguments.port, arguments.upstream_port))


if __name__ == "__main__":
    main()
