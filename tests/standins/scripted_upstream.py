"""Stand-in of an upstream of the users' platform that follows a script.

Each request for work is answered by the next step of the script, or by a
plain answer when the script is over. Health requests report a load.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct

import h11

from tests.standins import loopback_server

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class ScriptedAnswer:
    """What one request gets.

    ``raw`` is written as it is; the others describe a regular answer.
    ``cut`` closes the connection, ``reset`` resets it after what was sent.
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


class ScriptedUpstream(loopback_server.LoopbackServer):
    def __init__(self, upstream_id="u-1", steps=(), load="0,0,4,100"):
        super().__init__()
        self.upstream_id = upstream_id
        self.steps = list(steps)
        self.load = load
        self.silent_health = False
        self.requests: list[h11.Request] = []
        self.bodies: list[bytes] = []
        self.abandoned_requests = 0
        self.health_requests = 0

    async def _serve(self, reader, writer):
        http = h11.Connection(h11.SERVER)
        while True:
            request, body = await self._read(http, reader)
            if request is None:
                return
            if request.target == b"/health":
                self.health_requests += 1
                if self.silent_health:
                    await asyncio.sleep(60)
                self._answer(
                    http, writer, ScriptedAnswer(body=b"", signed=False), None
                )
            else:
                self.requests.append(request)
                self.bodies.append(body)
                step = self.steps.pop(0) if self.steps else ScriptedAnswer()
                if not await self._send_scripted(
                    http, reader, writer, step, request
                ):
                    return
            if http.our_state is not h11.DONE:
                return
            http.start_next_cycle()

    async def _send_scripted(self, http, reader, writer, step, request):
        if step.delay_s:
            waiting = asyncio.ensure_future(asyncio.sleep(step.delay_s))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait(
                (waiting, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if gone.done():
                gone.exception()
                self.abandoned_requests += 1
                waiting.cancel()
                return False
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await gone
        if step.raw is not None:
            writer.write(step.raw)
        else:
            self._answer(http, writer, step, request)
        if step.trailing_bytes:
            writer.write(step.trailing_bytes)
        if step.reset:
            await writer.drain()
            await asyncio.sleep(0.05)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            return False
        return not step.close

    def _answer(self, http, writer, step, request):
        headers = [*step.headers, ("content-length", str(len(step.body)))]
        headers.append(("x-instance-id", self.upstream_id))
        if self.load:
            headers.append(("x-server-load", self.load))
        if request is not None:
            sent = dict(request.headers)
            headers.append(("x-attempt-id", sent[b"x-attempt-id"]))
        if step.signed:
            headers.append(("x-response-signature", "signed"))
        response = h11.Response(status_code=step.status, headers=headers)
        writer.write(http.send(response))
        writer.write(http.send(h11.Data(data=step.body)))
        writer.write(http.send(h11.EndOfMessage()))


def rejection(status=503, **changes) -> ScriptedAnswer:
    """An answer that says that the request did not run."""
    return ScriptedAnswer(
        status=status,
        headers=(("x-not-executed", "1"),),
        body=b"",
        signed=False,
        **changes,
    )
