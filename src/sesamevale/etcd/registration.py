"""Task that registers this entry in the platform under a lease."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING

import pydantic
from absl import logging

from sesamevale import messaging
from sesamevale.etcd import client
from sesamevale.etcd import keys
from sesamevale.etcd import manifests
from sesamevale.policy import leases

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RegistrationTask"]

LEASE_TTL_S = 10
STEP_S = 0.5
LIST_INTERVAL_S = 30.0
FIRST_LIST_INTERVAL_S = 1.0
FIRST_LISTS = 5


class RegistrationTask(messaging.BackgroundTask):
    """Keeps a registration alive and reports the registered entries.

    Args:
        kv_client: Client of the service.
        environment: Name of the environment.
        registration: What is registered.
        on_entry: Receives each other registered entry.
        rng: Source of randomness for pauses.
    """

    def __init__(
        self,
        kv_client: client.KeyValueClient,
        environment: str,
        registration: manifests.Registration,
        on_entry: Callable[[manifests.Registration], None],
        rng: random.Random,
    ) -> None:
        super().__init__("registration")
        self._kv_client = kv_client
        self._environment = environment
        self._registration = registration
        self._on_entry = on_entry
        self._rng = rng
        self._holder = leases.LeaseHolder(LEASE_TTL_S)
        self._state = leases.LeaseState.NONE
        self._next_list = 0.0
        self._lists = 0

    @property
    def holder(self) -> leases.LeaseHolder:
        """Lease state for reports; only this task changes it."""
        return self._holder

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        if self._holder.lease_id is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STEP_S):
                    await self._kv_client.revoke_lease(self._holder.lease_id)

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            await self._renew(now)
            if now >= self._next_list:
                await self._list(now)
            self._log_state()
            await asyncio.sleep(STEP_S * self._rng.uniform(0.8, 1.2))

    async def _renew(self, now: float) -> None:
        wanted = self._holder.poll(now)
        if isinstance(wanted, leases.Grant):
            await self._grant(wanted)
        elif isinstance(wanted, leases.Renew):
            renewed = await self._kv_client.renew_lease(wanted.lease_id)
            if renewed is True:
                self._holder.renewed(wanted.request_id)
            elif renewed is False:
                self._holder.lost()

    async def _grant(self, wanted: leases.Grant) -> None:
        lease_id = await self._kv_client.grant_lease(LEASE_TTL_S)
        if isinstance(lease_id, client.Unavailable):
            return
        key = keys.entry(self._environment, self._registration.entry_id)
        content = self._registration.model_dump_json().encode()
        put = client.Put(key, content, lease_id)
        if await self._kv_client.write([], [put]) is True:
            self._holder.granted(wanted.request_id, lease_id)

    async def _list(self, now: float) -> None:
        """Reads the registered entries; often at first, then rarely."""
        self._lists += 1
        early = self._lists <= FIRST_LISTS
        interval = FIRST_LIST_INTERVAL_S if early else LIST_INTERVAL_S
        self._next_list = now + interval * self._rng.uniform(0.8, 1.2)
        found = await self._kv_client.read_all(
            keys.entries_prefix(self._environment)
        )
        if isinstance(found, client.Unavailable):
            return
        for stored in found:
            try:
                entry = manifests.Registration.model_validate_json(stored.value)
            except pydantic.ValidationError:
                continue
            if entry.entry_id != self._registration.entry_id:
                self._on_entry(entry)

    def _log_state(self) -> None:
        state = self._holder.state(time.monotonic())
        if state is not self._state:
            self._state = state
            logging.info("registration lease is %s", state.value)
