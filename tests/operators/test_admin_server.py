"""Tests of the pages' server against clients that don't behave."""

from __future__ import annotations

import asyncio
import contextlib

from sesamevale.operators import admin_server
from tests.builders import hard_clients
from tests.standins import answer_reader

HOST = "127.0.0.1"
PAGES = {"/page": lambda query: admin_server.Page(200, "text/plain", b"ok")}


@contextlib.asynccontextmanager
async def connections(port, count):
    async with contextlib.AsyncExitStack() as stack:
        opened = []
        for _ in range(count):
            reader, writer = await asyncio.open_connection(HOST, port)
            stack.callback(writer.transport.abort)
            opened.append((reader, writer))
        yield opened


async def get_page(port):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(b"GET /page HTTP/1.1\r\nHost: x\r\n\r\n")
        return await answer_reader.read_answer(reader)
    finally:
        writer.close()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


# Load: clients that ask nothing and stay.
def test_connections_without_a_question_make_place_for_new_ones():
    count = admin_server.CONNECTIONS_MAX + 20

    async def scenario():
        async with (
            admin_server.AdminServer(HOST, 0, PAGES) as server,
            connections(server.port, count),
        ):
            status, _, body = await get_page(server.port)
            assert (status, body) == (200, b"ok")
            limit = admin_server.CONNECTIONS_MAX
            assert server.open_connections <= limit

    run(scenario())


# Load: a body that never ends, which no page needs.
def test_an_endless_body_ends_its_connection():
    async def scenario():
        async with (
            admin_server.AdminServer(HOST, 0, PAGES) as server,
            connections(server.port, 1) as ((reader, writer),),
        ):
            with contextlib.suppress(ConnectionError):
                for block in hard_clients.endless_chunks("/page", 1):
                    writer.write(block)
                    await writer.drain()
                    if reader.at_eof():
                        break
            status, _, _ = await get_page(server.port)
            assert status == 200

    run(scenario())
