"""Task that owns the gossip socket and the membership view."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import math
from typing import Self
from typing import TYPE_CHECKING

from absl import logging

from sesamevale import messaging
from sesamevale.entries import codec
from sesamevale.entries import rumor_codec
from sesamevale.policy.membership import membership
from sesamevale.policy.membership import membership_types

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import metrics
    from sesamevale.policy.admission import suspects

__all__ = [
    "Announce",
    "Depart",
    "Gossip",
    "Join",
    "Leave",
    "Message",
    "Seed",
    "Spread",
    "Unreachable",
]

# Two ticks are at least this far apart.
TICK_INTERVAL_MIN_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Command: announce a document revision and loads."""

    revision: int
    loads: tuple[membership_types.ServiceLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Command: announce that this entry can serve calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Command: announce that this entry is draining."""


@dataclasses.dataclass(frozen=True, slots=True)
class Depart:
    """Command: announce that this entry has drained and is about to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """Command: ping an address where another entry may listen."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """Event: an entry did not accept a connection."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Command: pass suspicions on to some entries.

    Attributes:
        suspicions: The suspicions.
        addresses: Hosts and UDP ports of the entries.
    """

    suspicions: tuple[suspects.Suspicion, ...]
    addresses: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    """Event: a datagram has arrived."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Tick:
    """Event: the protocol's timer has expired."""


Message = (
    Announce
    | Join
    | Leave
    | Depart
    | Seed
    | Spread
    | Unreachable
    | _Received
    | _Tick
)


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, deliver: Callable[[bytes], None]) -> None:
        self._deliver = deliver

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._deliver(data)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors of earlier datagrams; pings time out anyway."""


class Gossip(messaging.Actor[Message]):
    """Exchanges membership updates with the other entries.

    Args:
        view: The membership view; only this task changes it.
        host: IP address to send from.
        port: UDP port; the same as the TCP port for other entries.
        on_change: Called after each change of a member's state.
        on_news: Called after each message, which may carry a new revision or
            new loads.
        book: Records metrics.
        on_suspicions: Called with suspicions that another entry passes on.
    """

    def __init__(
        self,
        view: membership.Membership,
        host: str,
        port: int,
        on_change: Callable[[], None],
        on_news: Callable[[], None],
        book: metrics.MetricsRecorder,
        on_suspicions: Callable[[tuple[suspects.Suspicion, ...]], None]
        | None = None,
    ) -> None:
        super().__init__("gossip")
        self._on_suspicions = on_suspicions
        self._view = view
        self._host = host
        self._port = port
        self._on_change = on_change
        self._on_news = on_news
        self._recorder = book
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = -math.inf
        self._notified_version = -1
        self._logged_statuses: dict[str, membership_types.Status] = {}

    @property
    def view(self) -> membership.Membership:
        """The membership view; read-only outside this task."""
        return self._view

    async def __aenter__(self) -> Self:
        self._transport, _ = await self._loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(lambda data: self.send(_Received(data))),
            local_addr=(self._host, self._port),
        )
        self.send(_Tick())
        return await super().__aenter__()

    async def __aexit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await super().__aexit__(*exc_info)
        if self._transport is not None:
            self._transport.close()

    def receive(self, message: Message) -> None:
        """Implements ``messaging.Actor``."""
        self._transmit(_receive(message, self))
        self._schedule_tick()
        if self._view.version != self._notified_version:
            self._notified_version = self._view.version
            self._log_changes()
            self._on_change()

    def _schedule_tick(self) -> None:
        """Sets the timer to the time of the next tick if that has changed."""
        next_at = self._view.next_tick_at
        if next_at == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = next_at
        earliest_at = self._loop.time() + TICK_INTERVAL_MIN_S
        self._timer = self._loop.call_at(
            max(next_at, earliest_at), self.send, _Tick()
        )

    def _transmit(self, sends: list[membership_types.Send]) -> None:
        for send in sends:
            data = codec.encode_datagram(send.message)
            self._send_datagram(data, (send.host, send.port))

    def _send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        self._recorder.count("gossip_datagrams_sent")
        self._recorder.count("gossip_bytes_sent", len(data))
        if self._transport is not None:
            self._transport.sendto(data, address)

    def _log_changes(self) -> None:
        for entry_id, member in self._view.members.items():
            if self._logged_statuses.get(entry_id) is not member.status:
                self._logged_statuses[entry_id] = member.status
                logging.info("entry %s is %s", entry_id, member.status.name)


@functools.singledispatch
def _receive(message: Message, task: Gossip) -> list[membership_types.Send]:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: Announce, task: Gossip) -> list[membership_types.Send]:
    task._view.set_revision(message.revision)
    task._view.set_loads(message.loads)
    return []


@_receive.register
def _(message: Join, task: Gossip) -> list[membership_types.Send]:
    return task._view.join()


@_receive.register
def _(message: Leave, task: Gossip) -> list[membership_types.Send]:
    return task._view.leave()


@_receive.register
def _(message: Depart, task: Gossip) -> list[membership_types.Send]:
    return task._view.depart()


@_receive.register
def _(message: Seed, task: Gossip) -> list[membership_types.Send]:
    task._view.seed(message.host, message.port)
    return []


@_receive.register
def _(message: Spread, task: Gossip) -> list[membership_types.Send]:
    rumor = rumor_codec.Rumor(task._view.environment, message.suspicions)
    data = codec.encode_rumor(rumor_codec.encode(rumor, task._loop.time()))
    for each in message.addresses:
        task._send_datagram(data, each)
    return []


@_receive.register
def _(message: Unreachable, task: Gossip) -> list[membership_types.Send]:
    return task._view.unreachable(message.entry_id, task._loop.time())


@_receive.register
def _(message: _Received, task: Gossip) -> list[membership_types.Send]:
    task._recorder.count("gossip_datagrams_received")
    task._recorder.count("gossip_bytes_received", len(message.data))
    decoded = codec.decode_datagram(message.data)
    if isinstance(decoded, bytes):
        heard = rumor_codec.decode(
            decoded, task._view.environment, task._loop.time()
        )
        if heard and task._on_suspicions is not None:
            task._on_suspicions(heard)
        return []
    if decoded is None:
        task._recorder.count("gossip_datagrams_malformed")
        return []
    sends = task._view.receive(decoded, task._loop.time())
    task._on_news()
    return sends


@_receive.register
def _(message: _Tick, task: Gossip) -> list[membership_types.Send]:
    # A timer may expire slightly early, and the same time is due again then.
    task._timer_at = -math.inf
    return task._view.tick(task._loop.time())
