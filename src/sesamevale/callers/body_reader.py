"""Reading of request bodies as far as the memory of an entry allows."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from sesamevale import bodies
from sesamevale import memory_room
from sesamevale import outcomes
from sesamevale.policy.admission import memory_account

if TYPE_CHECKING:
    from sesamevale.callers import request_reader

__all__ = ["BodyReader"]

# Bytes of a body that the memory of each request includes.
INCLUDED_BYTES = 16 * 1024
# Number of parsed events after which other tasks get a turn. Parsing costs the
# same for chunks of any size.
EVENTS_PER_TURN = 64

Kind = memory_account.Kind
Phase = memory_account.Phase
Reason = outcomes.Reason


class BodyReader:
    """Reads the body of one request.

    Args:
        reader: Reader of the connection.
        claim: Memory of the request.
        limit_bytes: Size of the longest body.
    """

    def __init__(
        self,
        reader: request_reader.RequestReader,
        claim: memory_room.Claim,
        limit_bytes: int,
    ) -> None:
        self._reader = reader
        self._claim = claim
        self._limit_bytes = limit_bytes
        self._body = bodies.BodyBuffer()
        self._held_bytes = INCLUDED_BYTES
        self._progress_bytes = 0
        self._is_waiting = False

    def release(self) -> None:
        """Gives the memory of the body back."""
        self._body.release()

    async def read(self) -> bodies.BodyBuffer | Reason | None:
        """Reads the whole body.

        Returns:
            The body, the reason for which the request is refused, or None if
            the body is incomplete.

        Raises:
            h11.RemoteProtocolError: The body is malformed or ends early.
        """
        declared = self._reader.declared_length
        if declared is not None and declared > self._limit_bytes:
            return Reason.TOO_LARGE
        with self._reader.reading_body():
            if (
                declared is not None
                and declared > self._held_bytes
                and not await self._hold(declared)
            ):
                return Reason.MEMORY
            result = await self._read_parts()
        self._wait_for_caller(is_waiting=False)
        return result

    async def _read_parts(self) -> bodies.BodyBuffer | Reason | None:
        body = self._body
        event_count = 0
        while True:
            event = self._reader.received_body_event()
            if event is h11.NEED_DATA:
                self._wait_for_caller(is_waiting=True)
                await self._reader.receive_body()
                continue
            if isinstance(event, h11.EndOfMessage):
                return body
            if not isinstance(event, h11.Data):
                return None
            length = len(body) + len(event.data)
            if length > self._limit_bytes:
                return Reason.TOO_LARGE
            if length > self._held_bytes and not await self._hold(length):
                return Reason.MEMORY
            body.append(event.data)
            self._note_progress(len(event.data))
            event_count += 1
            if event_count % EVENTS_PER_TURN == 0:
                await asyncio.sleep(0)

    async def _hold(self, length: int) -> bool:
        """Takes memory for a body up to a length; False if there is none."""
        missing = length - self._held_bytes
        self._wait_for_caller(is_waiting=True)
        if self._reader.declared_length is None:
            missing = max(missing, bodies.SEGMENT_BYTES)
        timeout_s = memory_room.ROOM_TIMEOUT_S
        if not await self._claim.grow(Kind.BODY, missing, timeout_s):
            return False
        self._held_bytes += missing
        return True

    def _wait_for_caller(self, *, is_waiting: bool) -> None:
        """Notes whether the request waits for its caller or for room."""
        if is_waiting != self._is_waiting:
            self._is_waiting = is_waiting
            self._claim.enter(Phase.READING if is_waiting else Phase.SERVED)

    def _note_progress(self, count: int) -> None:
        self._progress_bytes += count
        if self._progress_bytes >= memory_account.PROGRESS_BYTES:
            self._claim.add_progress(self._progress_bytes)
            self._progress_bytes = 0
            self._reader.restart_body_timeout()
