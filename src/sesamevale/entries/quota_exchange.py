"""Task that gives out permits and shares quotas with the other entries."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import itertools
import math
from typing import Self
from typing import TYPE_CHECKING

from sesamevale import messaging
from sesamevale.entries import quota_codec
from sesamevale.forwarding import messages
from sesamevale.forwarding import permits
from sesamevale.policy.admission import quota_allocator
from sesamevale.policy.admission import quota_types as types
from sesamevale.policy.configuration import credentials

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from sesamevale import metrics
    from sesamevale import resources
    from sesamevale import routes

__all__ = ["Message", "QuotaExchange", "SetConfiguration"]


@dataclasses.dataclass(frozen=True, slots=True)
class SetConfiguration:
    """Sets the configuration in force."""

    configuration: routes.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    """Event: a datagram has arrived."""

    data: bytes
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Tick:
    """Event: a question has not been answered in time."""


Message = (
    SetConfiguration
    | messages.SetRegisteredEntries
    | permits.Message
    | _Received
    | _Tick
)


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, deliver: Callable[[_Received], None]) -> None:
        self._deliver = deliver

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._deliver(_Received(data, addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignores errors of earlier datagrams; questions time out anyway."""


class QuotaExchange(messaging.Actor[Message]):
    """Owns the use of the quotas at this entry, and a socket to the others.

    Args:
        entry_id: Identifier of this entry.
        data_center: Data centre of this entry.
        host: IP address to send from.
        port: UDP port for other entries.
        port_offset: Distance of that port from the one that entries register.
        bounds: Bounds of quotas; None if the deployment has none. Then no
            socket is opened.
        rng: Source of randomness.
        recorder: Records metrics.
    """

    def __init__(
        self,
        entry_id: str,
        data_center: str,
        host: str,
        port: int,
        port_offset: int,
        bounds: resources.QuotaBounds | None,
        rng: random.Random,
        recorder: metrics.MetricsRecorder,
    ) -> None:
        super().__init__("quotas")
        self._host = host
        self._port = port
        self._port_offset = port_offset
        self._bounds = bounds
        self._recorder = recorder
        self._allocator = quota_allocator.QuotaAllocator(
            entry_id, data_center, bounds, rng
        )
        self._credentials = credentials.Credentials(None)
        self._tickets = itertools.count(1)
        self._replies: dict[int, Callable[[types.Verdict], None]] = {}
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    @property
    def allocator(self) -> quota_allocator.QuotaAllocator:
        """Use of the quotas; read-only outside this task."""
        return self._allocator

    async def __aenter__(self) -> Self:
        if self._bounds is not None:
            self._transport, _ = await self._loop.create_datagram_endpoint(
                lambda: _DatagramReceiver(self.send),
                local_addr=(self._host, self._port),
            )
        return await super().__aenter__()

    async def __aexit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await super().__aexit__(*exc_info)
        if self._transport is not None:
            self._transport.close()

    def receive(self, message: Message) -> None:
        """Implements ``messaging.Actor``."""
        for effect in _receive(message, self):
            _perform(effect, self)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        due_at = self._allocator.next_tick_at
        if due_at == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_at = due_at
        if due_at < math.inf:
            self._timer = self._loop.call_at(due_at, self.send, _Tick())


@functools.singledispatch
def _receive(message: Message, task: QuotaExchange) -> list[types.Effect]:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: SetConfiguration, task: QuotaExchange) -> list[types.Effect]:
    task._credentials = credentials.Credentials(message.configuration)
    return task._allocator.set_tenants(
        message.configuration.tenants, task._loop.time()
    )


@_receive.register
def _(
    message: messages.SetRegisteredEntries, task: QuotaExchange
) -> list[types.Effect]:
    peers = [
        dataclasses.replace(
            each, entry_port=each.entry_port + task._port_offset
        )
        for each in message.peers
    ]
    task._allocator.set_members(peers, message.read_at, task._loop.time())
    return []


@_receive.register
def _(message: permits.AskAdmission, task: QuotaExchange) -> list[types.Effect]:
    verdict: types.Verdict = types.KeyWithdrawn()
    if task._credentials.still_allows(message.key_digest):
        verdict = task._allocator.admit(message.tenant, task._loop.time())
    task._recorder.count(_counter_name(verdict))
    message.reply(verdict)
    return []


@_receive.register
def _(message: permits.Dismiss, task: QuotaExchange) -> list[types.Effect]:
    task._allocator.dismiss(message.tenant)
    return []


@_receive.register
def _(message: permits.AskPermit, task: QuotaExchange) -> list[types.Effect]:
    if not task._credentials.still_allows(message.key_digest):
        task._recorder.count(_counter_name(types.KeyWithdrawn()))
        message.reply(types.KeyWithdrawn())
        return []
    ticket = next(task._tickets)
    task._replies[ticket] = message.reply
    return task._allocator.request(ticket, message.tenant, task._loop.time())


@_receive.register
def _(message: permits.ReturnPermit, task: QuotaExchange) -> list[types.Effect]:
    task._recorder.count("permits_returned")
    task._allocator.give_back(message.tenant, message.until, task._loop.time())
    return []


@_receive.register
def _(message: _Received, task: QuotaExchange) -> list[types.Effect]:
    task._recorder.count("quota_datagrams_received")
    decoded = quota_codec.decode(message.data)
    if decoded is None:
        task._recorder.count("quota_datagrams_malformed")
        return []
    return task._allocator.receive(
        decoded, message.host, message.port, task._loop.time()
    )


@_receive.register
def _(message: _Tick, task: QuotaExchange) -> list[types.Effect]:
    # A timer may expire slightly early.
    task._timer_at = math.inf
    return task._allocator.tick(task._loop.time())


@functools.singledispatch
def _perform(effect: types.Effect, task: QuotaExchange) -> None:
    raise TypeError(f"no handler for {type(effect).__name__}")


@_perform.register
def _(effect: types.Decided, task: QuotaExchange) -> None:
    task._recorder.count(_counter_name(effect.verdict))
    task._replies.pop(effect.ticket)(effect.verdict)


@_perform.register
def _(effect: types.Transmit, task: QuotaExchange) -> None:
    data = quota_codec.encode(effect.message)
    task._recorder.count("quota_datagrams_sent")
    task._recorder.count("quota_bytes_sent", len(data))
    if task._transport is not None:
        task._transport.sendto(data, (effect.host, effect.port))


@functools.singledispatch
def _counter_name(verdict: types.Verdict) -> str:
    raise TypeError(f"no counter for {type(verdict).__name__}")


@_counter_name.register
def _(verdict: types.Admitted) -> str:
    return "tenants_admitted"


@_counter_name.register
def _(verdict: types.KeyWithdrawn) -> str:
    return "permits_key_withdrawn"


@_counter_name.register
def _(verdict: types.Granted) -> str:
    return "permits_granted" if verdict.is_own else "permits_borrowed"


@_counter_name.register
def _(verdict: types.OverQuota) -> str:
    return "permits_over_quota"


@_counter_name.register
def _(verdict: types.Unreachable) -> str:
    return "permits_unreachable"
