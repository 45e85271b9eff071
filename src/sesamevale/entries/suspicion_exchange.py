"""Task that tells other entries of suspicions, and the services of theirs."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import time
from typing import TYPE_CHECKING

from sesamevale import messaging
from sesamevale.entries import gossip as gossiping
from sesamevale.forwarding import messages
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.membership import rumors

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from sesamevale.forwarding import router as routers
    from sesamevale.policy.admission import suspects

__all__ = ["Found", "Heard", "Message", "SuspicionExchange"]

# Shortest interval between two messages, in seconds.
MESSAGE_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """Event: a service of this entry has found something."""

    suspicions: tuple[suspects.Suspicion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """Event: another entry has passed something on."""

    suspicions: tuple[suspects.Suspicion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Flush:
    """Event: the interval between two messages is over."""


Message = Found | Heard | _Flush


class SuspicionExchange(messaging.Actor[Message]):
    """Owns what this entry has heard of requests that crash upstreams.

    Args:
        gossip: Task that sends the messages and knows this data centre.
        peers: Registered entries, of which those of other data centres count.
        router: Holds the tasks of the services.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        gossip: gossiping.Gossip,
        peers: registered_peers.RegisteredPeers,
        router: routers.RequestRouter,
        rng: random.Random,
    ) -> None:
        super().__init__("suspicions")
        self._gossip = gossip
        self._peers = peers
        self._router = router
        self._rumors = rumors.Rumors(rng)
        self._timer: asyncio.TimerHandle | None = None

    async def __aexit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await super().__aexit__(*exc_info)

    def find(self, suspicions: tuple[suspects.Suspicion, ...]) -> None:
        """Takes what a service of this entry has found."""
        self.send(Found(suspicions))

    def hear(self, suspicions: tuple[suspects.Suspicion, ...]) -> None:
        """Takes what another entry has passed on."""
        self.send(Heard(suspicions))

    def receive(self, message: Message) -> None:
        """Implements ``messaging.Actor``."""
        _receive(message, self)

    def _add(
        self, found: Iterable[suspects.Suspicion], *, is_own: bool
    ) -> list[suspects.Suspicion]:
        """Returns what is new; it is passed on soon."""
        fresh = self._rumors.add(found, is_own=is_own)
        if fresh and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                MESSAGE_INTERVAL_S, self.send, _Flush()
            )
        return fresh

    def _tell_services(self, fresh: list[suspects.Suspicion]) -> None:
        """Tells all services, since routes may divide requests among them."""
        if fresh:
            heard = messages.SuspicionsHeard(tuple(fresh))
            for each in self._router.tasks.values():
                each.send(heard)

    def _near(self) -> list[registered_peers.Peer]:
        """Returns the other live entries of this data centre."""
        view = self._gossip.view
        return [
            registered_peers.Peer(
                each.entry_id,
                each.data_center,
                each.host,
                each.caller_port,
                each.peer_port,
            )
            for each in view.reachable.values()
            if each.entry_id != view.own.entry_id
        ]


@functools.singledispatch
def _receive(message: Message, task: SuspicionExchange) -> None:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: Found, task: SuspicionExchange) -> None:
    task._tell_services(task._add(message.suspicions, is_own=True))


@_receive.register
def _(message: Heard, task: SuspicionExchange) -> None:
    task._tell_services(task._add(message.suspicions, is_own=False))


@_receive.register
def _(message: _Flush, task: SuspicionExchange) -> None:
    task._timer = None
    targets = task._rumors.choose_targets(
        task._near(), task._peers.other_data_centers
    )
    rows = task._rumors.take_message(time.monotonic())
    task._gossip.send(
        gossiping.Spread(
            rows, tuple((each.host, each.entry_port) for each in targets)
        )
    )
    if task._rumors.has_news:
        task._timer = asyncio.get_running_loop().call_later(
            MESSAGE_INTERVAL_S, task.send, _Flush()
        )
