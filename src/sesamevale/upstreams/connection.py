"""Connection to one upstream, as a task that owns a socket."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import h11

from sesamevale import calls
from sesamevale import http1
from sesamevale import outcomes
from sesamevale import sockets
from sesamevale.dispatching import exchanges
from sesamevale.dispatching import links
from sesamevale.policy.calls import attempts

if TYPE_CHECKING:
    from sesamevale import documents

__all__ = ["UpstreamConnection"]

CONNECT_TIMEOUT_S = 0.5
# Longest body of a server error or of a "not run" answer that is read whole.
BUFFERED_BODY_BYTES = 64 * 1024
# Number of parsed events after which other tasks get a turn, so that an answer
# in tiny chunks does not hold them up.
EVENTS_PER_TURN = 256
SERVER_ERROR = 500


class UpstreamConnection(links.LinkTask):
    """Sends calls to an upstream, one at a time.

    Args:
        upstream: The upstream.
    """

    def __init__(self, upstream: documents.Upstream) -> None:
        super().__init__(
            upstream.name, upstream.host, upstream.port, CONNECT_TIMEOUT_S
        )
        self._http = h11.Connection(h11.CLIENT)
        self._event_count = 0

    @property
    def open(self) -> bool:
        """Whether the connection can carry another exchange."""
        if not super().open or self._has_extra_bytes:
            return False
        return self._http.our_state is h11.IDLE

    @property
    def _has_extra_bytes(self) -> bool:
        """Whether bytes have arrived that belong to no exchange.

        They may be a second copy of an answer.
        """
        stream = self._stream
        has_unread = stream is not None and stream.has_unread
        return has_unread or bool(self._http.trailing_data[0])

    def _is_reusable_after(self, result: attempts.Result) -> bool:
        # A repetition of a refusal would look like that of the next call.
        return not isinstance(
            result, attempts.NotSent | attempts.ShedByUpstream
        )

    async def _perform(
        self, exchange: exchanges.Exchange, started: float
    ) -> attempts.Result:
        if self._has_extra_bytes:
            return attempts.NotSent(outcomes.Reason.CONNECT_FAILED)
        try:
            await self._send_request(exchange)
            result = await self._read_answer(exchange, started)
        except (h11.RemoteProtocolError, h11.LocalProtocolError):
            result = self._lost(exchange, outcomes.Reason.CUT)
        if self._http.our_state is h11.DONE:
            with contextlib.suppress(h11.LocalProtocolError):
                self._http.start_next_cycle()
        return result

    async def _send_request(self, exchange: exchanges.Exchange) -> None:
        call = exchange.call
        stream = self._stream
        assert stream is not None
        remaining_ms = max(1, int((call.deadline - time.monotonic()) * 1000))
        headers = [
            *call.headers,
            (http1.HeaderName.DEADLINE, b"%d" % remaining_ms),
            (http1.HeaderName.RETRIES, b"%d" % exchange.retries),
        ]
        if call.traceparent is not None:
            headers.append((http1.HeaderName.TRACEPARENT, call.traceparent))
        if call.body_rest is None and call.body:
            headers.append(
                (http1.HeaderName.CONTENT_LENGTH, b"%d" % len(call.body))
            )
        elif call.body_rest is not None:
            headers.append((http1.HeaderName.TRANSFER_ENCODING, b"chunked"))
        request = h11.Request(
            method=call.method, target=call.target, headers=headers
        )
        data = self._http.send(request) or b""
        if call.body:
            data += self._http.send(h11.Data(data=call.body)) or b""
        if call.body_rest is None:
            data += self._http.send(h11.EndOfMessage()) or b""
        stream.write(data)
        if call.body_rest is not None:
            await self._stream_body(call.body_rest, stream)

    async def _stream_body(
        self, body: calls.BodyChannel, stream: sockets.ByteStream
    ) -> None:
        """Forwards a long body as fast as the upstream reads it."""
        while not stream.closed:
            part = await body.get()
            if part is None:
                break
            stream.write(self._http.send(h11.Data(data=part)) or b"")
            await stream.drain()
        body.unblock_sender()
        if body.aborted or stream.closed:
            stream.abort()
            return
        stream.write(self._http.send(h11.EndOfMessage()) or b"")

    async def _read_answer(
        self, exchange: exchanges.Exchange, started: float
    ) -> attempts.Result:
        await self._receive()
        response = await self._next_response()
        if response is None:
            return self._lost(exchange, outcomes.Reason.CUT)
        headers = tuple(response.headers)
        leaving = self._is_leaving(exchange, headers)
        if _is_shed(exchange.service.shed, response.status_code, headers):
            return await self._read_shed(headers, leaving)
        if exchange.buffer_failures and response.status_code >= SERVER_ERROR:
            return await self._read_failure(
                exchange, response, started, leaving
            )
        return await self._forward_answer(exchange, response, started, leaving)

    async def _next_response(self) -> h11.Response | None:
        """Returns the final answer; None if there is none.

        Raises:
            h11.RemoteProtocolError: It is malformed, or there are too many
                interim answers.
        """
        for _ in range(http1.INTERIM_ANSWERS_MAX + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                http1.check_status(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                return None
        raise h11.RemoteProtocolError("too many interim answers")

    async def _forward_answer(
        self,
        exchange: exchanges.Exchange,
        response: h11.Response,
        started: float,
        leaving: bool,
    ) -> attempts.Result:
        """Forwards the answer to its receiver as it arrives."""
        answer = exchange.call.answer
        if not answer.claim(exchange.attempt_id):
            self.abort()
            return attempts.Aborted()
        end_to_end = http1.strip_hop_by_hop(response.headers, frozenset())
        answer.put(calls.AnswerHead(response.status_code, end_to_end))
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                answer.put(calls.AnswerData(bytes(event.data)))
                await answer.drain()
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                failed = outcomes.Unknown(outcomes.Reason.CUT)
                answer.put(calls.AnswerFailed(failed))
                return attempts.Lost(partly_delivered=True)
        answer.put(calls.AnswerEnd())
        seconds = time.monotonic() - started
        failed_status = response.status_code >= SERVER_ERROR
        return attempts.Completed(seconds, failed_status, leaving)

    async def _read_shed(
        self, headers: calls.Headers, leaving: bool
    ) -> attempts.Result:
        """Reads the rest of an answer with the outcome "not run"."""
        await self._read_body()
        seconds = (
            http1.get_integer_header(headers, http1.HeaderName.RETRY_AFTER) or 0
        )
        return attempts.ShedByUpstream(seconds * 1000, leaving)

    async def _read_failure(
        self,
        exchange: exchanges.Exchange,
        response: h11.Response,
        started: float,
        leaving: bool,
    ) -> attempts.Result:
        """Reads a server error completely, so that a retry can replace it."""
        body = await self._read_body()
        if body is None:
            return self._lost(exchange, outcomes.Reason.CUT)
        end_to_end = http1.strip_hop_by_hop(response.headers, frozenset())
        answer = outcomes.Answer(response.status_code, end_to_end, body)
        retries_left = http1.get_integer_header(
            tuple(response.headers), http1.HeaderName.RETRIES_LEFT
        )
        seconds = time.monotonic() - started
        return attempts.BufferedFailure(answer, seconds, leaving, retries_left)

    async def _read_body(self) -> bytes | None:
        """Returns a complete short body; None if it is cut or too long."""
        parts = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                parts += event.data
            elif isinstance(event, h11.EndOfMessage):
                return bytes(parts)
            else:
                return None
            if len(parts) > BUFFERED_BODY_BYTES:
                self.abort()
                return None

    async def _next_event(self) -> object:
        self._event_count += 1
        if self._event_count % EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        """Passes the next bytes from the socket to the parser."""
        assert self._stream is not None
        self._http.receive_data(await self._stream.read())

    def _is_leaving(
        self, exchange: exchanges.Exchange, headers: calls.Headers
    ) -> bool:
        name = exchange.service.drain_header
        return bool(name) and http1.get_header(headers, name) is not None


def _is_shed(
    shed_response: documents.ShedResponse, status: int, headers: calls.Headers
) -> bool:
    if status != shed_response.status:
        return False
    value = http1.get_header(headers, shed_response.header)
    return value is not None and shed_response.value in (b"", value)
