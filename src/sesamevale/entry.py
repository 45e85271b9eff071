"""Creates the tasks of one entry and connects them."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time
from typing import Self
from typing import TYPE_CHECKING

from absl import logging

from sesamevale import calls
from sesamevale import document_models
from sesamevale import incarnations
from sesamevale import metrics
from sesamevale import metrics_page
from sesamevale import outcomes
from sesamevale import span_export
from sesamevale import tracing
from sesamevale.callers import caller_server
from sesamevale.dispatching import at_most_once
from sesamevale.dispatching import coordinator
from sesamevale.dispatching import router as routers
from sesamevale.entries import gossip
from sesamevale.entries import issuer_relay
from sesamevale.entries import peer_documents
from sesamevale.entries import relay_client
from sesamevale.entries import relay_server
from sesamevale.etcd import client
from sesamevale.etcd import document_task
from sesamevale.etcd import keys
from sesamevale.etcd import manifests
from sesamevale.etcd import registration
from sesamevale.etcd import store
from sesamevale.etcd import vm_list
from sesamevale.etcd import watching
from sesamevale.operators import admin_server
from sesamevale.operators import document_files
from sesamevale.operators import status
from sesamevale.policy.configuration import document_follower
from sesamevale.policy.membership import membership
from sesamevale.policy.membership import membership_types
from sesamevale.policy.register import register
from sesamevale.upstreams import prober

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from sesamevale import documents
    from sesamevale import settings as checked_settings
    from sesamevale.dispatching import exchanges

__all__ = ["Entry"]

ANNOUNCE_INTERVAL_S = 0.2
DRAIN_POLL_INTERVAL_S = 0.05
DEPART_LINGER_S = 0.3
# Time for the outcomes of the calls that are left to reach their receivers.
END_CALLS_TIMEOUT_S = 0.2
END_CALLS_POLL_INTERVAL_S = 0.01
MEBIBYTE = 1024 * 1024


class Entry:
    """One entry of the fleet; serves calls while its context is open.

    Args:
        settings: Settings of this entry.
    """

    def __init__(self, settings: checked_settings.Settings) -> None:
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._rng = random.Random()
        self._recorder = metrics.MetricsRecorder()
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._issuer_relays: dict[int, calls.Call] = {}
        own = membership_types.Member(
            settings.entry_id,
            incarnations.new(self._rng),
            0,
            membership_types.Status.JOINING,
            settings.data_center,
            settings.callers.host,
            settings.callers.port,
            settings.peers_listen.port,
        )
        self._router: routers.CallRouter
        self._register: at_most_once.RegisterTask
        self._gossip: gossip.Gossip
        self._documents: document_task.DocumentTask
        self._coordinator: coordinator.Coordinator
        self._callers: caller_server.CallerServer
        self._own = own

    @property
    def recorder(self) -> metrics.MetricsRecorder:
        """Metrics of this entry."""
        return self._recorder

    @property
    def router(self) -> routers.CallRouter:
        """Router that calls are submitted to."""
        return self._router

    async def __aenter__(self) -> Self:
        try:
            await self._open()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in list(self._background_tasks):
            task.cancel()
        await self._stack.aclose()

    async def drain(self) -> None:
        """Leaves the directory and waits for the calls in flight.

        New calls are served until the directory answers that callers have
        cached expire, but for half of the drain time at most; each answer has
        ``Connection: close``. Later calls are served only if their deadline
        is before the end of the drain, and refused otherwise. Then the other
        entries are notified that this one departs; calls that they have
        already relayed are still served, and calls that go on after their
        caller has left are finished. Calls that are left shortly before the
        end of the drain time of the settings get their outcome: "not run" if
        they were not sent to an upstream or another entry, else "unknown".
        """
        end_time_s = DEPART_LINGER_S + END_CALLS_TIMEOUT_S
        drain_s = max(0.0, self._settings.drain_seconds - end_time_s)
        end_at = time.monotonic() + drain_s
        await self._finish_callers(end_at)
        self._gossip.send(gossip.Depart())
        await asyncio.sleep(DEPART_LINGER_S)
        while self._has_calls() and time.monotonic() < end_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.end_calls()

    async def end_calls(self) -> None:
        """Refuses new calls and tells the outcome of those that are left."""
        self._router.refuse_after(-math.inf)
        self._coordinator.send(coordinator.EndCalls())
        stopping = outcomes.Unknown(outcomes.Reason.STOPPING)
        for call in self._issuer_relays.values():
            call.answer.put(calls.AnswerFailed(stopping))
        deadline = time.monotonic() + END_CALLS_TIMEOUT_S
        while self._has_calls() and time.monotonic() < deadline:
            await asyncio.sleep(END_CALLS_POLL_INTERVAL_S)

    def _has_calls(self) -> bool:
        """Whether a call has not ended, even if its caller has left."""
        return bool(
            self._router.active
            or self._register.running
            or self._coordinator.active
        )

    async def _finish_callers(self, deadline: float) -> None:
        """Serves callers until all have disconnected or the deadline passes."""
        started = time.monotonic()
        self._gossip.send(gossip.Leave())
        environment = self._router.view.environment
        lifetime_s = 0.0
        if environment is not None:
            lifetime_s = environment.directory_lifetime_ms / 1000
        stop_accepting_at = min(deadline, started + lifetime_s)
        refuse_at = min(stop_accepting_at, (started + deadline) / 2)
        while time.monotonic() < refuse_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self._router.refuse_after(deadline)
        while time.monotonic() < stop_accepting_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self._callers.stop_accepting()
        while time.monotonic() < deadline:
            self._callers.close_idle()
            if not self._has_calls() and not self._callers.open_connections:
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _open(self) -> None:
        await self._open_register()
        await self._open_coordinator()
        await self._open_gossip()
        await self._open_documents()
        await self._open_servers()
        self._start(self._announce_forever())

    async def _open_register(self) -> None:
        settings = self._settings
        action_register = register.Register(
            window_s=600,
            actions_max=settings.register_actions,
            bytes_max=settings.register_mebibytes * MEBIBYTE,
        )
        task = at_most_once.RegisterTask(
            action_register, lambda call: self._router.dispatch(call)
        )
        self._register = await self._stack.enter_async_context(task)
        view = routers.ClusterView(self._own, None, {}, (), {})
        self._router = routers.CallRouter(
            view, self._register, self._relay_to_issuer
        )
        self._callers = caller_server.CallerServer(
            settings.callers.host,
            settings.callers.port,
            self._router,
            self._register,
            self._recorder,
            document_models.default_limits(),
        )
        self._recorder.add_source(
            lambda: status.metric_samples(self._router, self._register)
        )

    async def _open_coordinator(self) -> None:
        task = coordinator.Coordinator(
            self._router, self._open_relay, self._on_document_in_force
        )
        self._coordinator = await self._stack.enter_async_context(task)

    async def _open_gossip(self) -> None:
        settings = self._settings
        view = membership.Membership(
            self._own, settings.environment, membership.Timing(), self._rng
        )
        for seed in settings.seeds:
            view.seed(seed.host, seed.port)
        task = gossip.Gossip(
            view,
            settings.peers_listen.host,
            settings.peers_listen.port,
            self._on_members_changed,
            self._on_gossip_received,
            self._recorder,
        )
        self._gossip = await self._stack.enter_async_context(task)

    async def _open_documents(self) -> None:
        settings = self._settings
        follower = document_follower.DocumentFollower(settings.environment)
        kv_client = None
        documents_store = None
        if settings.platform:
            endpoint = settings.platform[0]
            address = client.Address(endpoint.host, endpoint.port)
            kv_client = await self._stack.enter_async_context(
                client.KeyValueClient(address, self._count_platform_call)
            )
            documents_store = store.DocumentStore(
                kv_client, settings.environment
            )
        self._documents = await self._stack.enter_async_context(
            document_task.DocumentTask(
                follower,
                documents_store,
                self._fetch_peer_document,
                self._apply_document,
                self._recorder,
                self._rng,
            )
        )
        if kv_client is None:
            self._apply_document_file()
            return
        await self._open_platform(kv_client, address)

    async def _open_platform(
        self, kv_client: client.KeyValueClient, address: client.Address
    ) -> None:
        settings = self._settings
        vms = vm_list.VmList(
            lambda addresses: self._coordinator.send(
                coordinator.VmsLeaving(addresses)
            )
        )
        handlers = {
            keys.manifest(
                settings.environment
            ): self._documents.on_watch_message,
            settings.vm_prefix: vms.on_watch_message,
        }
        for prefix, on_message in handlers.items():
            await self._stack.enter_async_context(
                watching.Watch(
                    kv_client,
                    address,
                    prefix,
                    on_message,
                    self._count_platform_call,
                    self._rng,
                )
            )
        own = manifests.Registration(
            entry_id=settings.entry_id,
            host=settings.peers_listen.host,
            peer_port=settings.peers_listen.port,
            admin_host=settings.admin.host,
            admin_port=settings.admin.port,
        )
        await self._stack.enter_async_context(
            registration.RegistrationTask(
                kv_client,
                settings.environment,
                own,
                self._on_entry_registered,
                self._rng,
            )
        )

    def _apply_document_file(self) -> None:
        """Puts a document file in force, for a trial without a platform."""
        path = self._settings.document
        logging.warning(
            "no platform is set; loading the document from %s", path
        )
        loaded = document_files.load(path)
        if isinstance(loaded, list):
            raise document_files.DocumentError(loaded)
        manifest, contents = document_files.as_manifest(
            loaded, self._settings.environment
        )
        source = document_follower.Source.FILE
        self._documents.send(document_task.ManifestSeen(manifest, source))
        self._documents.send(document_task.PartsReceived(contents, source))

    async def _open_servers(self) -> None:
        settings = self._settings
        await self._stack.enter_async_context(
            relay_server.RelayServer(
                settings.peers_listen.host,
                settings.peers_listen.port,
                self._router,
                self._register,
                self._make_document_answer,
                self._recorder,
            )
        )
        await self._stack.enter_async_context(self._callers)
        await self._stack.enter_async_context(
            prober.Prober(self._router, self._recorder)
        )
        await self._stack.enter_async_context(
            admin_server.AdminServer(
                settings.admin.host,
                settings.admin.port,
                {
                    "/healthz": self._health_page,
                    "/metrics": self._metrics_page,
                    "/status": self._status_page,
                },
            )
        )

    def _health_page(self, query: str) -> admin_server.Page:
        ready = self._router.view.environment is not None
        if ready and not self._router.view.draining:
            return admin_server.Page(200, "text/plain", b"ok\n")
        return admin_server.Page(503, "text/plain", b"not ready\n")

    def _metrics_page(self, query: str) -> admin_server.Page:
        content_type = "text/plain; version=0.0.4; charset=utf-8"
        body = metrics_page.render(self._recorder)
        return admin_server.Page(200, content_type, body)

    def _status_page(self, query: str) -> admin_server.Page:
        body = status.render(
            self._router,
            self._gossip,
            self._register,
            self._documents.follower.revision,
            self._recorder,
        )
        return admin_server.Page(200, "application/json", body)

    def _on_members_changed(self) -> None:
        view = self._gossip.view
        self._coordinator.send(
            coordinator.MembersChanged(view.own, view.members)
        )

    def _on_gossip_received(self) -> None:
        own_revision = self._documents.follower.revision
        for entry_id, revision in self._gossip.view.revisions.items():
            if revision > own_revision:
                announced = document_task.PeerRevisionAnnounced(
                    entry_id, revision
                )
                self._documents.send(announced)
        loads = self._gossip.view.take_reports()
        if loads:
            self._coordinator.send(coordinator.PeerLoadsReported(loads))

    def _on_entry_registered(self, entry: manifests.Registration) -> None:
        member = self._gossip.view.members.get(entry.entry_id)
        if member is None:
            self._gossip.send(gossip.Seed(entry.host, entry.peer_port))

    def _apply_document(self, environment: documents.Environment) -> None:
        self._coordinator.send(coordinator.DocumentInForce(environment))

    def _on_document_in_force(self, environment: documents.Environment) -> None:
        self._callers.set_limits(environment.limits)
        window_s = max(1, environment.identity_window_ms // 1000)
        self._register.action_register.set_window(window_s)
        self._gossip.send(gossip.Join())

    async def _fetch_peer_document(
        self, entry_id: str, revision: int, known: frozenset[str]
    ) -> document_task.PeerDocument | None:
        member = self._gossip.view.members.get(entry_id)
        if member is None:
            return None
        return await peer_documents.fetch_document(member, revision, known)

    def _make_document_answer(
        self, revision: int, known: frozenset[str]
    ) -> peer_documents.DocumentAnswer:
        return peer_documents.make_answer(
            self._documents.follower, revision, known
        )

    def _open_relay(self, entry_id: str) -> exchanges.Link | None:
        member = self._gossip.view.members.get(entry_id)
        if member is None:
            return None
        return relay_client.RelayConnection(member, self._report_unreachable)

    def _relay_to_issuer(self, call: calls.Call, entry_id: str) -> None:
        member = self._gossip.view.members.get(entry_id)
        environment = self._router.view.environment
        assert environment is not None
        service = environment.services.get(call.service)
        if member is None or service is None:
            gone = outcomes.Unknown(outcomes.Reason.ISSUER_GONE)
            call.answer.put(calls.AnswerFailed(gone))
            return
        self._issuer_relays[call.call_id] = call
        task = self._start(
            issuer_relay.relay(call, service, member, self._report_unreachable)
        )
        task.add_done_callback(
            lambda _: self._issuer_relays.pop(call.call_id, None)
        )

    def _report_unreachable(self, entry_id: str) -> None:
        self._gossip.send(gossip.Unreachable(entry_id))

    def _count_platform_call(self, path: str, size: int) -> None:
        self._recorder.count("platform_bytes", size)
        if path:
            self._recorder.count("platform_calls")
            self._recorder.count("platform_calls" + path.replace("/", "_"))

    async def _announce_forever(self) -> None:
        """Sends the gossip task what to announce, at a fixed interval."""
        while True:
            revision = self._documents.follower.revision
            loads = self._multi_home_loads()
            self._gossip.send(gossip.Announce(revision, loads))
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _multi_home_loads(self) -> tuple[membership_types.ServiceLoad, ...]:
        """Returns the loads of services whose upstreams several entries own."""
        now = time.monotonic()
        return tuple(
            membership_types.ServiceLoad(name, task.policy.load(now))
            for name, task in self._router.dispatchers.items()
            if task.service.homes > 1 and task.policy.owned
        )

    def _start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task


def configure_tracing(settings: checked_settings.Settings) -> None:
    """Configures tracing from the settings."""
    if settings.trace_export == "none":
        return
    backend = span_export.OpenTelemetryBackend(
        settings.entry_id, span_export.console_exporter()
    )
    tracing.configure(settings.trace_sample, backend)
