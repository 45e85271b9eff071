"""Answers of the gateway as bytes on a caller's connection."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from typing import TYPE_CHECKING

import h11

from sesamevale import calls
from sesamevale import http1
from sesamevale.callers import answers
from sesamevale.policy.admission import memory_account

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import memory_room
    from sesamevale import outcomes
    from sesamevale import sockets

__all__ = ["AnswerEncoder"]

NO_BODY_STATUSES = (204, 304)
# Interval in which progress is looked for while a caller takes an answer.
PROGRESS_CHECK_S = 0.5
# Longer bodies are written in pieces of this size.
PIECE_BYTES = 64 * 1024


class AnswerEncoder:
    """Sends the answer to one request.

    Args:
        http: Parser of the request, which encodes its answer.
        stream: Connection of the caller.
        entry_id: Identifier of this entry.
        closes_connection: Tells whether the answer that is about to be sent
            closes the connection.
    """

    def __init__(
        self,
        http: h11.Connection,
        stream: sockets.ByteStream,
        entry_id: str,
        closes_connection: Callable[[], bool],
    ) -> None:
        self._http = http
        self._stream = stream
        self._entry_id = entry_id
        self._closes_connection = closes_connection
        self._status = 0
        self._claim: memory_room.Claim | None = None
        self._stall_timeout_s = math.inf
        self._is_behind = False
        self._taken_bytes = 0
        self._progress_at = 0.0

    @property
    def status(self) -> int:
        """Status that was sent; 0 if none was."""
        return self._status

    @property
    def keeps_connection(self) -> bool:
        """Whether another request can follow on the connection."""
        done = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        return self._http.states == done

    def set_claim(
        self, claim: memory_room.Claim, stall_timeout_s: float
    ) -> None:
        """Sets what the request holds until its answer is taken.

        Args:
            claim: Memory of the request.
            stall_timeout_s: Time without progress, in seconds, after which
                the caller is cut off.
        """
        self._claim = claim
        self._stall_timeout_s = stall_timeout_s

    def send_failure(
        self,
        outcome: outcomes.NotRun | outcomes.Unknown,
        status: int | None = None,
    ) -> None:
        """Sends the answer to a request that no upstream answered.

        Args:
            outcome: Outcome of the request.
            status: Status of the answer; None for that of the outcome.
        """
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._stream.abort()
            return
        head, body = answers.for_outcome(
            outcome, self._entry_id, fractional_seconds=True
        )
        dropped = frozenset((http1.HeaderName.CONTENT_LENGTH,))
        kept = http1.strip_hop_by_hop(head.headers, dropped)
        head = calls.AnswerHead(status or head.status, kept)
        self.send_whole(head, body, b"")

    def send_whole(
        self, head: calls.AnswerHead, body: bytes, method: bytes
    ) -> None:
        """Sends a complete answer.

        Args:
            head: Status and header fields.
            body: The whole body.
            method: Method of the request; the answer to HEAD has no body.

        Raises:
            h11.LocalProtocolError: The answer cannot be encoded.
        """
        headers = head.headers
        if head.status not in NO_BODY_STATUSES:
            length = (http1.HeaderName.CONTENT_LENGTH, b"%d" % len(body))
            headers = (*headers, length)
        data = self._encode_head(head.status, headers)
        if body and method != b"HEAD":
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._stream.write(data)

    async def send_parts(
        self,
        head: calls.AnswerHead,
        parts: list[calls.AnswerData],
        method: bytes,
    ) -> None:
        """Sends a complete answer, a long one as the caller takes it.

        Args:
            head: Status and header fields.
            parts: The whole body.
            method: Method of the request; the answer to HEAD has no body.

        Raises:
            h11.LocalProtocolError: The answer cannot be encoded.
        """
        body = b"".join(each.data for each in parts)
        if len(body) <= PIECE_BYTES or method == b"HEAD":
            self.send_whole(head, body, method)
            return
        name = http1.HeaderName.CONTENT_LENGTH
        headers = (*head.headers, (name, b"%d" % len(body)))
        self._stream.write(self._encode_head(head.status, headers))
        await self._write_data(body)
        self._stream.write(self._http.send(h11.EndOfMessage()) or b"")

    async def send_stream(
        self,
        head: calls.AnswerHead,
        answer: calls.AnswerChannel,
    ) -> calls.AnswerEnd | calls.AnswerFailed:
        """Sends a long answer as it arrives.

        Args:
            head: Status and header fields.
            answer: Channel with the body.

        Returns:
            The last message of the channel. If the answer failed, the
            connection is aborted, so that the answer does not look complete.

        Raises:
            h11.LocalProtocolError: The answer cannot be encoded.
        """
        self._stream.write(self._encode_head(head.status, head.headers))
        while True:
            message = await answer.get()
            if isinstance(message, calls.AnswerData):
                await self._write_data(message.data)
                # The part is not kept while the next one is waited for.
                del message
            elif isinstance(message, calls.AnswerEnd):
                end = self._http.send(h11.EndOfMessage()) or b""
                self._stream.write(end)
                return message
            else:
                assert isinstance(message, calls.AnswerFailed)
                self._stream.abort()
                return message

    async def _drain(self) -> None:
        """Waits while the write buffer is over its limit.

        A caller that takes too little of it is cut off.
        """
        self._note_unsent()
        while self._stream.is_write_paused and not self._stream.is_lost:
            before = self._stream.unsent_bytes
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PROGRESS_CHECK_S):
                    await self._stream.drain()
            self._note_taken(before - self._stream.unsent_bytes)

    async def flush(self) -> None:
        """Waits until the caller has taken the answer or is cut off."""
        stream = self._stream
        self._note_unsent()
        while stream.has_unsent and not stream.is_lost:
            before = stream.unsent_bytes
            await stream.flush(PROGRESS_CHECK_S)
            self._note_taken(before - stream.unsent_bytes)

    def _note_taken(self, count: int) -> None:
        """Notes progress, or cuts a caller off that makes none."""
        now = time.monotonic()
        self._taken_bytes += count
        if self._taken_bytes >= memory_account.PROGRESS_BYTES:
            self._taken_bytes = 0
            self._progress_at = now
        elif now - self._progress_at > self._stall_timeout_s:
            self._stream.abort()
        if self._claim is not None:
            self._claim.add_progress(count)

    def _note_unsent(self) -> None:
        """Notes whether the request waits for its caller to read."""
        is_behind = self._stream.has_unsent
        if is_behind == self._is_behind:
            return
        self._is_behind = is_behind
        self._taken_bytes = 0
        self._progress_at = time.monotonic()
        phase = memory_account.Phase
        if self._claim is not None:
            self._claim.enter(phase.ANSWERING if is_behind else phase.SERVED)

    async def _write_data(self, data: bytes) -> None:
        """Writes a part of the body in pieces, as the caller takes them."""
        rest = memoryview(data)
        while rest:
            piece, rest = rest[:PIECE_BYTES], rest[PIECE_BYTES:]
            event = h11.Data(data=piece)  # type: ignore[arg-type]
            for part in self._http.send_with_data_passthrough(event) or ():
                self._stream.write(part)
            await self._drain()

    def _encode_head(self, status: int, headers: calls.Headers) -> bytes:
        self._status = status
        fields = list(headers)
        if self._closes_connection():
            fields.append((http1.HeaderName.CONNECTION, b"close"))
        response = h11.Response(status_code=status, headers=fields)
        return self._http.send(response) or b""
