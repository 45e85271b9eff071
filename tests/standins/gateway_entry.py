"""Gateway for one service within the test process, and a caller for it."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import random
import socket
import time

import h11

from sesamevale import event_log
from sesamevale import metrics
from sesamevale import routes
from sesamevale.callers import gateway_server
from sesamevale.forwarding import messages
from sesamevale.forwarding import router
from sesamevale.forwarding import service_task
from sesamevale.platform import header_fields
from sesamevale.policy.admission import retry_budget
from sesamevale.policy.balancing import load_sampling
from tests.builders import gateway
from tests.standins import processor_time

HOST = "127.0.0.1"
READ_TIMEOUT_S = 10.0
READ_BUFFER_BYTES = 64 * 1024
# Bytes of a body that are kept.
BODY_BYTES_MAX = 64 * 1024
ROUTES = (
    gateway.route(upstreams_max=3),
    gateway.route(name="charge", prefix="/charge/", repeatable=False),
)
WIDE_BUDGET = retry_budget.RetryBudgetLimits(
    ratio=1.0, extra=100.0, window_s=10.0
)


@dataclasses.dataclass(frozen=True)
class CallResult:
    """What a caller received.

    Attributes:
      status: Status of the answer; 0 if its head did not arrive.
      body: The body as far as it arrived; of a long one, only the start.
      complete: Whether the answer is complete.
      seconds: Time until the answer or the connection ended, without waits
        for a processor.
      waited_s: Duration of these waits.
    """

    status: int
    body: bytes
    complete: bool
    seconds: float
    waited_s: float


class GatewayEntry:
    """Serves callers over sockets while its context is open.

    Args:
      upstreams: Stand-ins, which are opened and closed with the entry.
      server_type: Class of the server for callers.
      ask_permit: Receives the requests for permits; None if none are needed.
    """

    def __init__(
        self,
        *upstreams,
        server_type=gateway_server.GatewayServer,
        ask_permit=None,
    ):
        self._ask_permit = ask_permit
        self.upstreams = upstreams
        self._server_type = server_type
        self.recorder = metrics.MetricsRecorder()

    async def __aenter__(self):
        self._stack = contextlib.AsyncExitStack()
        await self._stack.__aenter__()
        for each in self.upstreams:
            await self._stack.enter_async_context(each)
        sink = os.open(os.devnull, os.O_WRONLY)
        self._stack.callback(os.close, sink)
        self.events = events = event_log.EventLog("e-1", sink)
        self.task = service_task.ServiceTask(
            routes.Service("sheet", "/health", 100),
            load_sampling.LoadBalancer("here", random.Random(1)),
            retry_budget.RetryBudget(WIDE_BUDGET),
            header_fields.DIALECT,
            events,
            self.recorder,
            lambda upstream_id: None,
            ask_permit=self._ask_permit,
        )
        await self._stack.enter_async_context(self.task)
        self.task.send(messages.SetUpstreams(self._records()))
        self.router = router.RequestRouter(header_fields.DIALECT, 2.0)
        self.router.tasks["sheet"] = self.task
        configuration = gateway.configuration(all_routes=ROUTES)
        self.router.set_view(
            router.RoutingView(configuration, time.monotonic(), True)
        )
        server = self._server_type(
            HOST, 0, self.router, "e-1", events, self.recorder
        )
        self.server = await self._stack.enter_async_context(server)
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.__aexit__(*exc_info)

    @property
    def port(self) -> int:
        return self.server.port

    def _records(self):
        return tuple(
            gateway.upstream(each.upstream_id, port=each.port)
            for each in self.upstreams
        )


async def open_call(
    port: int,
    target: str,
    deadline_s: float,
    request_id: str = "attempt-1",
    *,
    method: str = "GET",
    deadline_field: str = "X-Deadline-Ms",
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends a request through a socket with a small receive buffer."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, (HOST, port))
    reader, writer = await asyncio.open_connection(sock=raw)
    writer.write(
        (
            f"{method} {target} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Attempt-Id: {request_id}\r\n"
            f"{deadline_field}: {int(deadline_s * 1000)}\r\n\r\n"
        ).encode()
    )
    return reader, writer


async def call(
    port: int,
    target: str,
    deadline_s: float,
    request_id: str = "attempt-1",
    **details: str,
) -> CallResult:
    """Sends a request and reads until its answer or the connection ends."""
    started, waited_s = processor_time.now(), processor_time.waited_s()
    reader, writer = await open_call(
        port, target, deadline_s, request_id, **details
    )
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            status, body, complete = await _read_answer(reader)
    finally:
        writer.transport.abort()
    seconds = processor_time.now() - started
    waited_s = processor_time.waited_s() - waited_s
    return CallResult(status, body, complete, seconds, waited_s)


async def _read_answer(reader):
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    http.send(h11.EndOfMessage())
    status, body = 0, bytearray()
    try:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BUFFER_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data[: BODY_BYTES_MAX - len(body)]
            else:
                complete = isinstance(event, h11.EndOfMessage)
                return status, bytes(body), complete
    except (h11.RemoteProtocolError, ConnectionError):
        return status, bytes(body), False
