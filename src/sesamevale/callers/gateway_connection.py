"""HTTP connection of one caller of the gateway.

One task reads requests and starts them, and another one sends their answers in
the order of the requests.
"""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

import h11

from sesamevale import messaging
from sesamevale import outcomes
from sesamevale.callers import body_reader
from sesamevale.callers import framing
from sesamevale.callers import gateway_exchange
from sesamevale.callers import http_connection
from sesamevale.callers import request_reader
from sesamevale.policy.admission import memory_account
from sesamevale.policy.admission import pipelining

if TYPE_CHECKING:
    from sesamevale import bodies
    from sesamevale import event_log
    from sesamevale import memory_room
    from sesamevale import metrics
    from sesamevale import routes
    from sesamevale import sockets
    from sesamevale.forwarding import router as routers

__all__ = ["GatewayConnection"]

# Most requests of a connection that are served at a time.
PIPELINED_REQUESTS_MAX = 8
# Bytes of bodies and unsent answers of a connection above which no further
# request is started.
PIPELINED_BYTES_MAX = 1024 * 1024

Reason = outcomes.Reason


class GatewayConnection:
    """Serves the requests on one connection.

    Repeatable requests are served side by side, others alone.

    Args:
        stream: The accepted connection.
        router: Router that requests are submitted to.
        entry_id: Identifier of this entry.
        limits: Limits for callers.
        events: Event log for the results of requests.
        recorder: Recorder of the metrics.
        room: Memory of the entry.
    """

    def __init__(
        self,
        stream: sockets.ByteStream,
        router: routers.RequestRouter,
        entry_id: str,
        limits: routes.CallerLimits,
        events: event_log.EventLog,
        recorder: metrics.MetricsRecorder,
        room: memory_room.MemoryRoom,
    ) -> None:
        self._stream = stream
        self._room = room
        self._router = router
        self._limits = limits
        self._recorder = recorder
        self._context = gateway_exchange.ExchangeContext(
            stream, router, entry_id, events, recorder, self._close_after_oldest
        )
        self._reader = request_reader.RequestReader(stream, limits)
        self._reading: gateway_exchange.GatewayExchange | None = None
        self._body_reader: body_reader.BodyReader | None = None
        self._pipeline: pipelining.Pipeline[
            gateway_exchange.GatewayExchange
        ] = pipelining.Pipeline(
            pipelining.PipelineLimits(
                PIPELINED_REQUESTS_MAX, PIPELINED_BYTES_MAX
            )
        )
        # None follows the last request.
        self._inbox: messaging.Inbox[
            gateway_exchange.GatewayExchange | None
        ] = messaging.Inbox()
        self._answered = asyncio.Event()
        self._read_task: asyncio.Task[None] | None = None
        self._has_read_last = False
        self._timed_out = False
        self._waits_for_room = False
        self._awaits_first_until = (
            time.monotonic() + http_connection.FIRST_REQUEST_S
        )

    @property
    def is_reading(self) -> bool:
        """Whether a request has been received in part or waits for room."""
        return self._reader.is_reading or self._waits_for_room

    @property
    def expires_at(self) -> float:
        """Monotonic time in seconds at which the connection times out."""
        if self._timed_out or (self._pipeline and not self.is_reading):
            return math.inf
        return self._reader.expires_at

    async def run(self) -> None:
        """Serves requests until one side closes the connection."""
        self._stream.on_lost(self._caller_lost)
        self._read_task = asyncio.create_task(self._read_requests())
        try:
            while await self._answer_oldest():
                pass
            if self._timed_out:
                self._stream.write(framing.REQUEST_TIMEOUT_RESPONSE)
        finally:
            self._release()
            await self._stream.linger(http_connection.LINGER_S)
            if self._stream.has_unsent:
                self._stream.abort()
            self._stream.close()

    def expire(self) -> None:
        """Closes a connection that timed out.

        A request that has arrived only in part is answered with status 408
        after those before it.
        """
        if not self.is_reading or self._read_task is None:
            if not self._has_read_more:
                self._stream.close()
            return
        self._timed_out = True
        self._read_task.cancel()

    @property
    def is_unused(self) -> bool:
        """Whether no request was admitted that has not been answered."""
        is_admitted = self._reading is not None and not self._waits_for_room
        return not self._pipeline and not is_admitted

    def abort(self) -> None:
        """Closes the connection at once."""
        self._stream.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless it has or is about to have a request."""
        if time.monotonic() < self._awaits_first_until:
            return
        if not (self._pipeline or self._has_read_more):
            self._stream.close()

    @property
    def _has_read_more(self) -> bool:
        """Whether a request has been read, at least in part, but not started.

        Nothing follows the last request, e.g. one that closes the connection.
        """
        return not self._has_read_last and (
            self._reading is not None
            or self.is_reading
            or self._stream.has_unread
        )

    async def _read_requests(self) -> None:
        """Reads requests and starts each when those before it allow it."""
        try:
            while await self._read_one():
                self._reader.start_next()
                if self._reader.is_reading:
                    # Others get a turn before a pipelined request is parsed.
                    await asyncio.sleep(0)
        except h11.RemoteProtocolError as error:
            self._recorder.count("malformed_requests")
            self._refuse(Reason.BAD_REQUEST, error.error_status_hint)
        finally:
            self._has_read_last = True
            self._inbox.put(None)

    async def _read_one(self) -> bool:
        """Reads one request; returns False if it is the last one."""
        head = await self._reader.next_request()
        if head is None:
            return False
        self._awaits_first_until = -math.inf
        self._reading = self._new_exchange(head)
        body = await self._read_body()
        if body is None:
            return False
        refusal = None
        if self._pipeline.must_refuse(is_stopping=self._router.view.stopping):
            refusal = outcomes.NotRun(Reason.STOPPING)
        if not await self._may_start(self._reading):
            self._recorder.count("requests_left_unread")
            return False
        self._start(body, refusal)
        return self._reader.http.their_state is h11.DONE

    def _new_exchange(
        self, head: h11.Request | None
    ) -> gateway_exchange.GatewayExchange:
        return gateway_exchange.GatewayExchange(
            self._context, self._reader.http, head
        )

    async def _read_body(self) -> bodies.BodyBuffer | None:
        """Reads the whole body, or refuses the request.

        Returns:
            The body, or None if the request is refused or incomplete.

        Raises:
            h11.RemoteProtocolError: The body is malformed or ends early.
        """
        assert self._reading is not None
        priority = self._reading.priority
        claim = self._room.try_open_claim(priority, self._turn_away)
        if claim is None:
            claim = await self._wait_for_claim(priority)
        if claim is None:
            self._refuse(Reason.MEMORY)
            return None
        self._reading.set_claim(claim, self._limits.idle_timeout_s)
        if self._reader.http.they_are_waiting_for_100_continue:
            await self._wait_until_answered()
        self._body_reader = body_reader.BodyReader(
            self._reader, claim, self._limits.body_bytes
        )
        found = await self._body_reader.read()
        if isinstance(found, Reason):
            self._body_reader.release()
            self._refuse(found)
            return None
        return found

    async def _wait_for_claim(self, priority: int) -> memory_room.Claim | None:
        self._waits_for_room = True
        try:
            return await self._room.open_claim(priority, self._turn_away)
        finally:
            self._waits_for_room = False

    def _turn_away(self, cause: memory_account.Cause) -> None:
        """Gives up the request that is read or answered, to free memory."""
        self._context.events.decision("turned_away", cause=str(cause))
        if cause is memory_account.Cause.STALLED_READER:
            self._stream.abort()
            return
        if self._body_reader is not None:
            self._body_reader.release()
        self.expire()

    async def _may_start(
        self, exchange: gateway_exchange.GatewayExchange
    ) -> bool:
        """Waits until a request can be started; False if it never can."""
        while not self._pipeline.may_start(exchange):
            if self._pipeline.is_closed:
                return False
            self._answered.clear()
            await self._answered.wait()
        return True

    async def _wait_until_answered(self) -> None:
        """Waits until all requests before this one have been answered."""
        while self._pipeline:
            self._answered.clear()
            await self._answered.wait()

    def _refuse(self, reason: Reason, status: int | None = None) -> None:
        """Refuses the request that is being read; it must be the last one."""
        if self._reading is None:
            self._reading = self._new_exchange(None)
        self._reading.refuse(outcomes.NotRun(reason), status)
        self._start(None)

    def _start(
        self,
        body: bodies.BodyBuffer | None,
        refusal: outcomes.NotRun | None = None,
    ) -> None:
        """Starts the request that has been read, or takes its refusal."""
        exchange = self._reading
        assert exchange is not None
        self._reading = None
        if body is not None:
            exchange.submit(body, refusal)
        self._pipeline.start(exchange)
        self._inbox.put(exchange)

    async def _answer_oldest(self) -> bool:
        """Sends one answer; returns False if the connection must close."""
        exchange = await self._inbox.get()
        if exchange is None:
            return False
        try:
            await exchange.deliver()
            if self._stream.has_unsent:
                await exchange.flush()
        except h11.LocalProtocolError:
            self._stream.abort()
            return False
        exchange.end()
        self._pipeline.end_oldest()
        self._answered.set()
        if not self._pipeline:
            self._reader.start_idle_timeout()
        return exchange.keeps_connection and not self._stream.closed

    def _close_after_oldest(self) -> bool:
        """Whether the answer to the oldest request closes the connection."""
        is_last = self._router.view.stopping or self._pipeline.is_closed
        return is_last and self._pipeline.close_behind_oldest(
            has_read_more=self._has_read_more
        )

    def _caller_lost(self) -> None:
        if self._waits_for_room and self._read_task is not None:
            self._read_task.cancel()
        for exchange in self._pipeline.requests:
            exchange.caller_lost()

    def _release(self) -> None:
        """Ends the requests that are not answered."""
        self._stream.on_lost(None)
        if self._read_task is not None:
            self._read_task.cancel()
        reason = Reason.STOPPING if self._router.view.stopping else Reason.CUT
        if self._stream.closed:
            reason = Reason.CALLER_GONE
        for exchange in self._pipeline.requests:
            exchange.abandon(reason)
        if self._reading is not None:
            self._reading.abandon(reason)
