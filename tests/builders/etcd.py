"""In-memory fake of the etcd client that loses and delays writes."""

from __future__ import annotations

import collections

from sesamevale.etcd import client


class FaultyKeyValueClient:
    """Implements the methods of ``KeyValueClient`` that documents need.

    ``faults`` lists what happens to the next requests, one each. All but
    ``ok`` and ``arrive`` fail reads with an unknown result.

    ``ok``: The request is answered.
    ``refused``: A write has no effect, and the caller learns so.
    ``lost``: A write takes effect, but the caller gets no answer.
    ``late``: The same, but the effect is delayed.
    ``arrive``: Delayed writes take effect; then the request is answered.
    """

    def __init__(self) -> None:
        self.keys: dict[str, client.KeyRecord] = {}
        self.faults: collections.deque[str] = collections.deque()
        self.late_writes: list[tuple[list, list]] = []
        self.revision = 0

    async def get(self, key: str):
        if self._next_fault() != "ok":
            return client.Unavailable(may_have_executed=True)
        return self.keys.get(key)

    async def mod_revision(self, key: str):
        stored = await self.get(key)
        if isinstance(stored, client.Unavailable):
            return stored
        return stored.mod_revision if stored is not None else 0

    async def read_all(self, prefix: str):
        if self._next_fault() != "ok":
            return client.Unavailable(may_have_executed=True)
        found = sorted(self.keys.items())
        return [stored for key, stored in found if key.startswith(prefix)]

    async def write(self, compares, puts):
        fault = self._next_fault()
        if fault == "refused":
            return client.Unavailable(may_have_executed=False)
        if fault == "late":
            self.late_writes.append((compares, puts))
            return client.Unavailable(may_have_executed=True)
        succeeded = self._apply(compares, puts)
        if fault == "lost":
            return client.Unavailable(may_have_executed=True)
        return succeeded

    def apply_late_writes(self) -> None:
        """Applies all delayed writes in order."""
        while self.late_writes:
            self._apply(*self.late_writes.pop(0))

    def _next_fault(self) -> str:
        fault = self.faults.popleft() if self.faults else "ok"
        if fault == "arrive":
            self.apply_late_writes()
            return "ok"
        return fault

    def _apply(self, compares, puts) -> bool:
        for compare in compares:
            stored = self.keys.get(compare.key)
            found = stored.mod_revision if stored is not None else 0
            if found != compare.mod_revision:
                return False
        self.revision += 1
        for put in puts:
            self.keys[put.key] = client.KeyRecord(
                put.key, put.value, self.revision
            )
        return True
