"""Task that registers this entry in the key-value service under a lease."""

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
from sesamevale.policy.membership import leases

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RegistrationTask"]

LEASE_TTL_S = 10
POLL_INTERVAL_S = 0.5
LIST_INTERVAL_S = 30.0
INITIAL_LIST_INTERVAL_S = 1.0
INITIAL_LISTS = 5


class RegistrationTask(messaging.BackgroundTask):
    """Keeps a registration alive and reports the registered entries.

    Args:
        kv_client: Client of the key-value service.
        environment: Name of the environment.
        registration: Registration of this entry.
        on_entry: Called with the registration of each other entry.
        rng: Source of randomness for delays.
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
        self._next_list_at = 0.0
        self._list_count = 0

    @property
    def holder(self) -> leases.LeaseHolder:
        """The lease state, for status reports; only this task modifies it."""
        return self._holder

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        if self._holder.lease_id is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._kv_client.revoke_lease(self._holder.lease_id)

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            await self._maintain_lease(now)
            if now >= self._next_list_at:
                await self._list_entries(now)
            self._log_state()
            await asyncio.sleep(POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def _maintain_lease(self, now: float) -> None:
        request = self._holder.poll(now)
        if isinstance(request, leases.Grant):
            await self._grant(request)
        elif isinstance(request, leases.Renew):
            renewed = await self._kv_client.renew_lease(request.lease_id)
            if renewed is True:
                self._holder.renewed(request.request_id)
            elif renewed is False:
                self._holder.lost()

    async def _grant(self, request: leases.Grant) -> None:
        lease_id = await self._kv_client.grant_lease(LEASE_TTL_S)
        if isinstance(lease_id, client.Unavailable):
            return
        key = keys.entry(self._environment, self._registration.entry_id)
        content = self._registration.model_dump_json().encode()
        put = client.Put(key, content, lease_id)
        if await self._kv_client.write([], [put]) is True:
            self._holder.granted(request.request_id, lease_id)

    async def _list_entries(self, now: float) -> None:
        """Reads the registered entries; at short intervals after the start."""
        self._list_count += 1
        is_initial = self._list_count <= INITIAL_LISTS
        interval = INITIAL_LIST_INTERVAL_S if is_initial else LIST_INTERVAL_S
        self._next_list_at = now + interval * self._rng.uniform(0.8, 1.2)
        found = await self._kv_client.read_all(
            keys.entries_prefix(self._environment)
        )
        if isinstance(found, client.Unavailable):
            return
        for record in found:
            try:
                entry = manifests.Registration.model_validate_json(record.value)
            except pydantic.ValidationError:
                continue
            if entry.entry_id != self._registration.entry_id:
                self._on_entry(entry)

    def _log_state(self) -> None:
        state = self._holder.state(time.monotonic())
        if state is not self._state:
            self._state = state
            logging.info("registration lease is %s", state.value)
