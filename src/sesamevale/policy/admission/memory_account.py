"""Account of the memory and the connections that callers take of an entry.

Each request has a holding. What it holds is counted before it is read: bytes
that find no room are left in the socket. A holding makes room for another one
in this order: those that have made no progress for ``STALL_S`` before the
others, the least urgent first, then the one that has stalled longest, then the
one that holds most. A holding that makes progress gives way only to more
urgent requests, and only while its body is read, since no upstream can have
run the request then.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

from sesamevale.policy.admission import memory_limits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

__all__ = [
    "Cause",
    "Holding",
    "Kind",
    "MemoryAccount",
    "Phase",
]

# Time without progress after which a holding gives way to others, in seconds.
STALL_S = 1.5
# Bytes that count as progress. A peer that sends or takes less in ``STALL_S``
# holds memory for far longer than its link requires.
PROGRESS_BYTES = 16 * 1024
# Priority of what has no route, or is no request yet.
LEAST_URGENT = 9


class Kind(enum.StrEnum):
    """What memory is held for."""

    CONNECTION = "connection"
    REQUEST = "request"
    BODY = "body"
    ANSWER = "answer"


class Phase(enum.Enum):
    """What a request waits for."""

    READING = "reading"
    SERVED = "served"
    ANSWERING = "answering"


class Cause(enum.StrEnum):
    """Why a connection or a request is turned away."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    REQUESTS = "requests"
    LESS_URGENT = "less_urgent"
    STALLED_BODY = "stalled_body"
    STALLED_READER = "stalled_reader"


class Holding:
    """Memory that one request holds.

    Args:
        account: Account that it belongs to.
        priority: Priority of the request; 0 is the most urgent.
        turn_away: Called when the request has to give way; its memory counts
            as free from then on.
        now: Monotonic time in seconds.
    """

    __slots__ = (
        "_account",
        "_further",
        "_held_bytes",
        "_is_open",
        "_phase",
        "_priority",
        "_progress",
        "_progress_at",
        "_turn_away",
    )

    def __init__(
        self,
        account: MemoryAccount,
        priority: int,
        turn_away: Callable[[Cause], None],
        now: float,
    ) -> None:
        self._account = account
        self._priority = priority
        self._turn_away = turn_away
        # By kind, what is held beside the memory of each request.
        self._further: dict[Kind, int] | None = None
        self._held_bytes = memory_limits.REQUEST_BYTES
        self._phase = Phase.SERVED
        self._progress = 0
        self._progress_at = now
        self._is_open = True

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        return self._priority

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        return self._held_bytes

    @property
    def phase(self) -> Phase:
        """What the request waits for."""
        return self._phase

    @property
    def is_open(self) -> bool:
        """Whether the request has neither ended nor been turned away."""
        return self._is_open

    def stalled_s(self, now: float) -> float:
        """Seconds since it last made progress."""
        return now - self._progress_at

    def enter(self, phase: Phase, now: float) -> None:
        """Notes what the request waits for from now on."""
        self._phase = phase
        self._progress = 0
        self._progress_at = now
        self._account._note_phase(self)

    def add_progress(self, count: int, now: float) -> None:
        """Notes that bytes were received from the caller or taken by it."""
        self._progress += count
        if self._progress >= PROGRESS_BYTES:
            self._progress = 0
            self._progress_at = now

    def try_grow(self, kind: Kind, count: int, now: float) -> bool:
        """Takes more memory, if need be from others.

        Args:
            kind: What for.
            count: Bytes.
            now: Monotonic time in seconds.

        Returns:
            Whether there is room. There is none for one that was turned away.
        """
        account, limits = self._account, self._account.limits
        request_bytes = memory_limits.REQUEST_BYTES
        is_large = max(count, self._held_bytes) > request_bytes
        limit = limits.large_bytes if is_large else limits.capacity_bytes
        if not self._is_open or not account._make_room(
            count, limit, self._priority, now, keep=self
        ):
            return False
        self._add(kind, count)
        return True

    def shrink(self, kind: Kind, count: int) -> None:
        """Gives memory back."""
        if self._is_open:
            self._add(kind, -count)
            self._account._on_freed()

    def _add(self, kind: Kind, count: int) -> None:
        if self._further is None:
            self._further = {}
        self._further[kind] = self._further.get(kind, 0) + count
        self._held_bytes += count
        self._account._add(kind, count)

    def close(self) -> None:
        """Gives all memory back; does nothing the second time."""
        if self._is_open:
            self._is_open = False
            self._account._forget(self)


class MemoryAccount:
    """Counts what callers hold, and decides who gets room.

    Args:
        limits: Limits of the entry.
        on_freed: Called when memory was given back.
    """

    def __init__(
        self,
        limits: memory_limits.MemoryLimits,
        on_freed: Callable[[], None] = lambda: None,
    ) -> None:
        self._limits = limits
        self._on_freed = on_freed
        self._total = 0
        # By kind, what is held beside the memory of each request.
        self._further = dict.fromkeys(Kind, 0)
        self._turned_away: collections.Counter[Cause] = collections.Counter()
        self._request_count = 0
        # Holdings that wait for their callers.
        self._waiting: set[Holding] = set()

    @property
    def limits(self) -> memory_limits.MemoryLimits:
        """Limits of the entry."""
        return self._limits

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        return self._total

    @property
    def held_by_kind(self) -> Mapping[Kind, int]:
        """Bytes that are held, by what for."""
        held = dict(self._further)
        held[Kind.REQUEST] += self._request_count * memory_limits.REQUEST_BYTES
        return held

    @property
    def turned_away(self) -> Mapping[Cause, int]:
        """Connections and requests that were turned away, by cause."""
        return self._turned_away

    def try_connect(self, now: float, *, replaces: bool = False) -> bool:
        """Counts a connection; False if there is no room for it.

        Args:
            now: Monotonic time in seconds.
            replaces: Whether another connection is being closed for it.
        """
        count, limits = memory_limits.CONNECTION_BYTES, self._limits
        held = self._further[Kind.CONNECTION]
        has_room = held < limits.connections_max * count and self._make_room(
            count, limits.capacity_bytes, LEAST_URGENT, now
        )
        if has_room or replaces:
            self._add(Kind.CONNECTION, count)
        return has_room or replaces

    def disconnect(self) -> None:
        """Counts the end of a connection."""
        self._add(Kind.CONNECTION, -memory_limits.CONNECTION_BYTES)
        self._on_freed()

    def open(
        self, priority: int, turn_away: Callable[[Cause], None], now: float
    ) -> Holding | None:
        """Admits a request.

        Args:
            priority: Its priority; 0 is the most urgent.
            turn_away: Called when the request has to give way.
            now: Monotonic time in seconds.

        Returns:
            Its holding, or None if there is no room.
        """
        if self._request_count >= self._limits.requests_max:
            self._turn_away_one(priority, now)
            if self._request_count >= self._limits.requests_max:
                return None
        count = memory_limits.REQUEST_BYTES
        limit = self._limits.capacity_bytes
        if not self._make_room(count, limit, priority, now):
            return None
        self._request_count += 1
        self._total += count
        return Holding(self, priority, turn_away, now)

    def count_refused_connection(self) -> None:
        """Counts a connection that was closed since it found no room."""
        self._turned_away[Cause.CONNECTIONS] += 1

    def count_refusal(self) -> None:
        """Counts a request that was refused since it found no room."""
        is_full = self._request_count >= self._limits.requests_max
        self._turned_away[Cause.REQUESTS if is_full else Cause.MEMORY] += 1

    def _make_room(
        self,
        count: int,
        limit: int,
        priority: int,
        now: float,
        *,
        keep: Holding | None = None,
    ) -> bool:
        """Turns others away until bytes fit.

        Args:
            count: The bytes.
            limit: Bytes that may be held with them.
            priority: Priority of the request that they are for.
            now: Monotonic time in seconds.
            keep: Holding that stays, since the bytes are for it.

        Returns:
            Whether they fit; otherwise nobody is turned away.
        """
        missing = self._total + count - limit
        if missing <= 0:
            return True
        victims = []
        for each in self._candidates(priority, now):
            if each is keep:
                continue
            victims.append(each)
            missing -= each.held_bytes
            if missing <= 0:
                break
        if missing > 0:
            return False
        for each in victims:
            self._turn_away(each, now)
        return True

    def _turn_away_one(self, priority: int, now: float) -> None:
        """Turns away the first holding that gives way, if there is one."""
        for each in self._candidates(priority, now):
            self._turn_away(each, now)
            return

    def _candidates(self, priority: int, now: float) -> list[Holding]:
        """Returns the holdings that give way to a priority, first one first."""
        found = [
            each
            for each in self._waiting
            if each.stalled_s(now) >= STALL_S
            or (each.phase is Phase.READING and each.priority > priority)
        ]
        found.sort(
            key=lambda each: (
                each.stalled_s(now) < STALL_S,
                -each.priority,
                -each.stalled_s(now),
                -each.held_bytes,
            )
        )
        return found

    def _turn_away(self, holding: Holding, now: float) -> None:
        cause = Cause.LESS_URGENT
        if holding.stalled_s(now) >= STALL_S:
            cause = Cause.STALLED_READER
            if holding.phase is Phase.READING:
                cause = Cause.STALLED_BODY
        self._turned_away[cause] += 1
        holding.close()
        holding._turn_away(cause)

    def _note_phase(self, holding: Holding) -> None:
        if holding.phase is Phase.SERVED or not holding.is_open:
            self._waiting.discard(holding)
        else:
            self._waiting.add(holding)

    def _forget(self, holding: Holding) -> None:
        self._waiting.discard(holding)
        self._request_count -= 1
        for kind, count in (holding._further or {}).items():
            self._further[kind] -= count
        self._total -= holding.held_bytes
        self._on_freed()

    def _add(self, kind: Kind, count: int) -> None:
        self._further[kind] += count
        self._total += count
