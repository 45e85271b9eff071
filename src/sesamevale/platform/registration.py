"""Task that registers this entry in the store for the other entries."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import time
from typing import TYPE_CHECKING

from sesamevale import messaging
from sesamevale.platform import decoding
from sesamevale.platform import models
from sesamevale.platform import store_client
from sesamevale.policy.membership import backoff

if TYPE_CHECKING:
    from sesamevale import event_log
    from sesamevale import gateway as gateways

__all__ = ["RegistrationTask"]

# Bounds how long callers in other data centres are still sent to an entry
# after it has ended.
LEASE_TTL_MS = 6_000
# Leaves time for several retries before the lease ends.
RENEW_INTERVAL_S = 3.0
# Delays between attempts while the store fails. All entries attempt, and each
# call has its price.
RETRY_INTERVAL_S = 0.5
RETRY_INTERVAL_MAX_S = 4.0


class RegistrationTask(messaging.BackgroundTask):
    """Registers this entry while callers may be sent to it.

    Args:
        client: Client of the store.
        own_registration: Registration of this entry.
        gateway: Gateway; the entry is registered while it is ready.
        events: Log of registrations and failures.
    """

    def __init__(
        self,
        client: store_client.StoreClient,
        own_registration: models.Registration,
        gateway: gateways.Gateway,
        events: event_log.EventLog,
    ) -> None:
        super().__init__("registration")
        self._client = client
        self._key = decoding.REGISTRATION_PREFIX + own_registration.entry_id
        self._value = decoding.encode_value(own_registration)
        self._gateway = gateway
        self._events = events
        self._lease = 0
        self._readiness_changed = asyncio.Event()
        self._backoff = backoff.Backoff(
            RETRY_INTERVAL_S, RETRY_INTERVAL_MAX_S, random.Random()
        )

    async def _run(self) -> None:
        self._gateway.on_readiness_changed(self._readiness_changed.set)
        due_at = 0.0
        while True:
            self._readiness_changed.clear()
            now = time.monotonic()
            if self._gateway.is_ready and now >= due_at:
                due_at = now + _next_delay_s(
                    await self._register_or_renew(), self
                )
            elif self._lease and not self._gateway.is_ready:
                await self._client.revoke_lease(self._lease)
                self._lease = 0
            await self._wait_until(due_at)

    async def _wait_until(self, due_at: float) -> None:
        """Waits for the next call, or for a change of the readiness."""
        left_s = None
        if self._gateway.is_ready:
            left_s = max(0.0, due_at - time.monotonic())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_s):
                await self._readiness_changed.wait()

    async def _register_or_renew(self) -> object:
        if self._lease == 0:
            return await self._register()
        return await self._client.renew_lease(self._lease)

    async def _register(self) -> object:
        """Writes the registration under a new lease."""
        granted = await self._client.grant_lease(LEASE_TTL_MS)
        if isinstance(granted, store_client.CallFailure):
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
def _next_delay_s(result: object, task: RegistrationTask) -> float:
    """Handles the result of a call; returns the seconds until the next one."""
    raise TypeError(f"no handler for {type(result).__name__}")


@_next_delay_s.register
def _(result: models.LeaseGranted, task: RegistrationTask) -> float:
    task._backoff.reset()
    return RENEW_INTERVAL_S


@_next_delay_s.register
def _(result: store_client.LeaseLost, task: RegistrationTask) -> float:
    task._lease = 0
    task._events.state("registration_lost", key=task._key)
    return task._backoff.next_delay_s()


@_next_delay_s.register
def _(result: store_client.CallFailure, task: RegistrationTask) -> float:
    task._events.state("registration_failed", why=result.reason)
    return task._backoff.next_delay_s()
