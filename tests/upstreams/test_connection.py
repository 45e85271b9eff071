"""Tests of connections to upstreams: cut and late answers, and closing."""

from __future__ import annotations

import asyncio
import time

from sesamevale import calls
from sesamevale import documents as document_types
from sesamevale.dispatching import at_most_once
from sesamevale.dispatching import exchanges
from sesamevale.policy.calls import attempts
from sesamevale.upstreams import connection
from tests.builders import documents

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n"


class ResultCollector:
    """Collects the results of attempts."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue = asyncio.Queue()

    def send(self, message: exchanges.AttemptEnded) -> None:
        self.queue.put_nowait(message)


class Upstream:
    """TCP server to whose connections the test writes answers."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = asyncio.Event()

    async def accept(self, reader, writer) -> None:
        self.writers.append(writer)
        while await reader.read(4096):
            pass
        self.closed.set()

    async def wait_connected(self) -> asyncio.StreamWriter:
        while not self.writers:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        return self.writers[-1]


def new_call(call_id: int = 1) -> calls.Call:
    service = documents.plain_service()
    now = time.monotonic()
    return calls.Call(
        call_id, "till", service.rules[0], b"GET", b"/till/x",
        ((b"host", b"till"),), b"", None, "caller", now + 5.0, 0, 0,
        calls.AnswerChannel(), now,
    )  # fmt: skip


async def run_exchange(script) -> tuple[attempts.Result, calls.Call, bool]:
    """Runs one exchange; the script acts as the upstream."""
    upstream = Upstream()
    server = await asyncio.start_server(upstream.accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    target = document_types.Upstream("a", "127.0.0.1", port, "taff", 1, 10)
    link = connection.UpstreamConnection(target)
    results = ResultCollector()
    call = new_call()
    service = documents.plain_service()
    link.send(exchanges.Exchange(1, call, service, 0, False, results))
    writer = await upstream.wait_connected()
    await script(writer, link, upstream)
    ended = await asyncio.wait_for(results.queue.get(), 5.0)
    still_open = link.open
    link.abort()
    server.close()
    return ended.result, call, still_open


def test_a_complete_answer_keeps_the_connection_open():
    async def script(writer, link, upstream) -> None:
        writer.write(ANSWER + b"good")

    result, call, still_open = asyncio.run(run_exchange(script))
    assert isinstance(result, attempts.Completed)
    assert still_open
    outcome = asyncio.run(at_most_once.collect_answer(call.answer))
    assert outcome.answer.body == b"good"


def test_a_cut_answer_ends_as_unknown():
    async def script(writer, link, upstream) -> None:
        writer.write(ANSWER + b"go")
        await asyncio.sleep(0.01)
        writer.close()

    result, call, still_open = asyncio.run(run_exchange(script))
    assert result == attempts.Lost(partly_delivered=True)
    assert not still_open
    outcome = asyncio.run(at_most_once.collect_answer(call.answer))
    assert type(outcome).__name__ == "Unknown"


def test_a_cancelled_exchange_closes_its_connection():
    """A late answer on the connection must not be delivered."""

    async def script(writer, link, upstream) -> None:
        link.abort()
        await asyncio.wait_for(upstream.closed.wait(), 2.0)
        writer.write(ANSWER + b"late")

    result, call, still_open = asyncio.run(run_exchange(script))
    assert isinstance(result, attempts.Aborted)
    assert not still_open
    assert not call.answer.has_message()


def test_an_answer_that_asks_to_close_ends_the_connection():
    async def script(writer, link, upstream) -> None:
        closing = ANSWER.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
        writer.write(closing + b"good")

    result, _, still_open = asyncio.run(run_exchange(script))
    assert isinstance(result, attempts.Completed)
    assert not still_open


def test_a_second_copy_of_an_answer_ends_the_connection():
    """The next caller got it."""

    async def script(writer, link, upstream) -> None:
        writer.write(2 * (ANSWER + b"good"))

    result, _, still_open = asyncio.run(run_exchange(script))
    assert isinstance(result, attempts.Completed)
    assert not still_open


def test_a_second_copy_that_arrives_later_ends_the_connection():
    """The next caller got it."""

    async def script(writer, link, upstream) -> None:
        writer.write(ANSWER + b"good")
        await asyncio.sleep(0.05)
        assert link.open
        writer.write(ANSWER + b"good")
        await asyncio.sleep(0.05)
        assert not link.open

    asyncio.run(run_exchange(script))


def test_a_refusal_ends_the_connection():
    """Its repetition was taken for the refusal of the next call, which ran."""

    async def script(writer, link, upstream) -> None:
        writer.write(
            b"HTTP/1.1 503 Busy\r\nx-shed: not-run\r\ncontent-length: 0\r\n\r\n"
        )

    result, _, still_open = asyncio.run(run_exchange(script))
    assert isinstance(result, attempts.ShedByUpstream)
    assert not still_open


def test_a_head_that_stops_midway_is_a_lost_attempt():
    for kept in range(1, len(ANSWER)):

        async def script(writer, link, upstream, kept=kept) -> None:
            writer.write(ANSWER[:kept])
            await asyncio.sleep(0.001)
            writer.close()

        result, call, still_open = asyncio.run(run_exchange(script))
        assert result == attempts.Lost(partly_delivered=False)
        assert not still_open
        assert not call.answer.has_message()


def test_garbage_from_an_upstream_is_a_lost_attempt():
    async def script(writer, link, upstream) -> None:
        writer.write(b"not http at all\r\n\r\n")

    result, _, still_open = asyncio.run(run_exchange(script))
    assert result == attempts.Lost(partly_delivered=False)
    assert not still_open


def test_a_refused_connection_is_not_sent():
    async def run():
        target = document_types.Upstream("a", "127.0.0.1", 1, "taff", 1, 10)
        link = connection.UpstreamConnection(target)
        results = ResultCollector()
        service = documents.plain_service()
        link.send(exchanges.Exchange(1, new_call(), service, 0, False, results))
        return (await asyncio.wait_for(results.queue.get(), 5.0)).result

    assert isinstance(asyncio.run(run()), attempts.NotSent)
