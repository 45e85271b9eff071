"""One request of a caller of the gateway, and the answer to it."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import h11

from sesamevale import calls
from sesamevale import http1
from sesamevale import outcomes
from sesamevale import tracing
from sesamevale.callers import answer_encoder
from sesamevale.callers import answers
from sesamevale.callers import caller_keys
from sesamevale.callers import request_building
from sesamevale.forwarding import requests
from sesamevale.policy.admission import memory_account
from sesamevale.policy.configuration import credentials

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import bodies
    from sesamevale import event_log
    from sesamevale import memory_room
    from sesamevale import metrics
    from sesamevale import routes
    from sesamevale import sockets
    from sesamevale.forwarding import router as routers

__all__ = ["ExchangeContext", "GatewayExchange"]

# Retry-After of a refused request, as a share of its latency objective;
# upstreams become idle or busy within that time.
RETRY_AFTER_SHARE = 0.25
# Retry-After of a request without a known route or key, e.g. because no
# configuration has been read yet.
UNROUTED_RETRY_AFTER_MS = 300
# Reason in the log of a request whose task has failed.
UNEXPECTED_ERROR = "unexpected_error"

Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeContext:
    """What the exchanges of one connection share.

    Attributes:
        stream: The accepted connection.
        router: Router that requests are submitted to.
        entry_id: Identifier of this entry.
        events: Event log for the results of requests.
        recorder: Recorder of the metrics.
        closes_connection: Tells whether the answer that is about to be sent
            closes the connection.
    """

    stream: sockets.ByteStream
    router: routers.RequestRouter
    entry_id: str
    events: event_log.EventLog
    recorder: metrics.MetricsRecorder
    closes_connection: Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class _Result:
    """Result of a request, for the log and the metrics."""

    outcome: str
    reason: str
    status: int


class GatewayExchange:
    """Submits a request that has been read, and sends its answer in turn.

    Args:
        context: What the exchanges of the connection share.
        http: Parser of the request, which also encodes the answer.
        head: Head of the request; None if it is malformed.
    """

    def __init__(
        self,
        context: ExchangeContext,
        http: h11.Connection,
        head: h11.Request | None,
    ) -> None:
        self._context = context
        self._encoder = answer_encoder.AnswerEncoder(
            http, context.stream, context.entry_id, context.closes_connection
        )
        self._head = head
        self._headers = tuple(head.headers) if head is not None else ()
        self._arrived = time.monotonic()
        self._route = self._find_route()
        self._request: requests.Request | None = None
        self._refused: outcomes.NotRun | None = None
        self._refused_status: int | None = None
        self._span: tracing.CallSpan | None = None
        self._body_bytes = 0
        self._claim: memory_room.Claim | None = None
        self._is_recorded = False
        self._has_ended = False
        context.router.request_started()

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once, or does not run."""
        return self._route is None or self._route.repeatable

    @property
    def priority(self) -> int:
        """Priority of its tenant or else of its route; 0 is the most urgent."""
        if self._route is None:
            return memory_account.LEAST_URGENT
        return request_building.priority_of(
            self._route, self._identify(self._route)
        )

    @property
    def held_bytes(self) -> int:
        """Bytes of the body and of the answer that have not been sent."""
        if self._request is None:
            return self._body_bytes
        return self._body_bytes + self._request.answer.unread_bytes

    @property
    def keeps_connection(self) -> bool:
        """Whether another request can follow on the connection."""
        return self._encoder.keeps_connection

    def set_claim(
        self, claim: memory_room.Claim, stall_timeout_s: float
    ) -> None:
        """Hands over the memory of the request; see ``AnswerEncoder``."""
        self._claim = claim
        self._encoder.set_claim(claim, stall_timeout_s)

    def submit(
        self,
        body: bodies.BodyBuffer,
        refusal: outcomes.NotRun | None = None,
    ) -> None:
        """Passes the request to the router, or refuses it.

        Args:
            body: The whole body.
            refusal: Outcome for the caller if it is not to be passed on.
        """
        self._body_bytes = len(body)
        if self._route is None:
            self._refused = self._unrouted(Reason.NO_ROUTE)
            return
        identity = self._identify(self._route)
        denied = caller_keys.refusal_reason(identity)
        if denied is not None:
            self._refused = self._unrouted(denied)
            return
        assert isinstance(identity, credentials.Identified)
        self._span = tracing.start_span(
            "request",
            http1.get_header(self._headers, http1.HeaderName.TRACEPARENT),
        )
        assert self._head is not None
        request = request_building.build_request(
            self._context.router,
            self._head,
            self._route,
            identity,
            body,
            self._arrived,
        )
        request.traceparent = self._span.traceparent
        request.claim = self._claim
        self._request = request
        if self._context.stream.closed:
            self.caller_lost()
            return
        refused = refusal or self._context.router.submit(request)
        if refused is not None:
            request.answer.put(calls.AnswerFailed(refused))

    def refuse(self, outcome: outcomes.NotRun, status: int | None) -> None:
        """Refuses the request instead of submitting it.

        Args:
            outcome: Outcome for the caller.
            status: Status of the answer; None for that of the outcome.
        """
        self._refused, self._refused_status = outcome, status

    def caller_lost(self) -> None:
        """Cancels the request, since the caller no longer waits."""
        request = self._request
        if request is None or self._has_ended:
            return
        self._context.router.caller_gone(request)
        gone = outcomes.Unknown(Reason.CALLER_GONE)
        request.answer.put(calls.AnswerFailed(gone))

    def abandon(self, reason: Reason) -> None:
        """Ends the request without an answer unless it has ended."""
        if self._has_ended:
            return
        self.caller_lost()
        if self._request is not None:
            self._record(_Result("aborted", str(reason), 0))
        self.end()

    async def deliver(self) -> None:
        """Sends the answer.

        Raises:
            h11.LocalProtocolError: The answer cannot be encoded.
        """
        result = _Result("aborted", UNEXPECTED_ERROR, 0)
        try:
            result = await self._send_answer()
        except asyncio.CancelledError:
            result = _Result("aborted", str(Reason.STOPPING), 0)
            raise
        except h11.LocalProtocolError:
            result = _Result("aborted", str(Reason.SPOILT), 0)
            raise
        finally:
            self._record(result)

    async def flush(self) -> None:
        """Waits until the caller has taken the answer or is cut off."""
        await self._encoder.flush()

    def end(self) -> None:
        """Counts the request as ended."""
        if self._has_ended:
            return
        self._has_ended = True
        self._context.router.request_ended()
        if self._request is not None and self._request.body is not None:
            self._request.body.release()
        if self._claim is not None:
            self._claim.close()

    def _find_route(self) -> routes.Route | None:
        if self._head is None:
            return None
        host = http1.get_header(self._headers, b"host") or b""
        return self._context.router.find_route(
            host.decode("ascii", "replace"),
            self._head.target.decode("ascii", "replace"),
        )

    def _identify(self, route: routes.Route) -> credentials.Identity:
        """Returns whose request it is by the configuration in force."""
        router = self._context.router
        return router.credentials.identify(
            route,
            caller_keys.read_key(self._headers, router.dialect),
            is_current=router.accepts_keys(time.monotonic()),
        )

    def _unrouted(self, reason: Reason) -> outcomes.NotRun:
        """Returns the refusal of a request that no configuration allows.

        Args:
            reason: Why the configuration in force does not allow it; a newer
                one may.
        """
        router = self._context.router
        if router.view.configuration is None or not router.is_confirmed(
            time.monotonic()
        ):
            reason = Reason.NO_CONFIGURATION
        self._context.recorder.count(f"refused_{reason}")
        return outcomes.NotRun(reason, UNROUTED_RETRY_AFTER_MS)

    async def _send_answer(self) -> _Result:
        if self._refused is not None:
            self._encoder.send_failure(self._refused, self._refused_status)
            reason = str(self._refused.reason)
            return _Result("not-run", reason, self._encoder.status)
        request = self._request
        assert request is not None
        first = await request.answer.get()
        if isinstance(first, calls.AnswerFailed):
            return self._end_without_answer(request, first.outcome)
        assert isinstance(first, calls.AnswerHead)
        parts: list[calls.AnswerData] = []
        message = await request.answer.get()
        while isinstance(message, calls.AnswerData):
            parts.append(message)
            if not request.answer.has_message():
                break
            message = await request.answer.get()
        if isinstance(message, calls.AnswerFailed):
            return self._end_without_answer(request, message.outcome)
        if isinstance(message, calls.AnswerEnd):
            await self._encoder.send_parts(first, parts, request.method)
            return _answered(first.status)
        # These parts are not kept while the rest is sent.
        del message
        while parts:
            request.answer.put_back(parts.pop())
        last = await self._encoder.send_stream(first, request.answer)
        if isinstance(last, calls.AnswerFailed):
            return _Result("unknown", str(last.outcome.reason), 0)
        return _answered(first.status)

    def _end_without_answer(
        self,
        request: requests.Request,
        outcome: outcomes.NotRun | outcomes.Unknown,
    ) -> _Result:
        if isinstance(outcome, outcomes.NotRun):
            wait_s = self._retry_after_s(request, outcome)
            outcome = outcomes.NotRun(outcome.reason, int(wait_s * 1000))
        self._encoder.send_failure(outcome)
        name = answers.outcome_name(outcome)
        return _Result(name, str(outcome.reason), self._encoder.status)

    def _retry_after_s(
        self, request: requests.Request, refusal: outcomes.NotRun
    ) -> float:
        """Returns the Retry-After of a refusal; 0 if others serve at once."""
        if refusal.retry_after_ms:
            return refusal.retry_after_ms / 1000
        if (
            refusal.reason is Reason.STOPPING
            and self._context.router.view.members
        ):
            return 0.0
        return request.route.objective_s * RETRY_AFTER_SHARE

    def _record(self, result: _Result) -> None:
        """Records the result in the log, the metrics and the span, once."""
        if self._is_recorded:
            return
        self._is_recorded = True
        seconds = 0.0
        request = self._request
        if request is not None and self._span is not None:
            seconds = time.monotonic() - self._arrived
            self._span.end(result.outcome)
            self._context.recorder.call_ended(
                request.service,
                result.outcome,
                result.reason,
                seconds,
                seconds - request.upstream_seconds,
            )
        self._log(result, seconds)

    def _log(self, result: _Result, seconds: float) -> None:
        router = self._context.router
        dialect = router.dialect
        request_id = http1.get_header(self._headers, dialect.request_id) or b""
        view = router.view
        configuration = view.configuration
        fields: dict[str, object] = {
            "request": request_id.decode("ascii", "replace"),
            "outcome": result.outcome,
            "reason": result.reason,
            "status": result.status,
            "ms": round(seconds * 1000, 1),
            "config": configuration.version if configuration else 0,
            "config_age_s": round(time.monotonic() - view.confirmed_at, 2),
        }
        if self._request is not None:
            fields["route"] = self._request.route.name
            fields["service"] = self._request.service
            if self._request.tenant is not None:
                fields["tenant"] = self._request.tenant.name
        self._context.events.decision("request", **fields)


def _answered(status: int) -> _Result:
    return _Result("answered", f"{status // 100}xx", status)
