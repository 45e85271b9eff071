"""Task that reads the store at intervals and tells the gateway."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import Self
from typing import TYPE_CHECKING

from sesamevale import gateway as gateways
from sesamevale.platform import decoding
from sesamevale.platform import store

if TYPE_CHECKING:
    from sesamevale import event_log

__all__ = ["Follower"]

# Interval before the first configuration and after a read that failed.
RETRY_INTERVAL_S = 0.25
RETRY_INTERVAL_MAX_S = 0.6
JITTER = 0.1


class Follower:
    """Reads all keys at once, so that one call serves every purpose.

    Reads are linearizable, so a drain or a version that the store has
    acknowledged is in the next read, whatever becomes of its history.

    Args:
        client: Client of the store.
        gateway: Told about what was read.
        events: Where lost and regained contact is logged.
        interval_s: Longest time between two reads, in seconds.
    """

    def __init__(
        self,
        client: store.StoreClient,
        gateway: gateways.Gateway,
        events: event_log.EventLog,
        interval_s: float,
    ) -> None:
        self._interval_s = interval_s
        self._client = client
        self._gateway = gateway
        self._events = events
        self._decoder = decoding.Decoder()
        self._rejected: dict[str, str] = {}
        self._away = False
        self._failures = 0
        self._configured = False
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._run(), name="store-follower")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        while True:
            started = time.monotonic()
            found = await self._client.read_all()
            if isinstance(found, store.Failed):
                self._note_failure(found)
            else:
                self._note_contact()
                self._tell(self._decoder.decode(found), started)
            spent = time.monotonic() - started
            await asyncio.sleep(max(0.0, self._interval() - spent))

    def _interval(self) -> float:
        interval = self._interval_s
        if self._failures:
            interval = RETRY_INTERVAL_S * self._failures
            interval = min(interval, RETRY_INTERVAL_MAX_S)
        elif not self._configured:
            interval = RETRY_INTERVAL_S
        return interval * random.uniform(1.0 - JITTER, 1.0)

    def _tell(self, snapshot: decoding.Snapshot, read_at: float) -> None:
        gateway = self._gateway
        gateway.send(gateways.Discovered(snapshot.upstreams, read_at))
        if snapshot.configuration is not None:
            self._configured = True
            gateway.send(gateways.Configured(snapshot.configuration, read_at))
        gateway.send(gateways.PeersSeen(snapshot.peers, read_at))
        if snapshot.rejected != self._rejected:
            self._rejected = snapshot.rejected
            self._events.state("store_values_rejected", keys=snapshot.rejected)

    def _note_failure(self, failed: store.Failed) -> None:
        self._failures += 1
        if not self._away:
            self._away = True
            self._gateway.send(gateways.StoreAway(True, failed.why))

    def _note_contact(self) -> None:
        self._failures = 0
        if self._away:
            self._away = False
            self._gateway.send(gateways.StoreAway(False, "a read succeeded"))
