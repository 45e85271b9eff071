"""Task that combines members and documents into the view of the cluster.

It starts and stops the dispatchers and sends the homes to each of them.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
from typing import TYPE_CHECKING

from sesamevale import messaging
from sesamevale.dispatching import dispatcher
from sesamevale.dispatching import router as routers
from sesamevale.policy.balancing import homes
from sesamevale.policy.calls import dispatch
from sesamevale.policy.membership import membership_types

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import documents
    from sesamevale.dispatching import exchanges

__all__ = [
    "Coordinator",
    "DocumentInForce",
    "EndCalls",
    "MembersChanged",
    "Message",
    "PeerLoadsReported",
    "VmsLeaving",
]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """Event that the membership has changed.

    Attributes:
        own: This entry.
        members: All known members by identifier.
    """

    own: membership_types.Member
    members: dict[str, membership_types.Member]


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentInForce:
    """Event that a document has come into force."""

    environment: documents.Environment


@dataclasses.dataclass(frozen=True, slots=True)
class VmsLeaving:
    """Event that carries the VMs that the platform marks as leaving.

    Attributes:
        addresses: Each a host, or a host and a port as ``host:port``.
    """

    addresses: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoadsReported:
    """Event that carries the loads reported by other entries.

    Attributes:
        loads: Loads of each entry's services by entry identifier.
    """

    loads: dict[str, tuple[membership_types.ServiceLoad, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class EndCalls:
    """Command to end the calls at all dispatchers, since this entry stops."""


Message = (
    MembersChanged | DocumentInForce | VmsLeaving | PeerLoadsReported | EndCalls
)


class Coordinator(messaging.Actor[Message]):
    """Keeps the router's view and the dispatchers up to date.

    Args:
        router: Router that receives each new view.
        open_relay: Returns a connection to another entry.
        on_environment: Called with each document after it is in force.
    """

    def __init__(
        self,
        router: routers.CallRouter,
        open_relay: Callable[[str], exchanges.Link | None],
        on_environment: Callable[[documents.Environment], None],
    ) -> None:
        super().__init__("coordinator")
        self._router = router
        self._open_relay = open_relay
        self._on_environment = on_environment
        self._leaving: frozenset[str] = frozenset()
        self._stopping: dict[asyncio.Task[None], dispatcher.Dispatcher] = {}
        self._homes_sent = False
        own = router.view.own
        self._members: dict[str, membership_types.Member] = {own.entry_id: own}

    @property
    def active(self) -> int:
        """Calls at the dispatchers, whether or not a caller waits for them."""
        return sum(each.policy.active for each in self._all_dispatchers())

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        for task in list(self._router.dispatchers.values()):
            await task.__aexit__(None, None, None)

    def receive(self, message: Message) -> None:
        """Implements ``messaging.Actor``."""
        _receive(message, self)

    def _update_view(
        self,
        own: membership_types.Member,
        members: dict[str, membership_types.Member],
        environment: documents.Environment | None,
    ) -> None:
        """Computes and publishes the view and the homes."""
        usable = tuple(
            member
            for _, member in sorted(members.items())
            if member.status is membership_types.Status.ALIVE
        )
        live_incarnations = {
            name: member.incarnation
            for name, member in members.items()
            if member.status is not membership_types.Status.DEAD
        }
        home_maps: dict[str, homes.HomeMap] = {}
        if environment is not None:
            candidates = [
                homes.Candidate(member.entry_id, member.data_center)
                for member in usable
            ]
            home_maps = homes.assign(environment.services.values(), candidates)
        old = self._router.view
        view = routers.ClusterView(
            own=own,
            environment=environment,
            home_maps=home_maps,
            usable=usable,
            live_incarnations=live_incarnations,
            draining=own.status >= membership_types.Status.LEAVING,
            revision=old.revision + 1,
        )
        self._router.set_view(view)
        for name, task in self._router.dispatchers.items():
            new_map = home_maps.get(name)
            if new_map != old.home_maps.get(name) or not self._homes_sent:
                task.send(dispatcher.SetHomes(new_map))

    def _update_services(self, environment: documents.Environment) -> None:
        """Starts, updates and stops dispatchers for a document."""
        running = self._router.dispatchers
        for name, service in environment.services.items():
            task = running.get(name)
            if task is None:
                running[name] = self._start(service)
            elif task.service != service:
                task.send(dispatcher.SetService(service))
        for name in running.keys() - environment.services.keys():
            self._stop_when_idle(running.pop(name))

    def _start(self, service: documents.Service) -> dispatcher.Dispatcher:
        now = asyncio.get_running_loop().time()
        own = self._router.view.own.entry_id
        policy = dispatch.DispatchPolicy(service, own, now)
        task = dispatcher.Dispatcher(service, policy, self._open_relay)
        task.start()
        return task

    def _stop_when_idle(self, task: dispatcher.Dispatcher) -> None:
        """Stops the dispatcher of a removed service after its last call."""

        async def wait_and_stop() -> None:
            while task.policy.active:
                await asyncio.sleep(0.1)
            await task.__aexit__(None, None, None)

        stopping = asyncio.create_task(wait_and_stop())
        self._stopping[stopping] = task
        stopping.add_done_callback(self._stopping.pop)

    def _all_dispatchers(self) -> list[dispatcher.Dispatcher]:
        """Returns the dispatchers, also those of removed services."""
        return [*self._router.dispatchers.values(), *self._stopping.values()]

    def _send_leaving_upstreams(self) -> None:
        for task in self._router.dispatchers.values():
            names = frozenset(
                upstream.name
                for upstream in task.service.upstreams
                if upstream.host in self._leaving
                or f"{upstream.host}:{upstream.port}" in self._leaving
            )
            task.send(dispatcher.SetLeavingUpstreams(names))


@functools.singledispatch
def _receive(message: Message, task: Coordinator) -> None:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: MembersChanged, task: Coordinator) -> None:
    environment = task._router.view.environment
    task._members = message.members
    task._update_view(message.own, message.members, environment)


@_receive.register
def _(message: DocumentInForce, task: Coordinator) -> None:
    view = task._router.view
    task._update_services(message.environment)
    task._homes_sent = False
    task._update_view(view.own, task._members, message.environment)
    task._homes_sent = True
    task._send_leaving_upstreams()
    task._on_environment(message.environment)


@_receive.register
def _(message: VmsLeaving, task: Coordinator) -> None:
    if message.addresses != task._leaving:
        task._leaving = message.addresses
        task._send_leaving_upstreams()


@_receive.register
def _(message: EndCalls, task: Coordinator) -> None:
    for each in task._all_dispatchers():
        each.send(dispatcher.EndCalls())


@_receive.register
def _(message: PeerLoadsReported, task: Coordinator) -> None:
    for entry_id, loads in message.loads.items():
        for each in loads:
            running = task._router.dispatchers.get(each.service)
            if running is not None:
                report = dispatcher.PeerLoadReported(entry_id, each.load)
                running.send(report)
