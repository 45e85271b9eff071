"""Task that keeps this entry registered in the store for the other entries."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import math
import random
import time
from typing import TYPE_CHECKING

from sesamevale import messaging
from sesamevale.platform import decoding
from sesamevale.platform import models
from sesamevale.platform import store_client
from sesamevale.policy.membership import backoff
from sesamevale.policy.membership import own_registration as policy

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamevale import event_log
    from sesamevale import gateway as gateways
    from sesamevale.policy.membership import shared_state

__all__ = ["ReadinessChanged", "RegistrationTask", "StoreRead"]

# Bounds how long callers in other data centres are still sent to an entry
# after it has ended.
LEASE_TTL_MS = 6_000
# Leaves time for several retries before the lease ends.
RENEW_INTERVAL_S = 3.0
# Delays between attempts while the store fails. All entries attempt, and each
# call has its price.
RETRY_INTERVAL_S = 0.5
RETRY_INTERVAL_MAX_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessChanged:
    """The gateway became ready or is ready no more."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """The store was read, by this entry or by another one.

    Attributes:
        contents: What was read.
        read_at: When the read was sent, in monotonic seconds.
    """

    contents: shared_state.StoreContents
    read_at: float


Message = ReadinessChanged | StoreRead


class RegistrationTask(messaging.Actor[Message]):
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
        self._registration = own_registration
        self._key = decoding.REGISTRATION_PREFIX + own_registration.entry_id
        self._gateway = gateway
        self._events = events
        self._policy = policy.OwnRegistration(
            own_registration.incarnation,
            RENEW_INTERVAL_S,
            backoff.Backoff(
                RETRY_INTERVAL_S, RETRY_INTERVAL_MAX_S, random.Random()
            ),
        )

    def receive(self, message: Message) -> None:
        """Implements ``messaging.Actor``."""
        _receive(message, self)

    async def _run(self) -> None:
        self._gateway.on_readiness_changed(
            lambda: self.send(ReadinessChanged())
        )
        self.send(ReadinessChanged())
        while True:
            while self._inbox:
                self.receive(self._inbox.get_nowait())
            step = self._policy.next_step(time.monotonic())
            result = await _run_step(step, self)
            if result is None:
                continue
            with self._logged_changes():
                now = time.monotonic()
                self._policy.record_result(result, now)
                self._policy.record_era(self._client.era, now)

    @contextlib.contextmanager
    def _logged_changes(self) -> Iterator[None]:
        """Logs how the registration has changed when the context ends."""
        was_there, was_taken = self._policy.is_there, self._policy.is_taken
        yield
        if self._policy.is_taken and not was_taken:
            self._events.state("registration_taken", key=self._key)
        elif self._policy.is_there and not was_there:
            self._events.state("registered", key=self._key)
        elif was_there and not self._policy.is_there:
            self._events.state("registration_lost", key=self._key)

    def _encode(self, era: int) -> str:
        return decoding.encode_value(
            self._registration.model_copy(update={"era": era})
        )


@functools.singledispatch
def _receive(message: Message, task: RegistrationTask) -> None:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: ReadinessChanged, task: RegistrationTask) -> None:
    task._policy.set_wanted(task._gateway.is_ready)


@_receive.register
def _(message: StoreRead, task: RegistrationTask) -> None:
    contents = message.contents
    entry_id = task._registration.entry_id
    found = (each for each in contents.peers if each.entry_id == entry_id)
    peer = next(found, None)
    with task._logged_changes():
        task._policy.record_read(
            None if peer is None else peer.record,
            contents.era,
            message.read_at,
            time.monotonic(),
        )


@functools.singledispatch
async def _run_step(
    step: policy.Step, task: RegistrationTask
) -> policy.Result | None:
    """Runs a step; returns the result of its call, if it is one."""
    raise TypeError(f"no handler for {type(step).__name__}")


@_run_step.register
async def _(step: policy.Wait, task: RegistrationTask) -> None:
    timeout_s = None if step.seconds == math.inf else step.seconds
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            task._inbox.put_back(await task._inbox.get())


@_run_step.register
async def _(step: policy.Grant, task: RegistrationTask) -> policy.Result:
    return _result_of(await task._client.grant_lease(LEASE_TTL_MS), task)


@_run_step.register
async def _(step: policy.Write, task: RegistrationTask) -> policy.Result:
    written = await task._client.write(
        task._key, task._encode(step.era), step.lease, step.revision
    )
    return _result_of(written, task)


@_run_step.register
async def _(step: policy.Renew, task: RegistrationTask) -> policy.Result:
    renewed = await task._client.renew_lease(step.lease)
    if isinstance(renewed, models.LeaseGranted):
        return policy.Renewed()
    return _result_of(renewed, task)


@_run_step.register
async def _(step: policy.Revoke, task: RegistrationTask) -> policy.Result:
    await task._client.revoke_lease(step.lease)
    return policy.Revoked()


@functools.singledispatch
def _result_of(answer: object, task: RegistrationTask) -> policy.Result:
    raise TypeError(f"no handler for {type(answer).__name__}")


@_result_of.register
def _(answer: models.LeaseGranted, task: RegistrationTask) -> policy.Result:
    return policy.Granted(answer.lease)


@_result_of.register
def _(answer: models.Written, task: RegistrationTask) -> policy.Result:
    return policy.Written(answer.revision)


@_result_of.register
def _(answer: models.Conflict, task: RegistrationTask) -> policy.Result:
    item = next((each for each in answer.items if each.key == task._key), None)
    if item is None:
        return policy.Conflict(None)
    return policy.Conflict(decoding.decode_record(item))


@_result_of.register
def _(answer: store_client.LeaseLost, task: RegistrationTask) -> policy.Result:
    return policy.LeaseEnded()


@_result_of.register
def _(
    answer: store_client.CallFailure, task: RegistrationTask
) -> policy.Result:
    task._events.state("registration_failed", why=answer.reason)
    return policy.Failed()
