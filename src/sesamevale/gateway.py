"""Entry that forwards requests according to the operator's configuration."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import random
import time
from typing import Self
from typing import TYPE_CHECKING

from sesamevale import draining
from sesamevale import gateway_events
from sesamevale import gateway_messages
from sesamevale import gateway_parts
from sesamevale import memory_room
from sesamevale import messaging
from sesamevale import metrics
from sesamevale.callers import gateway_server
from sesamevale.entries import gossip
from sesamevale.entries import quota_exchange
from sesamevale.entries import suspicion_exchange
from sesamevale.forwarding import messages
from sesamevale.forwarding import router as routers
from sesamevale.forwarding import task_building
from sesamevale.operators import admin_server
from sesamevale.operators import gateway_pages
from sesamevale.policy.admission import drain_schedule
from sesamevale.policy.admission import memory_limits
from sesamevale.policy.configuration import active_configuration
from sesamevale.policy.membership import entry_count
from sesamevale.policy.membership import evacuations
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.signals import discovered_upstreams

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import event_log
    from sesamevale import http1
    from sesamevale import routes

__all__ = ["Gateway"]


class Gateway(messaging.Actor[gateway_messages.Message]):
    """Runs one entry while its context is open.

    Args:
        settings: Checked settings.
        dialect: Header fields of callers and upstreams.
        events: Log of decisions.
        recorder: Records metrics.
    """

    def __init__(
        self,
        settings: gateway_messages.GatewaySettings,
        dialect: http1.Dialect,
        events: event_log.EventLog,
        recorder: metrics.MetricsRecorder,
    ) -> None:
        super().__init__("gateway")
        self._settings = settings
        self._dialect = dialect
        self._events = events
        self._recorder = recorder
        self._rng = random.Random()
        self._stack = contextlib.AsyncExitStack()
        self._readiness_callbacks: list[Callable[[], None]] = []
        self._router = routers.RequestRouter(
            dialect, settings.config_bound_s, settings.key_lifetime_s
        )
        self._active_configuration = active_configuration.ActiveConfiguration()
        self._upstreams = discovered_upstreams.DiscoveredUpstreams()
        self._evacuations = evacuations.Evacuations()
        self._peers = registered_peers.RegisteredPeers(
            settings.entry_id, settings.data_center
        )
        self._is_registration_old = False
        self._own_member = gateway_parts.new_member(settings, self._rng)
        self._room = memory_room.MemoryRoom(
            memory_limits.MemoryLimits.plan(settings.machine)
        )
        self._server = gateway_server.GatewayServer(
            settings.callers.host,
            settings.callers.port,
            self._router,
            settings.entry_id,
            events,
            recorder,
            self._room,
        )
        self._gossip = gateway_parts.new_gossip(
            settings,
            self._own_member,
            self._rng,
            lambda: self.send(gateway_messages.MembersChanged()),
            recorder,
            lambda heard: self._suspicions.hear(heard),
        )
        self._suspicions = suspicion_exchange.SuspicionExchange(
            self._gossip, self._peers, self._router, self._rng
        )
        self._quotas = gateway_parts.new_quotas(settings, self._rng, recorder)
        self._pages = gateway_pages.GatewayPages(
            settings.entry_id,
            self._router,
            self._active_configuration,
            self._upstreams,
            self._evacuations,
            events,
            recorder,
            self._room.account,
            self._quotas.allocator,
        )

    @property
    def is_ready(self) -> bool:
        """Whether this entry is ready for callers."""
        return self._router.view.is_ready

    @property
    def entry_id(self) -> str:
        """Identifier of this entry."""
        return self._settings.entry_id

    @property
    def incarnation(self) -> int:
        """Incarnation number of this process."""
        return self._own_member.incarnation

    @property
    def data_center_entries(self) -> dict[str, tuple[str, int]]:
        """Peer addresses of the other live entries of this data centre."""
        return {
            each.entry_id: (each.host, each.peer_port)
            for each in self._gossip.view.usable
            if each.entry_id != self._settings.entry_id
        }

    def on_readiness_changed(self, callback: Callable[[], None]) -> None:
        """Adds a callback for each change of ``is_ready``."""
        self._readiness_callbacks.append(callback)

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self._gossip)
        await self._stack.enter_async_context(self._suspicions)
        await self._stack.enter_async_context(self._quotas)
        await self._stack.enter_async_context(self._server)
        await self._stack.enter_async_context(
            admin_server.AdminServer(
                self._settings.callers.host,
                self._settings.metrics_port,
                self._pages.handlers,
            )
        )
        return await super().__aenter__()

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        await self._stack.aclose()
        for task in self._router.tasks.values():
            await task.__aexit__(*exc_info)

    def receive(self, message: gateway_messages.Message) -> None:
        """Implements ``messaging.Actor``."""
        _receive(message, self)

    def directory_addresses(self, data_center: str) -> list[str]:
        """Returns the addresses for callers in a data centre."""
        return self._router.view.addresses_for(data_center)

    async def drain(self) -> None:
        """Leaves the directory and waits until callers use other entries."""
        schedule = gateway_parts.plan_drain(self._settings)
        self.send(gateway_messages.Stopping(schedule))
        await self._new_drain(schedule).run()

    async def abort(self) -> None:
        """Tells callers their outcomes, since an error stops the process.

        The task of the gateway may have ended, so it is not asked to stop.
        """
        self._update_view(stopping=True)
        await self._new_drain(gateway_parts.plan_drain(self._settings)).abort()

    def _new_drain(
        self, schedule: drain_schedule.DrainSchedule
    ) -> draining.Drain:
        return draining.Drain(
            schedule, self._server, self._router, self._gossip, self._events
        )

    def _update_view(self, **changes: object) -> None:
        """Replaces fields of the view that the router serves requests from."""
        view = dataclasses.replace(self._router.view, **changes)  # type: ignore[arg-type]
        was_ready = self._router.view.is_ready
        self._router.set_view(view)
        if view.is_ready == was_ready:
            return
        if view.is_ready:
            self._gossip.send(gossip.Join())
            self._events.state(
                "ready", config=self._active_configuration.version
            )
        for callback in self._readiness_callbacks:
            callback()

    def _apply_services(self, configuration: routes.Configuration) -> None:
        """Starts a task for each new service and updates the existing ones."""
        tasks = self._router.tasks
        for name, service in configuration.services.items():
            existing = tasks.get(name)
            if existing is not None:
                existing.send(messages.SetService(service))
                continue
            task = task_building.build_task(
                service,
                self._settings,
                self._dialect,
                self._events,
                self._recorder,
                self._rng,
                lambda upstream_id: self.send(
                    gateway_messages.UpstreamIdMismatch(upstream_id)
                ),
                self._suspicions.find,
                self._quotas.send,
            )
            task.start()
            self._router.add_task(name, task)
        self._apply_upstreams()
        self._apply_entry_count()
        self._apply_registered_entries()

    def _apply_upstreams(self) -> None:
        for name, task in self._router.tasks.items():
            records = self._evacuations.select_usable(
                self._upstreams.usable(name)
            )
            task.send(messages.SetUpstreams(records))

    def _apply_entry_count(self) -> None:
        count = entry_count.sharing(
            len(self._gossip.view.reachable),
            len(self._peers.other_data_centers),
            self._is_registration_old or not self._peers.is_registered,
        )
        for task in self._router.tasks.values():
            task.send(messages.SetEntryCount(count))

    def _apply_registered_entries(self) -> None:
        read_at = self._peers.last_read
        if read_at is None:
            return
        registered = messages.SetRegisteredEntries(
            self._peers.registered, read_at
        )
        self._quotas.send(registered)
        for task in self._router.tasks.values():
            task.send(registered)

    def _update_members(self) -> None:
        """Updates the entries that callers may be sent to."""
        alive = map(registered_peers.Peer.of, self._gossip.view.usable)
        members = (*alive, *self._peers.other_data_centers)
        self._apply_entry_count()
        if members == self._router.view.members:
            return
        self._update_view(members=members)
        self._events.state(
            "members", usable=sorted(each.entry_id for each in members)
        )


@functools.singledispatch
def _receive(message: gateway_messages.Message, gateway: Gateway) -> None:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: gateway_messages.ConfigurationRead, gateway: Gateway) -> None:
    found = message.configuration
    previous = gateway._active_configuration.version
    changed = gateway._active_configuration.offer(found, message.read_at)
    if found.version < previous:
        gateway._events.state(
            "config_refused", version=found.version, in_force=previous
        )
        return
    gateway._update_view(
        configuration=gateway._active_configuration.current,
        confirmed_at=message.read_at,
    )
    if changed:
        gateway_events.log_configuration(
            gateway._events, found.version, previous, message.read_at
        )
        gateway._quotas.send(quota_exchange.SetConfiguration(found))
        gateway._apply_services(found)


@_receive.register
def _(message: gateway_messages.UpstreamsRead, gateway: Gateway) -> None:
    changes = gateway._upstreams.record_read(
        message.upstreams, message.read_at, message.grace_until, message.era
    )
    gateway._apply_upstreams()
    if gateway._router.view.upstreams_loaded:
        gateway_events.log_changes(gateway._events, changes)
        return
    gateway_events.log_upstreams_known(
        gateway._events, len(changes), message.read_at
    )
    gateway._update_view(upstreams_loaded=True)


@_receive.register
def _(message: gateway_messages.EvacuationsRead, gateway: Gateway) -> None:
    # The upstreams of the same read follow and are applied with it.
    found, read_at = message.data_centers, message.read_at
    changes = gateway._evacuations.record_read(found, read_at)
    gateway_events.log_changes(gateway._events, changes)


@_receive.register
def _(message: gateway_messages.PeersRead, gateway: Gateway) -> None:
    gateway._peers.record_read(
        message.peers, message.read_at, message.grace_until, message.era
    )
    for peer in gateway._peers.same_data_center:
        gateway._gossip.send(gossip.Seed(peer.host, peer.entry_port))
    gateway._apply_registered_entries()
    gateway._update_members()


@_receive.register
def _(
    message: gateway_messages.StoreReachabilityChanged, gateway: Gateway
) -> None:
    gateway._events.state(
        "store_lost" if message.unreachable else "store_back",
        why=message.reason,
    )


@_receive.register
def _(message: gateway_messages.GraceEnded, gateway: Gateway) -> None:
    gateway_events.log_changes(
        gateway._events, gateway._upstreams.drop_missing(time.monotonic())
    )
    gateway._peers.drop_missing()
    gateway._apply_upstreams()
    gateway._apply_registered_entries()
    gateway._update_members()


@_receive.register
def _(message: gateway_messages.StoreViewChanged, gateway: Gateway) -> None:
    gateway._is_registration_old = message.view.registration_doubtful
    gateway._apply_entry_count()
    gateway_events.log_store_view(gateway._events, message.view)


@_receive.register
def _(message: gateway_messages.MembersChanged, gateway: Gateway) -> None:
    gateway._update_members()


@_receive.register
def _(message: gateway_messages.UpstreamIdMismatch, gateway: Gateway) -> None:
    gateway_events.log_changes(
        gateway._events, gateway._upstreams.fence(message.upstream_id)
    )
    gateway._apply_upstreams()


@_receive.register
def _(message: gateway_messages.Stopping, gateway: Gateway) -> None:
    gateway._events.state("stopping", active=gateway._router.active_count)
    gateway._router.start_drain(message.schedule)
    gateway._update_view(stopping=True)
