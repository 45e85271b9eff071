"""Server for other entries: relayed calls, bars and documents."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import outcomes
from sesamevale import servers
from sesamevale import tracing
from sesamevale.dispatching import at_most_once
from sesamevale.entries import codec
from sesamevale.entries.wire import ttypes as wire
from sesamevale.policy.calls import attempts
from sesamevale.policy.register import identity
from sesamevale.policy.register import register

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import documents
    from sesamevale import metrics
    from sesamevale import sockets
    from sesamevale.dispatching import router as routers

__all__ = ["RelayServer"]

# A peer whose own caller reads slowly takes an answer slowly, too.
FLUSH_TIMEOUT_S = 30.0


class RelayServer(servers.ConnectionServer):
    """Accepts connections of other entries while its context is open.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on.
        router: Dispatches relayed calls.
        actions: Task that owns the register of actions.
        get_document: Returns the document if it is above a revision, without
            the parts whose digests are given.
        recorder: Records metrics.
    """

    def __init__(
        self,
        host: str,
        port: int,
        router: routers.CallRouter,
        actions: at_most_once.RegisterTask,
        get_document: Callable[[int, frozenset[str]], wire.DocumentAnswer],
        recorder: metrics.MetricsRecorder,
    ) -> None:
        super().__init__(host, port)
        self._router = router
        self._actions = actions
        self._get_document = get_document
        self._recorder = recorder

    async def _serve(self, stream: sockets.ByteStream) -> None:
        connection = _PeerConnection(
            stream,
            self._router,
            self._actions,
            self._get_document,
            self._recorder,
        )
        await connection.run()


class _PeerConnection:
    """Serves one connection of another entry."""

    def __init__(
        self,
        stream: sockets.ByteStream,
        router: routers.CallRouter,
        actions: at_most_once.RegisterTask,
        get_document: Callable[[int, frozenset[str]], wire.DocumentAnswer],
        recorder: metrics.MetricsRecorder,
    ) -> None:
        self._stream = stream
        self._frames = codec.FrameStream(stream)
        self._router = router
        self._actions = actions
        self._get_document = get_document
        self._recorder = recorder

    async def run(self) -> None:
        """Serves requests until one side closes the connection."""
        try:
            while (frame := await self._frames.read()) is not None:
                if not await self._serve(frame):
                    break
        finally:
            self._stream.close()

    async def _serve(self, frame: wire.Frame) -> bool:
        if frame.call_head is not None:
            self._router.call_started()
            try:
                await self._serve_call(frame.call_head)
                await self._stream.flush(FLUSH_TIMEOUT_S)
            finally:
                self._router.call_ended()
            return not self._stream.closed
        if frame.bar is not None:
            await self._serve_bar(frame.bar)
            return True
        if frame.document_request is not None:
            request = frame.document_request
            known = frozenset(request.known_parts)
            answer = self._get_document(request.above_revision, known)
            self._frames.write(wire.Frame(document_answer=answer))
            return True
        return False

    async def _serve_call(self, head: wire.CallHead) -> None:
        self._recorder.count("relayed_calls_received")
        rule = self._find_rule(head)
        if rule is None:
            # With an identity the outcome is unknown: a later relay of the
            # same action may find a rule and run it.
            if head.identity is None:
                refused = outcomes.NotRun(outcomes.Reason.NO_RULE)
                self._send_failed(refused, "")
            else:
                unknown = outcomes.Unknown(outcomes.Reason.NO_RULE)
                self._send_failed(unknown, "")
            return
        call = self._new_call(head, rule)
        span = tracing.start_span("relayed", head.traceparent)
        call.traceparent = span.traceparent
        body_task = None
        if call.body_rest is not None:
            body_task = asyncio.create_task(self._read_body(call.body_rest))
        self._stream.on_lost(lambda: self._on_sender_lost(call))
        try:
            if not self._submit(call, head):
                return
            await self._forward_answer(call)
        finally:
            span.end("served")
            self._stream.on_lost(None)
            if body_task is not None:
                body_task.cancel()

    def _find_rule(self, head: wire.CallHead) -> documents.Rule | None:
        environment = self._router.view.environment
        if environment is None:
            return None
        service = environment.services.get(head.service_name)
        if service is None:
            return None
        for rule in service.rules:
            if rule.name == head.rule:
                return rule
        return None

    def _new_call(
        self, head: wire.CallHead, rule: documents.Rule
    ) -> calls.Call:
        now = time.monotonic()
        headers = tuple((each.name, each.value) for each in head.headers)
        return calls.Call(
            call_id=self._router.next_call_id(),
            service=head.service_name,
            rule=rule,
            method=head.method,
            target=head.target,
            headers=headers,
            body=head.body,
            body_rest=calls.BodyChannel() if head.streamed else None,
            caller=head.caller,
            deadline=now + head.deadline_ms / 1000,
            retries=head.retries,
            hops=max(0, head.hops),
            answer=calls.AnswerChannel(),
            arrived=now,
            identity=head.identity,
            traceparent=head.traceparent,
        )

    def _submit(self, call: calls.Call, head: wire.CallHead) -> bool:
        """Passes the call to the router; False if it has failed here."""
        if head.identity is None:
            self._router.dispatch(call)
            return True
        own = self._router.view.own
        if head.issuer_incarnation != own.incarnation:
            gone = outcomes.Unknown(outcomes.Reason.ISSUER_GONE)
            self._send_failed(gone, call.service)
            return False
        self._router.submit(call)
        return True

    def _on_sender_lost(self, call: calls.Call) -> None:
        self._router.caller_gone(call)
        gone = outcomes.Unknown(outcomes.Reason.CALLER_GONE)
        call.answer.put(calls.AnswerFailed(gone))

    async def _read_body(self, channel: calls.BodyChannel) -> None:
        while (frame := await self._frames.read()) is not None:
            part = frame.body_part
            if part is None:
                break
            if part.data:
                await channel.put(part.data)
            if part.last:
                channel.finish()
                return
        channel.abort()

    async def _forward_answer(self, call: calls.Call) -> None:
        first = await call.answer.get()
        if isinstance(first, calls.AnswerFailed):
            self._send_failed(first.outcome, call.service)
            return
        assert isinstance(first, calls.AnswerHead)
        body = bytearray()
        last = False
        while call.answer.has_message() and not last:
            message = await call.answer.get()
            if isinstance(message, calls.AnswerData):
                body += message.data
            elif isinstance(message, calls.AnswerEnd):
                last = True
            else:
                self._stream.abort()
                return
        load = self._load(call.service)
        head = wire.AnswerHead(
            status=first.status,
            headers=[wire.Header(name, value) for name, value in first.headers],
            body=bytes(body),
            last=last,
            free_slots=load.free_slots,
            queued=load.queued,
        )
        self._frames.write(wire.Frame(answer_head=head))
        if not last:
            await self._forward_body_rest(call)

    async def _forward_body_rest(self, call: calls.Call) -> None:
        """Forwards the rest of a streamed answer as it arrives."""
        while True:
            await self._stream.drain()
            message = await call.answer.get()
            if isinstance(message, calls.AnswerData):
                part = wire.BodyPart(data=message.data, last=False)
                self._frames.write(wire.Frame(body_part=part))
            elif isinstance(message, calls.AnswerEnd):
                part = wire.BodyPart(data=b"", last=True)
                self._frames.write(wire.Frame(body_part=part))
                return
            else:
                self._stream.abort()
                return

    def _send_failed(
        self, outcome: outcomes.NotRun | outcomes.Unknown, service: str
    ) -> None:
        load = self._load(service)
        not_run = isinstance(outcome, outcomes.NotRun)
        retry_after_ms = 0
        if isinstance(outcome, outcomes.NotRun):
            retry_after_ms = outcome.retry_after_ms
        failed = wire.AnswerFailed(
            not_run=not_run,
            reason=str(outcome.reason),
            retry_after_ms=retry_after_ms,
            free_slots=load.free_slots,
            queued=load.queued,
        )
        self._frames.write(wire.Frame(answer_failed=failed))

    def _load(self, service: str) -> attempts.PeerLoad:
        task = self._router.dispatchers.get(service)
        if task is None:
            return attempts.PeerLoad(0, 0)
        return task.policy.load(time.monotonic())

    async def _serve_bar(self, bar: wire.Bar) -> None:
        """Bars an action, if possible, and sends the result."""
        parsed = identity.parse(bar.identity)
        own = self._router.view.own
        barred = wire.Barred(barred=False)
        if parsed is not None and (
            parsed.ticket.entry_id,
            parsed.ticket.incarnation,
        ) == (own.entry_id, own.incarnation):
            loop = asyncio.get_running_loop()
            reply: asyncio.Future[
                register.Barred | register.CannotBar | register.Replay
            ] = loop.create_future()
            self._actions.send(at_most_once.Bar(parsed, reply))
            barred = _barred_to_wire(await reply)
        self._frames.write(wire.Frame(barred=barred))


def _barred_to_wire(
    result: register.Barred | register.CannotBar | register.Replay,
) -> wire.Barred:
    if isinstance(result, register.Barred):
        return wire.Barred(barred=True)
    if not isinstance(result, register.Replay):
        return wire.Barred(barred=False)
    if not isinstance(result.outcome, outcomes.Answered):
        return wire.Barred(barred=False)
    answer = result.outcome.answer
    head = wire.AnswerHead(
        status=answer.status,
        headers=[wire.Header(name, value) for name, value in answer.headers],
        body=answer.body,
        last=True,
        free_slots=0,
        queued=0,
    )
    return wire.Barred(barred=False, answer=head)
