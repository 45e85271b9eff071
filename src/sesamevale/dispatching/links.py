"""Base class of the connections to upstreams and to other entries."""

from __future__ import annotations

import asyncio
import time

from sesamevale import calls
from sesamevale import messaging
from sesamevale import outcomes
from sesamevale import sockets
from sesamevale import tracing
from sesamevale.dispatching import exchanges
from sesamevale.policy.calls import attempts

__all__ = ["LinkTask"]


class LinkTask:
    """Task that owns one socket and runs one exchange at a time.

    The task runs until the connection is closed. A connection whose exchange
    did not end cleanly is closed and not reused.

    Args:
        name: Name of the remote side, for traces.
        host: IP address of the remote side.
        port: TCP port of the remote side.
        connect_timeout_s: Longest time to connect, in seconds.
    """

    def __init__(
        self, name: str, host: str, port: int, connect_timeout_s: float
    ) -> None:
        self._name = name
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._inbox: messaging.Inbox[exchanges.Exchange | None] = (
            messaging.Inbox()
        )
        self._stream: sockets.ByteStream | None = None
        self._aborted = False
        self._scope: asyncio.Timeout | None = None
        self._idle_since = time.monotonic()
        self._task = asyncio.create_task(self._run())

    @property
    def open(self) -> bool:
        """Whether the connection can carry another exchange."""
        if self._aborted or self._task.done():
            return False
        return self._stream is None or not self._stream.closed

    @property
    def idle_since(self) -> float:
        """Monotonic time in seconds at which the last exchange ended."""
        return self._idle_since

    def send(self, message: exchanges.Exchange) -> None:
        """Starts an exchange; one at a time."""
        self._inbox.put(message)

    def abort(self) -> None:
        """Closes the connection; a running exchange still reports a result."""
        self._aborted = True
        self._inbox.put(None)
        if self._stream is not None:
            self._stream.abort()
        scope, self._scope = self._scope, None
        if scope is not None:
            scope.reschedule(asyncio.get_running_loop().time())

    async def _perform(
        self, exchange: exchanges.Exchange, started: float
    ) -> attempts.Result:
        """Runs one exchange over the open connection."""
        raise NotImplementedError

    def _is_reusable_after(self, result: attempts.Result) -> bool:
        """Whether the connection can be reused after a result."""
        raise NotImplementedError

    async def _run(self) -> None:
        while True:
            exchange = await self._inbox.get()
            if exchange is None:
                break
            started = time.monotonic()
            with tracing.attempt_span(exchange.call, self._name):
                result = await self._perform_until_aborted(exchange, started)
            self._idle_since = time.monotonic()
            exchange.call.upstream_seconds += self._idle_since - started
            if not self._is_reusable_after(result) or not self.open:
                self.abort()
            exchange.result_receiver.send(
                exchanges.AttemptEnded(exchange.attempt_id, result, self)
            )
        if self._stream is not None:
            self._stream.abort()

    async def _perform_until_aborted(
        self, exchange: exchanges.Exchange, started: float
    ) -> attempts.Result:
        """Runs one exchange, which ``abort`` ends wherever it waits.

        It may wait for its caller, to send more of the body or to read more
        of the answer.
        """
        try:
            async with asyncio.timeout(None) as self._scope:
                return await self._connect_and_perform(exchange, started)
        except TimeoutError:
            if self._stream is None:
                return attempts.NotSent(outcomes.Reason.CALLER_GONE)
            return attempts.Aborted()
        finally:
            self._scope = None

    async def _connect_and_perform(
        self, exchange: exchanges.Exchange, started: float
    ) -> attempts.Result:
        if self._aborted:
            return attempts.NotSent(outcomes.Reason.CALLER_GONE)
        if self._stream is None:
            self._stream = await sockets.connect(
                self._host, self._port, self._connect_timeout_s
            )
        if self._stream is None:
            return self._not_connected()
        if self._aborted:
            return attempts.NotSent(outcomes.Reason.CALLER_GONE)
        if self._stream.closed:
            return attempts.NotSent(outcomes.Reason.CONNECT_FAILED)
        return await self._perform(exchange, started)

    def _not_connected(self) -> attempts.Result:
        """Returns the result of an exchange without a connection."""
        return attempts.NotSent(outcomes.Reason.CONNECT_FAILED)

    def _lost(
        self, exchange: exchanges.Exchange, reason: outcomes.Reason
    ) -> attempts.Result:
        """Returns the result of an exchange that broke off after sending.

        If part of the answer was already delivered, its receiver is informed.
        """
        if self._aborted:
            return attempts.Aborted()
        answer = exchange.call.answer
        partly_delivered = answer.claimed and answer.claim(exchange.attempt_id)
        if partly_delivered:
            answer.put(calls.AnswerFailed(outcomes.Unknown(reason)))
        return attempts.Lost(partly_delivered)
