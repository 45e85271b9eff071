"""Task that keeps this entry's address in the store for the others."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import Self
from typing import TYPE_CHECKING

from sesamevale.platform import decoding
from sesamevale.platform import models
from sesamevale.platform import store

if TYPE_CHECKING:
    from sesamevale import event_log

__all__ = ["Registration"]

# The address is only a first contact; members watch each other directly.
LEASE_TTL_MS = 60_000
RENEW_INTERVAL_S = 20.0
RETRY_INTERVAL_S = 1.5


class Registration:
    """Registers this entry while its context is open.

    Args:
        client: Client of the store.
        entry_id: Identifier of this entry.
        address: Where the other entries reach it.
        events: Where failures are logged.
    """

    def __init__(
        self,
        client: store.StoreClient,
        entry_id: str,
        address: models.Registration,
        events: event_log.EventLog,
    ) -> None:
        self._client = client
        self._key = decoding.REGISTRATION_PREFIX + entry_id
        self._value = decoding.encode_value(address)
        self._events = events
        self._lease = 0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._run(), name="registration")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        while True:
            if self._lease == 0:
                result = await self._register()
            else:
                result = await self._client.renew_lease(self._lease)
            interval = _interval(result, self)
            await asyncio.sleep(interval)

    async def _register(self) -> object:
        """Writes the address under a new lease."""
        granted = await self._client.grant_lease(LEASE_TTL_MS)
        if isinstance(granted, store.Failed):
            return granted
        written = await self._client.write(
            self._key, self._value, granted.lease
        )
        if written is not None:
            return written
        self._lease = granted.lease
        self._events.state("registered", key=self._key)
        return granted


@functools.singledispatch
def _interval(result: object, task: Registration) -> float:
    """Returns the seconds until the next call, after its last result."""
    raise TypeError(f"no rule for {type(result).__name__}")


@_interval.register
def _(result: models.LeaseGranted, task: Registration) -> float:
    return RENEW_INTERVAL_S


@_interval.register
def _(result: store.LeaseLost, task: Registration) -> float:
    task._lease = 0
    task._events.state("registration_lost", key=task._key)
    return RETRY_INTERVAL_S


@_interval.register
def _(result: store.Failed, task: Registration) -> float:
    task._events.state("registration_failed", why=result.why)
    return RETRY_INTERVAL_S
