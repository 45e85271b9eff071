"""Relay of a call to the entry that issued its identity.

Only that entry decides whether the call runs. If its answer is lost or late,
it is asked to bar the action; the outcome is then "not run" only if it
confirms that the action is barred.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import messaging
from sesamevale import outcomes
from sesamevale import sockets
from sesamevale.dispatching import at_most_once
from sesamevale.dispatching import exchanges
from sesamevale.entries import codec
from sesamevale.entries import relay_client
from sesamevale.entries.wire import ttypes as wire
from sesamevale.policy.calls import attempts

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import documents
    from sesamevale.policy.membership import membership_types

__all__ = ["relay"]

# Time before the call's deadline that is reserved for barring its action, and
# the largest share of the remaining time that this may be.
BAR_TIMEOUT_S = 0.1
BAR_DEADLINE_SHARE_MAX = 0.2
ATTEMPT_ID = 1


class _ResultInbox:
    """Receives the result of the only attempt."""

    def __init__(self) -> None:
        self._inbox: messaging.Inbox[exchanges.AttemptEnded] = messaging.Inbox()

    def send(self, message: exchanges.AttemptEnded) -> None:
        self._inbox.put(message)

    async def get(self) -> exchanges.AttemptEnded:
        return await self._inbox.get()


async def relay(
    call: calls.Call,
    service: documents.Service,
    issuer: membership_types.Member,
    on_unreachable: Callable[[str], None],
) -> None:
    """Relays a call and puts its outcome into its answer channel.

    Args:
        call: The call, which must have an identity.
        service: Service that the call belongs to.
        issuer: Entry that issued the identity.
        on_unreachable: Called with the identifier of the entry if it does not
            accept the connection.
    """
    link = relay_client.RelayConnection(issuer, on_unreachable, to_issuer=True)
    result_inbox = _ResultInbox()
    link.send(
        exchanges.Exchange(
            ATTEMPT_ID, call, service, call.retries, False, result_inbox
        )
    )
    remaining_s = call.deadline - time.monotonic()
    bar_timeout_s = min(BAR_TIMEOUT_S, BAR_DEADLINE_SHARE_MAX * remaining_s)
    try:
        async with asyncio.timeout(remaining_s - bar_timeout_s):
            ended = await result_inbox.get()
        result = ended.result
    except TimeoutError:
        result = attempts.Lost(partly_delivered=call.answer.claimed)
    finally:
        link.abort()
    await _resolve_outcome(call, issuer, result, bar_timeout_s)


async def _resolve_outcome(
    call: calls.Call,
    issuer: membership_types.Member,
    result: attempts.Result,
    bar_timeout_s: float,
) -> None:
    if isinstance(result, attempts.Completed):
        return
    if isinstance(result, attempts.PeerRefused):
        refused = outcomes.NotRun(result.reason, result.retry_after_ms)
        call.answer.put(calls.AnswerFailed(refused))
        return
    if isinstance(result, attempts.PeerOutcomeUnknown):
        unknown = outcomes.Unknown(result.reason)
        call.answer.put(calls.AnswerFailed(unknown))
        return
    if isinstance(result, attempts.NotSent):
        gone = outcomes.Unknown(outcomes.Reason.ISSUER_GONE)
        call.answer.put(calls.AnswerFailed(gone))
        return
    if call.answer.claimed:
        lost = outcomes.Unknown(outcomes.Reason.PEER_LOST)
        call.answer.put(calls.AnswerFailed(lost))
        return
    outcome = await _bar_action(call, issuer, bar_timeout_s)
    at_most_once.put_outcome(call.answer, outcome)


async def _bar_action(
    call: calls.Call, issuer: membership_types.Member, timeout_s: float
) -> outcomes.Outcome:
    """Asks the issuer to bar the call's action; returns the outcome."""
    unknown = outcomes.Unknown(outcomes.Reason.PEER_LOST)
    try:
        async with asyncio.timeout(timeout_s):
            stream = await sockets.connect(
                issuer.host, issuer.peer_port, timeout_s
            )
            if stream is None:
                return unknown
            try:
                return await _request_bar(call, stream)
            finally:
                stream.abort()
    except TimeoutError:
        return unknown


async def _request_bar(
    call: calls.Call, stream: sockets.ByteStream
) -> outcomes.Outcome:
    frames = codec.FrameStream(stream)
    frames.write(wire.Frame(bar=wire.Bar(identity=call.identity)))
    frame = await frames.read()
    barred = None if frame is None else frame.barred
    if barred is None:
        return outcomes.Unknown(outcomes.Reason.PEER_LOST)
    if barred.barred:
        return outcomes.NotRun(outcomes.Reason.BARRED)
    if barred.answer is None:
        return outcomes.Unknown(outcomes.Reason.DEADLINE)
    head = barred.answer
    headers = tuple((each.name, each.value) for each in head.headers)
    return outcomes.Answered(outcomes.Answer(head.status, headers, head.body))
