"""HTTP connection of one caller, served by a task that owns its socket."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import h11

from sesamevale import calls
from sesamevale import http1
from sesamevale import outcomes
from sesamevale import routes
from sesamevale import tracing
from sesamevale.callers import answers
from sesamevale.callers import entry_directory
from sesamevale.callers import http_connection
from sesamevale.policy.configuration import matching
from sesamevale.policy.register import identity as identities

if TYPE_CHECKING:
    from sesamevale import documents
    from sesamevale import metrics
    from sesamevale import sockets
    from sesamevale.dispatching import at_most_once
    from sesamevale.dispatching import router as routers

__all__ = ["CallerConnection"]

BUFFERED_BODY_BYTES = 64 * 1024
RELAY_HOPS_MAX = 2


class CallerConnection(http_connection.HttpConnection):
    """Serves the requests on one connection, one after the other.

    Args:
        stream: The accepted connection.
        router: Router that calls are submitted to.
        register: Issues tickets for the directory.
        recorder: Recorder of the metrics.
        limits: Limits for callers.
    """

    def __init__(
        self,
        stream: sockets.ByteStream,
        router: routers.CallRouter,
        register: at_most_once.RegisterTask,
        recorder: metrics.MetricsRecorder,
        limits: documents.Limits,
    ) -> None:
        super().__init__(stream, _http_limits(limits))
        self._router = router
        self._register = register
        self._recorder = recorder
        self._limits = limits
        self._body_task: asyncio.Task[None] | None = None

    def _release(self) -> None:
        if self._body_task is not None:
            self._body_task.cancel()

    async def _serve(self, request: h11.Request) -> None:
        target = request.target.decode("ascii", "replace")
        if target.partition("?")[0] == entry_directory.PATH:
            await self._serve_directory(target)
            return
        self._router.call_started()
        try:
            await self._serve_call(request, target)
            await self._stream.flush(self._limits.idle_ms / 1000)
        finally:
            self._router.call_ended()

    async def _serve_directory(self, target: str) -> None:
        if await self._read_small_body() is None:
            self._send_failure(outcomes.NotRun(outcomes.Reason.BAD_REQUEST))
            return
        view = self._router.view
        own = view.own
        ticket = self._register.issue_ticket(own.entry_id, own.incarnation)
        revision = self._directory_revision()
        body = entry_directory.answer(view, target, revision, ticket)
        headers = (
            (b"content-type", b"application/json"),
            (b"cache-control", b"no-store"),
            (http1.HeaderName.CONTENT_LENGTH, b"%d" % len(body)),
        )
        self._send_whole(calls.AnswerHead(200, headers), body)

    async def _serve_call(self, request: h11.Request, target: str) -> None:
        arrived = time.monotonic()
        headers = tuple(request.headers)
        method = request.method.decode("ascii", "replace")
        environment = self._router.view.environment
        if environment is None:
            self._refuse_unmatched(outcomes.Reason.NO_DOCUMENT, headers)
            return
        match = matching.match_request(environment, method, target)
        if match is None:
            self._refuse_unmatched(outcomes.Reason.NO_RULE, headers)
            return
        span = tracing.start_span(
            "call", http1.get_header(headers, http1.HeaderName.TRACEPARENT)
        )
        call = self._new_call(request, headers, match, arrived, environment)
        call.traceparent = span.traceparent
        outcome, reason = "aborted", ""
        try:
            outcome, reason = await self._run_call(call)
        finally:
            span.end(outcome)
            total_s = time.monotonic() - arrived
            added_s = total_s - call.upstream_seconds
            self._recorder.call_ended(
                call.service, outcome, reason, total_s, added_s
            )

    def _new_call(
        self,
        request: h11.Request,
        headers: calls.Headers,
        match: matching.Match,
        arrived: float,
        environment: documents.Environment,
    ) -> calls.Call:
        rule = match.rule
        deadline_ms = rule.deadline_ms
        requested_ms = http1.get_integer_header(
            headers, http1.HeaderName.DEADLINE
        )
        if requested_ms is not None:
            deadline_ms = min(deadline_ms, requested_ms)
        retries = environment.retry_budget
        requested_retries = http1.get_integer_header(
            headers, http1.HeaderName.RETRIES
        )
        if requested_retries is not None:
            retries = min(retries, requested_retries)
        key = http1.get_header(headers, http1.HeaderName.IDEMPOTENCY_KEY)
        identity = None
        if key is not None and not rule.repeatable:
            identity = key.decode("ascii", "replace")
        dropped = http1.ENTRY_HEADERS | {http1.HeaderName.CONTENT_LENGTH}
        return calls.Call(
            call_id=self._router.next_call_id(),
            service=match.service.name,
            rule=rule,
            method=bytes(request.method),
            target=bytes(request.target),
            headers=http1.strip_hop_by_hop(headers, dropped),
            body=b"",
            body_rest=None,
            caller=self._caller_host,
            deadline=arrived + deadline_ms / 1000,
            retries=retries,
            hops=RELAY_HOPS_MAX,
            answer=calls.AnswerChannel(),
            arrived=arrived,
            identity=identity,
        )

    async def _run_call(self, call: calls.Call) -> tuple[str, str]:
        """Runs a call and sends its answer; returns the outcome and reason."""
        if not await self._read_body_in_time(call):
            self._refuse(outcomes.Reason.BAD_REQUEST, status=413)
            return "not-run", str(outcomes.Reason.BAD_REQUEST)
        if self._stream.closed:
            return "not-run", str(outcomes.Reason.CALLER_GONE)
        self._stream.on_lost(lambda: self._caller_lost(call))
        try:
            self._router.submit(call)
            return await self._pass_answer(call)
        finally:
            self._stream.on_lost(None)

    def _caller_lost(self, call: calls.Call) -> None:
        self._router.caller_gone(call)
        gone = outcomes.Unknown(outcomes.Reason.CALLER_GONE)
        call.answer.put(calls.AnswerFailed(gone))

    async def _pass_answer(self, call: calls.Call) -> tuple[str, str]:
        first = await call.answer.get()
        if isinstance(first, calls.AnswerFailed):
            self._send_failure(first.outcome)
            name = answers.outcome_name(first.outcome)
            return name, str(first.outcome.reason)
        assert isinstance(first, calls.AnswerHead)
        data = self._encode_head(first)
        is_head = call.method == b"HEAD"
        while True:
            if data and not call.answer.has_message():
                self._stream.write(data)
                data = b""
                await self._stream.drain()
            message = await call.answer.get()
            if isinstance(message, calls.AnswerData):
                if not is_head:
                    event = h11.Data(data=message.data)
                    data += self._http.send(event) or b""
                if len(data) >= calls.HIGH_WATER_BYTES:
                    self._stream.write(data)
                    data = b""
                    await self._stream.drain()
            elif isinstance(message, calls.AnswerEnd):
                data += self._http.send(h11.EndOfMessage()) or b""
                self._stream.write(data)
                return "answered", f"{first.status // 100}xx"
            else:
                assert isinstance(message, calls.AnswerFailed)
                self._stream.abort()
                return "unknown", str(message.outcome.reason)

    async def _read_body_in_time(self, call: calls.Call) -> bool:
        """Reads the body.

        The connection expires if this lasts longer than the idle time-out.
        """
        with self._reader.reading_body():
            return await self._read_body(call)

    async def _read_body(self, call: calls.Call) -> bool:
        """Reads the body or starts to stream it.

        Returns:
            False if the body is too long or the connection closed early.

        Raises:
            h11.RemoteProtocolError: The body is malformed or ends early.
        """
        body = bytearray()
        declared = self._reader.declared_length
        if declared is not None and declared > self._limits.body_bytes:
            return False
        while len(body) <= BUFFERED_BODY_BYTES:
            event = await self._reader.next_body_event()
            if isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                call.body = bytes(body)
                return len(body) <= self._limits.body_bytes
            else:
                return not self._stream.closed
        if len(body) > self._limits.body_bytes:
            return False
        call.body = bytes(body)
        call.body_rest = calls.BodyChannel()
        self._body_task = asyncio.create_task(
            self._stream_body(call.body_rest, len(body))
        )
        return True

    async def _stream_body(self, channel: calls.BodyChannel, size: int) -> None:
        """Forwards the rest of a long body as it arrives."""
        try:
            while True:
                event = await self._reader.next_body_event()
                if isinstance(event, h11.EndOfMessage):
                    channel.finish()
                    return
                if not isinstance(event, h11.Data):
                    break
                size += len(event.data)
                if size > self._limits.body_bytes:
                    break
                await channel.put(bytes(event.data))
        except h11.RemoteProtocolError:
            pass
        channel.abort()

    async def _read_small_body(self) -> bytes | None:
        body = bytearray()
        while len(body) <= BUFFERED_BODY_BYTES:
            event = await self._reader.next_body_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                return None
            body += event.data
        return None

    def _directory_revision(self) -> int:
        return self._router.view.revision

    def _encode_head(self, head: calls.AnswerHead) -> bytes:
        headers = list(head.headers)
        headers.append(
            (
                http1.HeaderName.DIRECTORY_REVISION,
                b"%d" % self._directory_revision(),
            )
        )
        if self._router.view.draining and not self._has_read_another():
            headers.append((http1.HeaderName.CONNECTION, b"close"))
        response = h11.Response(status_code=head.status, headers=headers)
        return self._http.send(response) or b""

    def _has_read_another(self) -> bool:
        """Whether calls behind this one have been read.

        They get no answer if the answer to this one closes the connection.
        """
        if self._body_task is None or self._body_task.done():
            self._reader.skip_received_body()
        return self._has_read_more

    def _send_whole(self, head: calls.AnswerHead, body: bytes) -> None:
        data = self._encode_head(head)
        data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._stream.write(data)

    def _send_failure(
        self,
        outcome: outcomes.NotRun | outcomes.Unknown,
        status: int | None = None,
    ) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._stream.abort()
            return
        entry_id = self._router.view.own.entry_id
        head, body = answers.for_outcome(outcome, entry_id)
        if status is not None:
            head = calls.AnswerHead(status, head.headers)
        self._send_whole(head, body)

    def _refuse(
        self, reason: outcomes.Reason, status: int | None = None
    ) -> None:
        self._recorder.count(f"refused_{reason}")
        self._send_failure(outcomes.NotRun(reason), status)

    def _refuse_unmatched(
        self, reason: outcomes.Reason, headers: calls.Headers
    ) -> None:
        """Refuses a call for which there is no document or no matching rule.

        With the identity of an action, the outcome is unknown: only the issuer
        of the identity can state that the action has not run.
        """
        key = http1.get_header(headers, http1.HeaderName.IDEMPOTENCY_KEY) or b""
        if identities.parse(key.decode("ascii", "replace")) is None:
            self._refuse(reason)
            return
        self._recorder.count(f"refused_{reason}")
        self._send_failure(outcomes.Unknown(reason))

    def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        """Answers a malformed request, if an answer can still be sent."""
        self._recorder.count("malformed_requests")
        with contextlib.suppress(h11.LocalProtocolError):
            self._send_failure(
                outcomes.NotRun(outcomes.Reason.BAD_REQUEST),
                error.error_status_hint,
            )


def _http_limits(limits: documents.Limits) -> routes.CallerLimits:
    return routes.CallerLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout_s=limits.header_read_ms / 1000,
        idle_timeout_s=limits.idle_ms / 1000,
    )
