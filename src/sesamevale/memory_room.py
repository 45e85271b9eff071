"""Waiting for room in the memory account of an entry."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from typing import TYPE_CHECKING
from typing import TypeVar

from sesamevale.policy.admission import memory_account
from sesamevale.policy.admission import memory_limits

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Claim", "MemoryRoom", "ROOM_TIMEOUT_S"]

# Longest time that a request waits for room; within it, holdings that make no
# progress give way.
ROOM_TIMEOUT_S = 4.0
# Interval in which waiting requests look for holdings that have stalled.
RETRY_INTERVAL_S = 0.25
# Most requests that wait for room; others are refused at once.
WAITERS_MAX = 1024
# Waiting requests that look for room when memory was given back.
WOKEN_AT_ONCE = 8

Result = TypeVar("Result")


class MemoryRoom:
    """The memory account of an entry, and the tasks that wait for room.

    Small requests get room before large ones, then the more urgent before the
    others, and then the newest: its caller is the likeliest to wait still.

    Args:
        limits: Limits of the entry.
    """

    def __init__(self, limits: memory_limits.MemoryLimits) -> None:
        self._account = memory_account.MemoryAccount(limits, self._wake)
        self._numbers = itertools.count()
        self._waiters: dict[tuple[bool, int, int], asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def account(self) -> memory_account.MemoryAccount:
        """Account of the memory."""
        return self._account

    def try_open_claim(
        self,
        priority: int,
        turn_away: Callable[[memory_account.Cause], None],
    ) -> Claim | None:
        """Admits a request; None if there is no room for it now."""
        holding = self._account.open(priority, turn_away, time.monotonic())
        return None if holding is None else Claim(self, holding)

    async def open_claim(
        self,
        priority: int,
        turn_away: Callable[[memory_account.Cause], None],
    ) -> Claim | None:
        """Admits a request once there is room; None without room in time."""
        found = await self.wait(
            lambda: self.try_open_claim(priority, turn_away),
            (False, priority),
            ROOM_TIMEOUT_S,
        )
        if found is None:
            self._account.count_refusal()
        return found

    async def wait(
        self,
        attempt: Callable[[], Result | None],
        rank: tuple[bool, int],
        timeout_s: float | None,
    ) -> Result | None:
        """Waits for room until an attempt succeeds.

        Args:
            attempt: Returns None while there is no room.
            rank: Whether the attempt is for a large body or answer, and its
                priority.
            timeout_s: Longest time to wait, in seconds; None if it is not
                limited.

        Returns:
            The result of the attempt; None without room in time.
        """
        if len(self._waiters) >= WAITERS_MAX:
            return None
        loop = asyncio.get_running_loop()
        key = (*rank, -next(self._numbers))
        found = None
        try:
            async with asyncio.timeout(timeout_s):
                while found is None:
                    self._waiters[key] = loop.create_future()
                    self._start_timer(loop)
                    await self._waiters[key]
                    found = attempt()
        except TimeoutError:
            pass
        finally:
            self._waiters.pop(key, None)
        return found

    def _start_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        """Lets waiters look for holdings that have stalled meanwhile."""
        if self._timer is None:
            self._timer = loop.call_later(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self._timer = None
        self._wake()
        if self._waiters:
            self._start_timer(asyncio.get_running_loop())

    def _wake(self) -> None:
        if not self._waiters:
            return
        for key in heapq.nsmallest(WOKEN_AT_ONCE, self._waiters):
            waiter = self._waiters[key]
            if not waiter.done():
                waiter.set_result(None)


class Claim:
    """Memory of one request, as its tasks use it.

    Args:
        room: Room of the entry.
        holding: What the request holds.
    """

    __slots__ = ("_holding", "_room")

    def __init__(
        self, room: MemoryRoom, holding: memory_account.Holding
    ) -> None:
        self._room = room
        self._holding = holding

    @property
    def is_open(self) -> bool:
        """Whether the request has neither ended nor been turned away."""
        return self._holding.is_open

    def enter(self, phase: memory_account.Phase) -> None:
        """Notes what the request waits for from now on."""
        self._holding.enter(phase, time.monotonic())

    def add_progress(self, count: int) -> None:
        """Notes that bytes were received from the caller or taken by it."""
        self._holding.add_progress(count, time.monotonic())

    def try_grow(self, kind: memory_account.Kind, count: int) -> bool:
        """Takes more memory; False if there is no room."""
        return self._holding.try_grow(kind, count, time.monotonic())

    async def grow(
        self, kind: memory_account.Kind, count: int, timeout_s: float | None
    ) -> bool:
        """Takes more memory; waits for room.

        Args:
            kind: What for.
            count: Bytes.
            timeout_s: Longest time to wait, in seconds; None if it is not
                limited.

        Returns:
            Whether there was room in time.
        """
        if self.try_grow(kind, count):
            return True

        def try_grow() -> bool | None:
            if not self._holding.is_open:
                return False
            return self.try_grow(kind, count) or None

        rank = (True, self._holding.priority)
        return bool(await self._room.wait(try_grow, rank, timeout_s))

    def shrink(self, kind: memory_account.Kind, count: int) -> None:
        """Gives memory back."""
        self._holding.shrink(kind, count)

    def close(self) -> None:
        """Gives all memory back."""
        self._holding.close()
