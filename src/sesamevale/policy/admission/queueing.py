"""Queue of calls by priority, with round robin between callers."""

from __future__ import annotations

import collections
import dataclasses

__all__ = ["FairQueue", "QueuedCall"]


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call that waits for a slot.

    Attributes:
        call_id: Number of the call.
        priority: Priority; calls with lower numbers leave the queue first.
        caller: Address of the caller.
    """

    call_id: int
    priority: int
    caller: str


class FairQueue:
    """Calls that wait for a slot.

    Lower priority numbers leave first. Within one priority the callers are
    served round robin, so a caller with many waiting calls delays only itself.
    """

    def __init__(self) -> None:
        self._levels: dict[
            int, collections.OrderedDict[str, collections.deque[int]]
        ] = {}
        self._waiting: dict[int, QueuedCall] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._waiting

    def push(self, queued_call: QueuedCall, *, front: bool = False) -> None:
        """Adds a call behind the other calls of its caller.

        Args:
            queued_call: The call.
            front: Whether it goes in front of all calls of its priority
                instead.
        """
        self._waiting[queued_call.call_id] = queued_call
        level = self._levels.setdefault(
            queued_call.priority, collections.OrderedDict()
        )
        call_ids = level.get(queued_call.caller)
        if call_ids is None:
            call_ids = level[queued_call.caller] = collections.deque()
        if not front:
            call_ids.append(queued_call.call_id)
            return
        call_ids.appendleft(queued_call.call_id)
        level.move_to_end(queued_call.caller, last=False)

    def pop(self) -> int | None:
        """Removes and returns the next call; None if the queue is empty."""
        if not self._waiting:
            return None
        priority = min(self._levels)
        level = self._levels[priority]
        caller = next(iter(level))
        call_id = level[caller].popleft()
        level.move_to_end(caller)
        self._remove_if_empty(self._waiting.pop(call_id))
        return call_id

    def remove(self, call_id: int) -> bool:
        """Removes a call; returns False if it is not in the queue."""
        queued_call = self._waiting.pop(call_id, None)
        if queued_call is None:
            return False
        self._levels[queued_call.priority][queued_call.caller].remove(call_id)
        self._remove_if_empty(queued_call)
        return True

    def count_ahead_of(self, priority: int) -> int:
        """Counts the calls that leave before a new one of this priority."""
        if not self._waiting:
            return 0
        return sum(
            len(call_ids)
            for level, callers in self._levels.items()
            if level <= priority
            for call_ids in callers.values()
        )

    def eviction_candidate(self, queued_call: QueuedCall) -> int | None:
        """Finds the call to remove from a full queue for a new one.

        Args:
            queued_call: The new call.

        Returns:
            The last call of the caller that has the most waiting calls of the
            lowest priority in the queue; None if the new call has to be
            refused. A call of the priority of the new one is evicted only if
            its caller has more waiting calls than the new call's caller would
            have.
        """
        if not self._waiting:
            return None
        lowest = max(self._levels)
        if lowest < queued_call.priority:
            return None
        level = self._levels[lowest]
        longest = max(level.values(), key=len)
        if lowest > queued_call.priority:
            return longest[-1]
        own = len(level.get(queued_call.caller, ()))
        return longest[-1] if len(longest) > own + 1 else None

    def _remove_if_empty(self, queued_call: QueuedCall) -> None:
        """Removes the lists that the removal of a call has left empty."""
        level = self._levels[queued_call.priority]
        if not level[queued_call.caller]:
            del level[queued_call.caller]
        if not level:
            del self._levels[queued_call.priority]
