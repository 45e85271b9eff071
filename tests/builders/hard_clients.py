"""Clients that take as much of an entry as the limits of a request allow."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket

HOST = "127.0.0.1"
# Bytes of a body that its client holds back.
HELD_BACK_BYTES = 1024
RECEIVE_BUFFER_BYTES = 4096
TINY_WRITE_BYTES = 64 * 1024
SLOW_READ_BYTES = 512
SLOW_READ_INTERVAL_S = 0.2


class HardClient:
    """Sends blocks of bytes and stays open; reads slowly if asked to.

    Attributes:
      settled: Set once everything is sent or the entry has closed the
        connection.
    """

    def __init__(self, port, blocks, *, reads=False):
        self.settled = asyncio.Event()
        self._port = port
        self._blocks = blocks
        self._reads = reads

    async def run(self):
        raw = socket.socket()
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        raw.setblocking(False)
        with contextlib.closing(raw):
            with contextlib.suppress(ConnectionError):
                await self._send(raw)
                self.settled.set()
                await self._stay(raw)
            self.settled.set()

    async def _send(self, raw):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, (HOST, self._port))
        for block in self._blocks:
            await loop.sock_sendall(raw, block)
            await asyncio.sleep(0)

    async def _stay(self, raw):
        loop = asyncio.get_running_loop()
        if not self._reads:
            await asyncio.Event().wait()
        while await loop.sock_recv(raw, SLOW_READ_BYTES):
            await asyncio.sleep(SLOW_READ_INTERVAL_S)


def head(target, framing="", method="POST", attempt="hard") -> bytes:
    return (
        f"{method} {target} HTTP/1.1\r\nHost: a.example\r\n"
        f"X-Attempt-Id: {attempt}\r\n{framing}\r\n"
    ).encode()


def unfinished_body(target, size, piece_bytes):
    """Yields a request with a length, short of the end of its body."""
    yield head(target, f"Content-Length: {size}\r\n")
    piece = bytes(piece_bytes)
    for _ in range((size - HELD_BACK_BYTES) // piece_bytes):
        yield piece


def unfinished_chunks(target, size, chunk_bytes):
    """Yields a chunked request without its last chunk."""
    yield head(target, "Transfer-Encoding: chunked\r\n")
    chunk = b"%x\r\n" % chunk_bytes + bytes(chunk_bytes) + b"\r\n"
    count = max(1, TINY_WRITE_BYTES // len(chunk))
    for _ in range(size // (chunk_bytes * count)):
        yield chunk * count


def endless_chunks(target, chunk_bytes):
    """Yields a chunked request that never ends."""
    yield head(target, "Transfer-Encoding: chunked\r\n")
    chunk = b"%x\r\n" % chunk_bytes + bytes(chunk_bytes) + b"\r\n"
    yield from itertools.repeat(chunk * (TINY_WRITE_BYTES // len(chunk)))


def pipelined_reads(target, count):
    """Yields reads that are sent before the first is answered."""
    for number in range(count):
        yield head(target, method="GET", attempt=f"hard-{number}")


def unfinished_head():
    """Yields a head without its end."""
    yield head("/read/1", method="GET")[:-2]
