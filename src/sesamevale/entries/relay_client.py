"""Connection that relays calls to another entry, one at a time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import outcomes
from sesamevale.dispatching import exchanges
from sesamevale.dispatching import links
from sesamevale.entries import codec
from sesamevale.entries.wire import ttypes as wire
from sesamevale.policy.calls import attempts

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale.policy.membership import membership_types

__all__ = ["RelayConnection"]

CONNECT_TIMEOUT_S = 0.3


class RelayConnection(links.LinkTask):
    """Relays calls to another entry and delivers its answers.

    Args:
        member: The other entry.
        on_unreachable: Called with the identifier of the entry if it does not
            accept the connection.
        to_issuer: Whether the other entry issued the calls' identities and
            decides whether they run.
    """

    def __init__(
        self,
        member: membership_types.Member,
        on_unreachable: Callable[[str], None],
        *,
        to_issuer: bool = False,
    ) -> None:
        super().__init__(
            member.entry_id, member.host, member.peer_port, CONNECT_TIMEOUT_S
        )
        self._member = member
        self._on_unreachable = on_unreachable
        self._to_issuer = to_issuer
        self._frames: codec.FrameStream | None = None

    def _is_reusable_after(self, result: attempts.Result) -> bool:
        return isinstance(result, attempts.Completed | attempts.PeerRefused)

    def _not_connected(self) -> attempts.Result:
        self._on_unreachable(self._member.entry_id)
        return attempts.NotSent(outcomes.Reason.PEER_LOST)

    async def _perform(
        self, exchange: exchanges.Exchange, started: float
    ) -> attempts.Result:
        assert self._stream is not None
        if self._frames is None:
            self._frames = codec.FrameStream(self._stream)
        self._frames.write(self._make_call_head(exchange))
        if exchange.call.body_rest is not None:
            await self._send_body(exchange.call.body_rest)
        return await self._read_answer(exchange, started)

    def _make_call_head(self, exchange: exchanges.Exchange) -> wire.Frame:
        call = exchange.call
        remaining_ms = max(1, int((call.deadline - time.monotonic()) * 1000))
        head = wire.CallHead(
            service_name=call.service,
            rule=call.rule.name,
            method=call.method,
            target=call.target,
            headers=_headers_to_wire(call.headers),
            deadline_ms=remaining_ms,
            retries=exchange.retries,
            hops=call.hops - 1,
            caller=call.caller,
            identity=call.identity if self._to_issuer else None,
            traceparent=call.traceparent,
            body=call.body,
            streamed=call.body_rest is not None,
            issuer_incarnation=self._member.incarnation
            if self._to_issuer
            else 0,
        )
        return wire.Frame(call_head=head)

    async def _send_body(self, body: calls.BodyChannel) -> None:
        """Sends a streamed body as fast as the entry reads it."""
        assert self._frames is not None and self._stream is not None
        while not self._stream.closed:
            part = await body.get()
            last = part is None
            message = wire.BodyPart(data=part or b"", last=last)
            if body.aborted:
                self._stream.abort()
                break
            self._frames.write(wire.Frame(body_part=message))
            await self._stream.drain()
            if last:
                break
        body.unblock_sender()

    async def _read_answer(
        self, exchange: exchanges.Exchange, started: float
    ) -> attempts.Result:
        assert self._frames is not None
        frame = await self._frames.read()
        if frame is None:
            return self._lost(exchange, outcomes.Reason.PEER_LOST)
        failed = frame.answer_failed
        if failed is not None:
            return _result_of_failure(failed)
        head = frame.answer_head
        if head is None:
            return self._lost(exchange, outcomes.Reason.PEER_LOST)
        answer = exchange.call.answer
        if not answer.claim(exchange.attempt_id):
            self.abort()
            return attempts.Aborted()
        headers = tuple((each.name, each.value) for each in head.headers)
        answer.put(calls.AnswerHead(head.status, headers))
        answer.put(calls.AnswerData(head.body))
        last = head.last
        while not last:
            part = await self._next_part()
            if part is None:
                return self._lost(exchange, outcomes.Reason.PEER_LOST)
            answer.put(calls.AnswerData(part.data))
            await answer.drain()
            last = part.last
        answer.put(calls.AnswerEnd())
        load = attempts.PeerLoad(head.free_slots, head.queued)
        seconds = time.monotonic() - started
        return attempts.Completed(seconds, load=load)

    async def _next_part(self) -> wire.BodyPart | None:
        assert self._frames is not None
        frame = await self._frames.read()
        return None if frame is None else frame.body_part


def _headers_to_wire(headers: calls.Headers) -> list[wire.Header]:
    return [wire.Header(name, value) for name, value in headers]


def _result_of_failure(failed: wire.AnswerFailed) -> attempts.Result:
    try:
        reason = outcomes.Reason(failed.reason)
    except ValueError:
        reason = outcomes.Reason.PEER_LOST
    load = attempts.PeerLoad(failed.free_slots, failed.queued)
    if failed.not_run:
        return attempts.PeerRefused(reason, failed.retry_after_ms, load)
    return attempts.PeerOutcomeUnknown(reason)
