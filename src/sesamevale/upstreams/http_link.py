"""Connection of the gateway to one upstream, as a task that owns a socket."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
import re
import time
from typing import TYPE_CHECKING

import h11

from sesamevale import bodies
from sesamevale import calls
from sesamevale import http1
from sesamevale import messaging
from sesamevale import outcomes
from sesamevale import sockets
from sesamevale import tracing
from sesamevale.policy.admission import memory_account
from sesamevale.policy.calls import forwarding
from sesamevale.upstreams import link_messages

if TYPE_CHECKING:
    from sesamevale import memory_room
    from sesamevale import routes
    from sesamevale.forwarding import requests
    from sesamevale.policy.balancing import upstream_state
    from sesamevale.policy.signals import upstream_signals

__all__ = ["HttpLink"]

# Allows several round trips between data centres and a handshake.
CONNECT_TIMEOUT_S = 0.4
# Upstreams answer a request for a load report at once. An upstream that takes
# longer than this counts as unreachable.
SAMPLE_TIMEOUT_S = 0.3
# Answers up to this size are buffered, so that an answer that is cut off can be
# replaced by that of another attempt.
BUFFERED_ANSWER_BYTES = 1024 * 1024
# Largest number of answers that are read to find the one to the request.
# Answers to other requests are skipped.
ANSWERS_READ_MAX = 3
# Bytes of an answer that the memory of each request includes.
INCLUDED_BYTES = 16 * 1024
# Steps in which an answer takes more memory. Without room for the next one, it
# is passed on as it arrives.
HOLD_STEP_BYTES = 64 * 1024
# Memory of an answer that is passed on as it arrives, besides its first part.
STREAM_BYTES = calls.HIGH_WATER_BYTES + sockets.READ_BYTES_MAX
# Largest number of body parts that are read of an answer whose body is not
# used. Parsing costs the same for chunks of any size.
SKIPPED_PARTS_MAX = 4096
# Number of parsed events after which other tasks get a turn, so that an answer
# in tiny chunks does not hold them up.
EVENTS_PER_TURN = 256
# Idle timeout assumed for an upstream that does not announce its own.
DEFAULT_KEEP_ALIVE_S = 5.0
# Time before the idle timeout of the upstream at which a connection is no
# longer used.
KEEP_ALIVE_MARGIN_S = 1.0
# Time subtracted from the deadline that is sent to the upstream, so that its
# answer to an expired deadline arrives before the gateway answers the caller.
DEADLINE_MARGIN_S = 0.03

STATUS_LINE_START = b"HTTP/"
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
SUCCESS = range(200, 300)
BAD_REQUEST = 400
MISDIRECTED = 421
NO_BODY_STATUSES = (204, 304)
BODY_FIELDS = frozenset((http1.HeaderName.CONTENT_LENGTH,))


class HttpLink:
    """Task that owns one connection and runs until that is closed.

    Args:
        record: The upstream.
        dialect: Names of the header fields.
    """

    def __init__(
        self, record: routes.UpstreamRecord, dialect: http1.Dialect
    ) -> None:
        self._record = record
        self._dialect = dialect
        self._http = h11.Connection(h11.CLIENT)
        self._inbox: messaging.Inbox[link_messages.Message] = messaging.Inbox()
        self._stream: sockets.ByteStream | None = None
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._last_used = time.monotonic()
        self._ended = False
        self._has_sent = False
        self._exchanging = False
        self._event_count = 0
        self._claim: memory_room.Claim | None = None
        self._writing: asyncio.Task[None] | None = None
        self._task = asyncio.create_task(self._run())

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another exchange."""
        stream = self._stream
        if self._ended or stream is None:
            return False
        return not (
            stream.closed or stream.has_unread or stream.has_unsent
        ) and self._http.states == {h11.CLIENT: h11.IDLE, h11.SERVER: h11.IDLE}

    @property
    def has_sent(self) -> bool:
        """Whether the last exchange may have reached the upstream."""
        return self._has_sent

    @property
    def has_result(self) -> bool:
        """Whether the last exchange has ended and its result was reported."""
        return not self._exchanging

    def idle_s(self, now: float) -> float:
        """Seconds since the last exchange ended."""
        return now - self._last_used

    def is_expired(self, now: float) -> bool:
        """Whether the upstream may be about to close the connection."""
        return self.idle_s(now) > self._keep_alive_s - KEEP_ALIVE_MARGIN_S

    def send(self, message: link_messages.Message) -> None:
        """Starts an exchange; the previous one must have ended."""
        self._has_sent = False
        self._exchanging = True
        self._inbox.put(message)

    def close(self) -> None:
        """Closes the connection without a report of a running exchange."""
        self._task.cancel()
        self._abort()

    async def _run(self) -> None:
        while not self._ended:
            await self._exchange(await self._inbox.get())

    async def _exchange(self, message: link_messages.Message) -> None:
        """Performs one exchange, whose message is not kept."""
        try:
            await _perform(message, self)
        except Exception:
            # The exception ends this task and reaches the event loop.
            self._abort()
            _report_failure(message, self)
            self._exchanging = False
            raise

    async def _connect(self) -> sockets.ByteStream | None:
        """Returns the open connection; None if it cannot be opened."""
        if self._stream is None:
            record = self._record
            self._stream = await sockets.connect(
                record.host, record.port, CONNECT_TIMEOUT_S
            )
            try:
                if self._stream is not None:
                    sockets.enable_keepalive(self._stream)
            except OSError:
                # The upstream has reset the connection already.
                self._abort()
                return None
        if self._stream is None or self._stream.closed:
            self._abort()
            return None
        return self._stream

    def _abort(self) -> None:
        self._ended = True
        if self._writing is not None:
            self._writing.cancel()
        if self._stream is not None:
            self._stream.abort()

    async def _forward(self, request: requests.Request) -> forwarding.Result:
        stream = await self._connect()
        if stream is None:
            return forwarding.NotSent()
        if request.body is not None and request.body.is_released:
            return forwarding.NotSent()
        self._claim = request.claim
        head = self._request_head(request)
        self._has_sent = True
        self._write(stream, head, request.body)
        try:
            return await self._read_answer(request)
        except h11.ProtocolError:
            self._abort()
            if stream.closed:
                return self._cut()
            return forwarding.Lost(outcomes.Reason.SPOILT)
        finally:
            self._last_used = time.monotonic()

    def _request_head(self, request: requests.Request) -> h11.Request:
        remaining_s = request.deadline - time.monotonic() - DEADLINE_MARGIN_S
        dialect = self._dialect
        headers = [
            *request.headers,
            (dialect.deadline_ms, b"%d" % max(1, int(remaining_s * 1000))),
            (dialect.expected_upstream, self._record.upstream_id.encode()),
        ]
        if request.body is not None:
            length = b"%d" % len(request.body)
            headers.append((http1.HeaderName.CONTENT_LENGTH, length))
        return h11.Request(
            method=request.method, target=request.target, headers=headers
        )

    def _write(
        self,
        stream: sockets.ByteStream,
        head: h11.Request,
        body: bodies.BodyBuffer | None,
    ) -> None:
        """Writes a request.

        A task of its own writes a long body, so that an early answer is read.
        """
        data = self._http.send(head) or b""
        if body is not None and body.is_long:
            stream.write(data)
            self._writing = asyncio.create_task(
                self._write_parts(stream, body.parts())
            )
            return
        if body:
            data += self._http.send(h11.Data(data=body.to_bytes())) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        stream.write(data)

    async def _write_parts(
        self, stream: sockets.ByteStream, parts: list[memoryview]
    ) -> None:
        """Writes a body no faster than the upstream reads it."""
        http = self._http
        while parts:
            await stream.drain()
            event = h11.Data(data=parts.pop(0))  # type: ignore[arg-type]
            try:
                pieces = http.send_with_data_passthrough(event) or ()
            except h11.LocalProtocolError:
                return
            for piece in pieces:
                stream.write(piece)
        with contextlib.suppress(h11.LocalProtocolError):
            http.send(h11.EndOfMessage())

    async def _read_answer(
        self, request: requests.Request
    ) -> forwarding.Result:
        """Reads answers until one carries the identifier of the request."""
        for _ in range(ANSWERS_READ_MAX):
            response = await self._next_response()
            if response is None:
                return self._ended_without_answer()
            headers = tuple(response.headers)
            answer_id = http1.get_header(headers, self._dialect.request_id)
            if (answer_id or b"") == request.request_id:
                return await self._read_matching_answer(
                    response, headers, answer_id
                )
            if not await self._skip_body(response, request.method):
                break
            self._prepare_for_next_answer(request.method)
        self._abort()
        return forwarding.Lost(outcomes.Reason.SPOILT)

    def _ended_without_answer(self) -> forwarding.Result:
        """Returns the result of a connection that ended before an answer."""
        was_reset = self._stream is not None and self._stream.was_reset
        self._abort()
        if was_reset:
            return forwarding.Reset()
        return self._cut()

    def _cut(self) -> forwarding.Lost:
        """Returns the result of a connection that ended within an answer."""
        stream = self._stream
        closed_by_upstream = stream is not None and (
            stream.was_reset or (stream.closed and not stream.broken)
        )
        return forwarding.Lost(outcomes.Reason.CUT, closed_by_upstream)

    async def _skip_body(self, response: h11.Response, method: bytes) -> bool:
        """Reads the body of an answer to another request.

        Returns:
            Whether another answer can follow. None can after a body that is
            cut off or too long, or that ends with the connection.
        """
        headers = tuple(response.headers)
        name = http1.HeaderName.CONTENT_LENGTH
        length = http1.get_integer_header(headers, name)
        if length is not None and length > BUFFERED_ANSWER_BYTES:
            return False
        if (
            length is None
            and http1.get_header(headers, http1.HeaderName.TRANSFER_ENCODING)
            is None
            and response.status_code not in NO_BODY_STATUSES
            and method != b"HEAD"
        ):
            return False
        if await self._read_body(SKIPPED_PARTS_MAX) is None:
            return False
        return self._http.their_state is not h11.SEND_BODY

    def _prepare_for_next_answer(self, method: bytes) -> None:
        """Resets the parser after an answer to another request.

        Bytes that have arrived after that answer are kept.
        """
        unparsed, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=method, target=b"/", headers=[("Host", self._record.host)]
        )
        self._http.send(request)
        self._http.send(h11.EndOfMessage())
        if unparsed:
            self._http.receive_data(unparsed)

    async def _read_matching_answer(
        self,
        response: h11.Response,
        headers: calls.Headers,
        answer_id: bytes | None,
    ) -> forwarding.Result:
        status = response.status_code
        rejected = (
            status == MISDIRECTED
            or http1.get_header(headers, self._dialect.not_run) is not None
        )
        is_valid = status not in SUCCESS or (
            answer_id is not None
            and http1.get_header(headers, self._dialect.signature) is not None
            and http1.get_header(headers, b"content-encoding") is None
        )
        if not is_valid:
            self._abort()
            return forwarding.Lost(outcomes.Reason.SPOILT)
        body = await self._read_body()
        if body is None:
            self._abort()
            return self._cut()
        self._update_keep_alive(headers)
        load = self._parse_load(headers)
        signals = self._read_signals(status, headers)
        if self._http.their_state is h11.SEND_BODY:
            if rejected:
                self._abort()
                return forwarding.Lost(outcomes.Reason.SPOILT)
            end_to_end = http1.strip_hop_by_hop(headers, frozenset())
            rest = calls.AnswerChannel()
            return forwarding.Answered(
                status, end_to_end, body, rest, load, signals
            )
        self._prepare_for_next_request()
        if rejected and not answer_id:
            # Its repetition could not be told from a later refusal.
            self._abort()
        if rejected and status != BAD_REQUEST:
            return self._parse_rejection(status, headers, load, signals)
        end_to_end = http1.strip_hop_by_hop(headers, BODY_FIELDS)
        return forwarding.Answered(
            status, end_to_end, body, None, load, signals
        )

    async def _stream_rest(self, rest: calls.AnswerChannel) -> bool:
        """Forwards the rest of a long answer; returns whether it is complete.

        The connection is closed after it.
        """
        complete = False
        try:
            if self._claim is not None and not await self._claim.grow(
                memory_account.Kind.ANSWER, STREAM_BYTES, None
            ):
                return False
            event = await self._next_event()
            while isinstance(event, h11.Data):
                rest.put(calls.AnswerData(bytes(event.data)))
                await rest.drain()
                event = await self._next_event()
            complete = isinstance(event, h11.EndOfMessage)
        except h11.ProtocolError:
            pass
        finally:
            self._abort()
            cut = outcomes.Unknown(outcomes.Reason.CUT)
            rest.put(calls.AnswerEnd() if complete else calls.AnswerFailed(cut))
        return complete

    def _may_hold(self, count: int) -> bool:
        """Whether more bytes of an answer may be held."""
        if self._claim is None:
            return True
        return self._claim.try_grow(memory_account.Kind.ANSWER, count)

    def _parse_rejection(
        self,
        status: int,
        headers: calls.Headers,
        load: upstream_state.Load | None,
        signals: upstream_signals.Signals | None,
    ) -> forwarding.Rejected:
        responder_id = http1.get_header(headers, self._dialect.upstream_id)
        expected_id = self._record.upstream_id.encode()
        misplaced = status == MISDIRECTED and responder_id != expected_id
        if misplaced:
            return forwarding.Rejected(misplaced=True)
        return forwarding.Rejected(False, load, signals)

    def _update_keep_alive(self, headers: calls.Headers) -> None:
        value = http1.get_header(headers, b"keep-alive")
        matched = KEEP_ALIVE_TIMEOUT.search(value) if value else None
        if matched is not None:
            self._keep_alive_s = float(matched[1])

    def _prepare_for_next_request(self) -> None:
        """Prepares for the next request, or closes the connection.

        It is closed if bytes are left over in either direction or if HTTP does
        not allow another request on it.
        """
        done = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        stream = self._stream
        if (
            self._http.states != done
            or self._http.trailing_data[0]
            or stream is None
            or stream.has_unsent
        ):
            self._abort()
            return
        self._http.start_next_cycle()

    async def _sample(self, path: str) -> link_messages.SampleResult:
        try:
            async with asyncio.timeout(SAMPLE_TIMEOUT_S):
                return await self._request_load(path)
        except (TimeoutError, h11.ProtocolError):
            self._abort()
            return link_messages.SampleResult(reached=False)
        finally:
            self._last_used = time.monotonic()

    async def _request_load(self, path: str) -> link_messages.SampleResult:
        stream = await self._connect()
        if stream is None:
            return link_messages.SampleResult(reached=False)
        record = self._record
        host = f"{record.host}:{record.port}"
        request = h11.Request(
            method=b"GET", target=path, headers=[("Host", host)]
        )
        self._write(stream, request, None)
        response = await self._next_response()
        if response is None:
            self._abort()
            return link_messages.SampleResult(
                reached=False, was_reset=stream.was_reset
            )
        headers = tuple(response.headers)
        self._claim = None
        body = await self._read_body(SKIPPED_PARTS_MAX)
        if body is None or self._http.their_state is h11.SEND_BODY:
            self._abort()
            return link_messages.SampleResult(reached=False)
        responder_id = http1.get_header(headers, self._dialect.upstream_id)
        stray = http1.get_header(headers, self._dialect.request_id) is not None
        if stray or responder_id != record.upstream_id.encode():
            self._abort()
            return link_messages.SampleResult(reached=not stray)
        self._update_keep_alive(headers)
        self._prepare_for_next_request()
        healthy = response.status_code in SUCCESS
        return link_messages.SampleResult(
            True,
            healthy,
            self._parse_load(headers),
            self._read_signals(response.status_code, headers),
        )

    def _parse_load(self, headers: calls.Headers) -> upstream_state.Load | None:
        value = http1.get_header(headers, self._dialect.load)
        return self._dialect.read_load(value) if value else None

    def _read_signals(
        self, status: int, headers: calls.Headers
    ) -> upstream_signals.Signals | None:
        """Returns the signals of an answer; None if of another upstream."""
        responder_id = http1.get_header(headers, self._dialect.upstream_id)
        if responder_id not in (None, self._record.upstream_id.encode()):
            return None
        return self._dialect.read_signals(status, headers)

    async def _next_response(self) -> h11.Response | None:
        """Returns the next final answer; None if there is none.

        Raises:
            h11.RemoteProtocolError: An answer is malformed, or there are too
                many interim answers.
        """
        for _ in range(http1.INTERIM_ANSWERS_MAX + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                http1.check_status(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                return None
        raise h11.RemoteProtocolError("too many interim answers")

    async def _read_body(self, parts_max: float = math.inf) -> bytes | None:
        """Reads the body, or its first part if it is long; None if cut."""
        body = bodies.BodyBuffer()
        part_count = 0
        held_bytes = INCLUDED_BYTES
        while len(body) <= BUFFERED_ANSWER_BYTES and part_count < parts_max:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                body.append(event.data)
                part_count += 1
                if len(body) > held_bytes:
                    if not self._may_hold(HOLD_STEP_BYTES):
                        break
                    held_bytes += HOLD_STEP_BYTES
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        return body.to_bytes()

    async def _next_event(self) -> object:
        assert self._stream is not None
        self._event_count += 1
        if self._event_count % EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._check_status_line()
            data = await self._stream.read()
            if not data and self._stream.broken:
                return h11.ConnectionClosed()
            self._http.receive_data(data)

    def _check_status_line(self) -> None:
        """Checks the first bytes of an answer before its head is complete.

        Raises:
            h11.RemoteProtocolError: They do not begin a status line.
        """
        if self._http.their_state is not h11.SEND_RESPONSE:
            return
        received = self._http.trailing_data[0][: len(STATUS_LINE_START)]
        if not STATUS_LINE_START.startswith(received):
            raise h11.RemoteProtocolError("illegal status line")


@functools.singledispatch
async def _perform(message: link_messages.Message, link: HttpLink) -> None:
    raise TypeError(f"no handler for {type(message).__name__}")


@_perform.register
async def _(message: link_messages.Forward, link: HttpLink) -> None:
    request = message.request
    started = time.monotonic()
    with tracing.attempt_span(request, link._record.upstream_id):
        result = await link._forward(request)
    request.upstream_seconds += time.monotonic() - started
    link._exchanging = False
    message.report(result)
    rest = result.rest if isinstance(result, forwarding.Answered) else None
    # The first part of the answer is not kept while the rest is streamed.
    del result
    if rest is not None:
        message.stream_ended(await link._stream_rest(rest))


@_perform.register
async def _(message: link_messages.Sample, link: HttpLink) -> None:
    result = await link._sample(message.path)
    link._exchanging = False
    message.report(result)


@functools.singledispatch
def _report_failure(message: link_messages.Message, link: HttpLink) -> None:
    """Reports an exchange that ended with an unexpected exception."""
    raise TypeError(f"no handler for {type(message).__name__}")


@_report_failure.register
def _(message: link_messages.Forward, link: HttpLink) -> None:
    if link.has_result:
        message.stream_ended(False)
    elif link.has_sent:
        message.report(forwarding.Lost(outcomes.Reason.CUT))
    else:
        message.report(forwarding.NotSent())


@_report_failure.register
def _(message: link_messages.Sample, link: HttpLink) -> None:
    message.report(link_messages.SampleResult(reached=False))
