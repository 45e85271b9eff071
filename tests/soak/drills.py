"""Drills of the soak: the store comes back from a copy some seconds old."""

from __future__ import annotations

import asyncio
import time

from sesamevale.platform import decoding
from sesamevale.platform import models


class Drills:
    """Drills one after another; configurations and heartbeats come again."""

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng

    async def run(self, end):
        while time.monotonic() < end:
            copy = self._fleet.store.copy()
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            if self._rng.random() < 0.5:
                self._fleet.store.standing_fault = "refused"
                await asyncio.sleep(self._rng.uniform(0.1, 1.0))
                self._fleet.store.standing_fault = ""
            self._fleet.store.restore(copy)
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            self._fleet.publish_configuration()
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))


def find_violations(fleet):
    """Yields the entries that are not registered in the present era."""
    for entry in fleet.running_entries():
        key = decoding.REGISTRATION_PREFIX + entry.name
        item = fleet.store.items.get(key)
        if item is None:
            yield f"{entry.name} is not registered"
            continue
        found = decoding.decode_record(models.Item.model_validate(item))
        if found.era != fleet.store.era:
            yield f"{entry.name} is registered in era {found.era}"
        if found.lease not in fleet.store.leases:
            yield f"{entry.name} is registered without a lease"
