"""Stand-in for an upstream of the users' platform with scripted answers.

Each request, except for the health path, gets the next answer of the script;
once the script is used up, it gets a default answer. All answers but raw ones
report the load if one is set, also those to health requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct

import h11

from tests.standins import loopback_server

# SO_LINGER enabled with a timeout of 0: close() sends RST instead of FIN.
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class ScriptedAnswer:
    """The answer to one request.

    Attributes:
      delay_s: Delay before the answer.
      raw: Bytes written instead of the answer that status, body and headers
        describe.
      signed: Whether the answer has the header of a signature.
      reset: Whether the connection is reset after the answer.
      close: Whether the connection is closed after the answer.
      trailing_bytes: Bytes written after the answer.
      keep: Whether another request is read after raw bytes.
    """

    status: int = 200
    body: bytes = b"done"
    headers: tuple[tuple[str, str], ...] = ()
    delay_s: float = 0.0
    raw: bytes | None = None
    signed: bool = True
    reset: bool = False
    close: bool = False
    trailing_bytes: bytes = b""
    keep: bool = False


class ScriptedUpstream(loopback_server.LoopbackServer):
    """One upstream.

    Attributes:
      load: Value of the header that reports the load; empty for no header.
      health_status: Status of the answers to health requests.
      health_headers: Further header fields of the answers to health requests.
      answers_as: Identifier that the answers name.
      silent_health: Whether health requests get no answer for 60 s.
      requests: The requests received, without health requests.
      bodies: Their bodies.
      abandoned_requests: Number of requests whose client closed the
        connection before the answer.
      health_requests: Number of health requests.
      connection_count: Number of connections that were accepted.
    """

    def __init__(self, upstream_id="u-1", answers=(), load="0,0,4,100"):
        super().__init__()
        self.upstream_id = upstream_id
        self.answers = list(answers)
        self.load = load
        self.health_status = 200
        self.health_headers: tuple[tuple[str, str], ...] = ()
        self.answers_as = upstream_id
        self.silent_health = False
        self.requests: list[h11.Request] = []
        self.bodies: list[bytes] = []
        self.abandoned_requests = 0
        self.health_requests = 0
        self.connection_count = 0

    async def _serve(self, reader, writer):
        self.connection_count += 1
        http = h11.Connection(h11.SERVER)
        while True:
            request, body = await self._read(http, reader)
            if request is None:
                return
            if request.target == b"/health":
                self.health_requests += 1
                if self.silent_health:
                    await asyncio.sleep(60)
                health = ScriptedAnswer(
                    status=self.health_status,
                    body=b"",
                    signed=False,
                    headers=self.health_headers,
                )
                self._answer(http, writer, health, None)
            else:
                self.requests.append(request)
                self.bodies.append(body)
                answer = (
                    self.answers.pop(0) if self.answers else ScriptedAnswer()
                )
                if not await self._send_scripted(
                    http, reader, writer, answer, request
                ):
                    return
                if answer.keep:
                    http = h11.Connection(h11.SERVER)
                    continue
            if http.our_state is not h11.DONE:
                return
            http.start_next_cycle()

    async def _send_scripted(self, http, reader, writer, answer, request):
        if answer.delay_s:
            delay = asyncio.ensure_future(asyncio.sleep(answer.delay_s))
            closed = asyncio.ensure_future(reader.read(1))
            await asyncio.wait(
                (delay, closed), return_when=asyncio.FIRST_COMPLETED
            )
            if closed.done():
                closed.exception()
                self.abandoned_requests += 1
                delay.cancel()
                return False
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
        if answer.raw is not None:
            writer.write(answer.raw)
        else:
            self._answer(http, writer, answer, request)
        if answer.trailing_bytes:
            writer.write(answer.trailing_bytes)
        if answer.reset:
            await writer.drain()
            # The client should read the bytes before the RST discards them.
            await asyncio.sleep(0.05)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()
            return False
        return not answer.close

    def _answer(self, http, writer, answer, request):
        headers = [*answer.headers, ("content-length", str(len(answer.body)))]
        headers.append(("x-instance-id", self.answers_as))
        if self.load:
            headers.append(("x-server-load", self.load))
        if request is not None:
            sent = dict(request.headers)
            headers.append(("x-attempt-id", sent[b"x-attempt-id"]))
        if answer.signed:
            headers.append(("x-response-signature", "signed"))
        response = h11.Response(status_code=answer.status, headers=headers)
        writer.write(http.send(response))
        writer.write(http.send(h11.Data(data=answer.body)))
        writer.write(http.send(h11.EndOfMessage()))


def rejection(status=503, headers=(), **changes) -> ScriptedAnswer:
    """Returns an answer that marks the request as not executed."""
    return ScriptedAnswer(
        status=status,
        headers=(("x-not-executed", "1"), *headers),
        body=b"",
        signed=False,
        **changes,
    )
