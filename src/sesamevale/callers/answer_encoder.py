"""Answers of the gateway as bytes on a caller's connection."""

from __future__ import annotations

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
# Longer bodies are written by themselves, since joining them copies them.
JOINED_BYTES_MAX = 64 * 1024


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
        self._is_behind = False

    @property
    def status(self) -> int:
        """Status that was sent; 0 if none was."""
        return self._status

    @property
    def keeps_connection(self) -> bool:
        """Whether another request can follow on the connection."""
        done = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        return self._http.states == done

    def set_claim(self, claim: memory_room.Claim) -> None:
        """Sets the memory that the request holds until its answer is sent."""
        self._claim = claim

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
        if method == b"HEAD":
            body = b""
        if len(body) > JOINED_BYTES_MAX:
            self._stream.write(data)
            self._write_data(body)
            data = b""
        elif body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._stream.write(data)

    async def send_stream(
        self,
        head: calls.AnswerHead,
        received: bytes,
        answer: calls.AnswerChannel,
    ) -> calls.AnswerEnd | calls.AnswerFailed:
        """Sends a long answer as it arrives.

        Args:
            head: Status and header fields.
            received: First part of the body.
            answer: Channel with the rest.

        Returns:
            The last message of the channel. If the answer failed, the
            connection is aborted, so that the answer does not look complete.

        Raises:
            h11.LocalProtocolError: The answer cannot be encoded.
        """
        self._stream.write(self._encode_head(head.status, head.headers))
        data = received
        while True:
            self._write_data(data)
            await self.drain(len(data))
            message = await answer.get()
            if isinstance(message, calls.AnswerData):
                data = message.data
            elif isinstance(message, calls.AnswerEnd):
                end = self._http.send(h11.EndOfMessage()) or b""
                self._stream.write(end)
                return message
            else:
                assert isinstance(message, calls.AnswerFailed)
                self._stream.abort()
                return message

    async def drain(self, count: int) -> None:
        """Waits while the write buffer is over its limit.

        Args:
            count: Bytes written since the last call.
        """
        self.note_unsent()
        await self._stream.drain()
        if self._is_behind and self._claim is not None:
            self._claim.add_progress(count)

    async def flush(self, timeout_s: float) -> None:
        """Waits until the write buffer is empty or the connection is lost.

        Args:
            timeout_s: Time without progress, in seconds, after which the
                connection is aborted.
        """
        stream = self._stream
        while stream.has_unsent and not stream.closed:
            self.note_unsent()
            taken = await stream.wait_until_taken(
                memory_account.PROGRESS_BYTES, timeout_s
            )
            if not taken:
                stream.abort()
            elif self._claim is not None:
                self._claim.add_progress(taken)

    def note_unsent(self) -> None:
        """Notes whether the request waits for its caller to read."""
        is_behind = self._stream.has_unsent
        if is_behind == self._is_behind or self._claim is None:
            return
        self._is_behind = is_behind
        phase = memory_account.Phase
        self._claim.enter(phase.ANSWERING if is_behind else phase.SERVED)

    def _write_data(self, data: bytes) -> None:
        """Writes a part of the body without joining it to its framing."""
        event = h11.Data(data=data)
        for part in self._http.send_with_data_passthrough(event) or ():
            self._stream.write(part)

    def _encode_head(self, status: int, headers: calls.Headers) -> bytes:
        self._status = status
        fields = list(headers)
        if self._closes_connection():
            fields.append((http1.HeaderName.CONNECTION, b"close"))
        response = h11.Response(status_code=status, headers=fields)
        return self._http.send(response) or b""
