"""Tasks that own their state and receive messages through an inbox."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import Generic
from typing import Self
from typing import TypeVar

from absl import logging

__all__ = ["Actor", "BackgroundTask", "Inbox"]

Message = TypeVar("Message")


class Inbox(Generic[Message]):
    """Unbounded queue of messages for one task."""

    __slots__ = ("_messages", "_waiter")

    def __init__(self) -> None:
        self._messages: collections.deque[Message] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: Message) -> None:
        """Adds a message and wakes the receiver."""
        self._messages.append(message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def put_back(self, message: Message) -> None:
        """Makes a message the oldest one again."""
        self._messages.appendleft(message)

    def get_nowait(self) -> Message:
        """Returns the oldest message.

        Raises:
            IndexError: There is none.
        """
        return self._messages.popleft()

    async def get(self) -> Message:
        """Returns the oldest message; waits if there is none."""
        while not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._messages.popleft()


class BackgroundTask:
    """An asyncio task that runs while the context is open.

    Subclasses override ``_run``.

    Args:
        name: Name for logs and for the task.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Name for logs and for the task."""
        return self._name

    def start(self) -> None:
        """Starts the task; entering the context does the same."""
        self._task = asyncio.create_task(self._run(), name=self._name)

    async def __aenter__(self) -> Self:
        self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        """Body of the task."""
        raise NotImplementedError


class Actor(BackgroundTask, Generic[Message]):
    """A task that handles the messages of its inbox one after the other.

    Subclasses override ``receive``.

    An exception in ``receive`` is a broken invariant: it is logged and ends
    the task, and the exception handler of the event loop stops the process.
    The message stays in the inbox.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self._inbox: Inbox[Message] = Inbox()
        self._has_failed = False

    @property
    def has_failed(self) -> bool:
        """Whether an exception has ended the task."""
        return self._has_failed

    def send(self, message: Message) -> None:
        """Puts a message into the inbox; never waits."""
        self._inbox.put(message)

    async def __aexit__(self, *exc_info: object) -> None:
        # The exception that has ended the task is reported already.
        if not self._has_failed:
            await super().__aexit__(*exc_info)

    def receive(self, message: Message) -> None:
        """Handles one message.

        Args:
            message: The message taken from the inbox.
        """
        raise NotImplementedError

    async def _run(self) -> None:
        while True:
            message = await self._inbox.get()
            try:
                self.receive(message)
            except Exception as error:
                self._has_failed = True
                self._inbox.put_back(message)
                logging.exception("task %s broke an invariant", self._name)
                loop = asyncio.get_running_loop()
                loop.call_exception_handler(
                    {"message": "broken invariant", "exception": error}
                )
                raise
