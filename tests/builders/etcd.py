"""Builder of a platform in memory that loses and delays writes on demand."""

from __future__ import annotations

import collections

from sesamevale.etcd import client


class FaultyKeyValueClient:
    """Has the interface of the platform's client that documents need.

    ``faults`` says what happens to the next requests: ``ok``, ``refused``
    (no effect, known), ``lost`` (takes effect, no answer) or ``late`` (takes
    effect some requests later, no answer).
    """

    def __init__(self) -> None:
        self.keys: dict[str, client.KeyRecord] = {}
        self.faults: collections.deque[str] = collections.deque()
        self.late: list[tuple[list, list]] = []
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
            self.late.append((compares, puts))
            return client.Unavailable(may_have_executed=True)
        succeeded = self._apply(compares, puts)
        if fault == "lost":
            return client.Unavailable(may_have_executed=True)
        return succeeded

    def apply_late_writes(self) -> None:
        """Lets all delayed writes arrive."""
        while self.late:
            self._apply(*self.late.pop(0))

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
