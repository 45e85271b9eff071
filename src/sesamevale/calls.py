"""Calls and the messages that carry their answers between tasks."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from sesamevale import outcomes

if TYPE_CHECKING:
    from sesamevale import documents

__all__ = [
    "AnswerChannel",
    "AnswerData",
    "AnswerEnd",
    "AnswerFailed",
    "AnswerHead",
    "AnswerMessage",
    "BodyChannel",
    "Call",
    "Headers",
]

HIGH_WATER_BYTES = 256 * 1024
# Memory that a part of an answer takes besides its bytes.
PART_OVERHEAD_BYTES = 128

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and header fields of an answer."""

    status: int
    headers: Headers


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerData:
    """Part of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFailed:
    """The answer is missing or incomplete, and nothing more follows.

    Attributes:
        outcome: Outcome of the call.
    """

    outcome: outcomes.NotRun | outcomes.Unknown


AnswerMessage = AnswerHead | AnswerData | AnswerEnd | AnswerFailed


class BodyChannel:
    """Channel that carries a request body from one task to another.

    ``put`` waits while more than ``HIGH_WATER_BYTES`` are unread.
    """

    def __init__(self) -> None:
        self._parts: collections.deque[bytes | None] = collections.deque()
        self._bytes = 0
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._aborted = False

    @property
    def aborted(self) -> bool:
        """Whether the sender aborted before the end of the body."""
        return self._aborted

    async def put(self, data: bytes) -> None:
        """Adds a part; waits while too many bytes are unread."""
        await self._writable.wait()
        self._parts.append(data)
        self._bytes += len(data)
        if self._bytes > HIGH_WATER_BYTES:
            self._writable.clear()
        self._readable.set()

    def finish(self) -> None:
        """Marks the end of the body."""
        self._parts.append(None)
        self._readable.set()

    def abort(self) -> None:
        """Ends the body early: the rest of it will not be sent."""
        self._aborted = True
        self.finish()

    def unblock_sender(self) -> None:
        """Makes ``put`` return at once, since the receiver reads no more."""
        self._bytes = -(1 << 62)
        self._writable.set()

    async def get(self) -> bytes | None:
        """Returns the next part, or None at the end."""
        while not self._parts:
            self._readable.clear()
            await self._readable.wait()
        part = self._parts.popleft()
        if part is not None:
            self._bytes -= len(part)
            if self._bytes <= HIGH_WATER_BYTES:
                self._writable.set()
        return part


class AnswerChannel:
    """Channel that carries one answer from an attempt to its receiver.

    Several attempts of a call may run concurrently. Only the first to
    claim the channel may put its answer there.
    """

    __slots__ = (
        "_bytes",
        "_drain_waiter",
        "_messages",
        "_next",
        "_owner",
        "_waiter",
    )

    def __init__(self) -> None:
        self._messages: collections.deque[AnswerMessage] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._bytes = 0
        self._owner: int | None = None
        self._next: AnswerChannel | None = None

    @property
    def claimed(self) -> bool:
        """Whether an attempt has claimed the channel."""
        return self._owner is not None

    @property
    def unread_bytes(self) -> int:
        """Memory in bytes that the unread parts take."""
        rest = self._next.unread_bytes if self._next is not None else 0
        return self._bytes + rest

    def claim(self, attempt_id: int) -> bool:
        """Claims the channel for an attempt; False if another has it."""
        if self._owner is None:
            self._owner = attempt_id
        return self._owner == attempt_id

    def put(self, message: AnswerMessage) -> None:
        """Adds a message without waiting."""
        if self._next is not None:
            self._next.put(message)
            return
        self._messages.append(message)
        if isinstance(message, AnswerData):
            self._bytes += len(message.data) + PART_OVERHEAD_BYTES
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def put_back(self, message: AnswerData) -> None:
        """Makes a part that was taken the next one again."""
        self._messages.appendleft(message)
        self._bytes += len(message.data) + PART_OVERHEAD_BYTES

    def continue_with(self, other: AnswerChannel) -> None:
        """Reads from another channel once this one is empty.

        Messages that are added later go to the other channel.
        """
        self._next = other

    async def drain(self) -> None:
        """Waits while unread parts take more than ``HIGH_WATER_BYTES``."""
        while self._bytes > HIGH_WATER_BYTES:
            self._drain_waiter = asyncio.get_running_loop().create_future()
            await self._drain_waiter

    async def get(self) -> AnswerMessage:
        """Returns the next message; waits if there is none."""
        while not self._messages:
            if self._next is not None:
                return await self._next.get()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        message = self._messages.popleft()
        if isinstance(message, AnswerData):
            self._bytes -= len(message.data) + PART_OVERHEAD_BYTES
            if self._drain_waiter is not None and not self._drain_waiter.done():
                self._drain_waiter.set_result(None)
        return message

    def has_message(self) -> bool:
        """Whether ``get`` would return without waiting."""
        if not self._messages and self._next is not None:
            return self._next.has_message()
        return bool(self._messages)


@dataclasses.dataclass(slots=True)
class Call:
    """One call that an entry processes.

    Attributes:
        call_id: Number, unique within this process.
        service: Name of the service.
        rule: Rule that matched the request.
        method: HTTP method.
        target: Request target as received.
        headers: Header fields with hop-by-hop fields removed.
        body: Body, or its first part if ``body_rest`` is set.
        body_rest: Rest of a body too large to buffer; None otherwise.
        caller: Address of the caller, which gets a fair share of the queue.
        deadline: Monotonic time in seconds after which an answer is too late.
        retries: Retries left for this call and all calls that it causes.
        hops: How many more entries the call may be relayed to.
        answer: Channel for the answer.
        arrived: Monotonic time of arrival in seconds.
        identity: Identity by which the call runs at most once, if it has one.
        traceparent: W3C trace context for the next hop, if any.
        upstream_seconds: Total time of the attempts at upstreams and other
            entries, including the time to connect.
        relay_entry_id: Entry that the call was last relayed to, if any.
    """

    call_id: int
    service: str
    rule: documents.Rule
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    body_rest: BodyChannel | None
    caller: str
    deadline: float
    retries: int
    hops: int
    answer: AnswerChannel
    arrived: float
    identity: str | None = None
    traceparent: bytes | None = None
    upstream_seconds: float = 0.0
    relay_entry_id: str = ""

    @property
    def replayable(self) -> bool:
        """Whether the whole body is buffered for another attempt."""
        return self.body_rest is None
