"""Waiting for room in the memory account of an entry."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from sesamevale.policy.admission import memory_account

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Claim", "MemoryRoom"]


class MemoryRoom:
    """The memory account of an entry, and the tasks that wait for room.

    Args:
        limits: Limits of the entry.
    """

    def __init__(self, limits: memory_account.MemoryLimits) -> None:
        self._account = memory_account.MemoryAccount(limits, self._wake)
        self._numbers = itertools.count()
        # Keyed by priority and order of arrival.
        self._waiters: dict[tuple[int, int], asyncio.Future[None]] = {}

    @property
    def account(self) -> memory_account.MemoryAccount:
        """Account of the memory."""
        return self._account

    def open_claim(
        self,
        priority: int,
        turn_away: Callable[[memory_account.Cause], None],
    ) -> Claim | None:
        """Admits a request; None if there is no room for it."""
        holding = self._account.open(priority, turn_away, time.monotonic())
        return None if holding is None else Claim(self, holding)

    async def wait_for_change(self, priority: int) -> None:
        """Waits until memory was given back."""
        key = (priority, next(self._numbers))
        self._waiters[key] = asyncio.get_running_loop().create_future()
        try:
            await self._waiters[key]
        finally:
            del self._waiters[key]

    def _wake(self) -> None:
        if not self._waiters:
            return
        for _, waiter in sorted(self._waiters.items()):
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
        self, kind: memory_account.Kind, count: int, timeout_s: float
    ) -> bool:
        """Takes more memory; waits for room.

        Args:
            kind: What for.
            count: Bytes.
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Whether there was room in time.
        """
        if self.try_grow(kind, count):
            return True
        try:
            async with asyncio.timeout(timeout_s):
                while self._holding.is_open:
                    await self._room.wait_for_change(self._holding.priority)
                    if self.try_grow(kind, count):
                        return True
        except TimeoutError:
            pass
        return False

    def shrink(self, kind: memory_account.Kind, count: int) -> None:
        """Gives memory back."""
        self._holding.shrink(kind, count)

    def close(self) -> None:
        """Gives all memory back."""
        self._holding.close()
