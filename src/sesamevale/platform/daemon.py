"""Daemon that runs one gateway entry on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import signal
import sys
from typing import TYPE_CHECKING

from sesamevale import event_log
from sesamevale import gateway as gateways
from sesamevale import metrics
from sesamevale.entries import state_reader
from sesamevale.operators import admin_server
from sesamevale.platform import header_fields
from sesamevale.platform import models
from sesamevale.platform import pages
from sesamevale.platform import registration
from sesamevale.platform import settings as deployment_settings
from sesamevale.platform import store_client
from sesamevale.platform import store_reader
from sesamevale.policy.membership import read_scheduling

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["main"]

EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3
CHECK_FLAG = "--check"
GC_THRESHOLD_OBJECTS = 50_000


async def _serve(
    deployment: deployment_settings.DeploymentSettings,
    events: event_log.EventLog,
) -> int:
    """Runs an entry until SIGTERM or SIGINT; returns the exit code."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    broken = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(events))
    loop.set_exception_handler(_exception_handler(events, stop, broken))
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 20)
    try:
        async with contextlib.AsyncExitStack() as stack:
            gateway = await _start_entry(stack, deployment, events)
            events.state("started", callers=str(deployment.callers))
            await stop.wait()
            if broken.is_set():
                await gateway.abort()
            else:
                await gateway.drain()
    except OSError as error:
        events.state("start_failed", why=str(error))
        return EXIT_START_FAILED
    events.state("stopped", broken=broken.is_set())
    return int(broken.is_set())


def _exception_handler(
    events: event_log.EventLog, stop: asyncio.Event, broken: asyncio.Event
) -> Callable[[asyncio.AbstractEventLoop, dict[str, object]], None]:
    """Returns a handler that stops the process on a broken invariant."""

    def handle(
        loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        events.state(
            "unexpected_error",
            message=context.get("message"),
            exception=repr(context.get("exception")),
        )
        if context.get("message") == "broken invariant":
            broken.set()
            stop.set()

    return handle


async def _start_entry(
    stack: contextlib.AsyncExitStack,
    deployment: deployment_settings.DeploymentSettings,
    events: event_log.EventLog,
) -> gateways.Gateway:
    """Starts the tasks and servers of one entry."""
    recorder = metrics.MetricsRecorder()
    settings = deployment.gateway_settings()
    gateway = gateways.Gateway(
        settings, header_fields.DIALECT, events, recorder
    )
    await stack.enter_async_context(gateway)
    handlers = pages.PageHandlers(gateway, deployment.directory_lifetime_s)
    for endpoint, path, handler in (
        (deployment.readiness, "/api/readiness", handlers.readiness),
        (deployment.directory, "/api/resolve", handlers.resolve),
    ):
        server = admin_server.AdminServer(
            endpoint.host, endpoint.port, {path: handler}
        )
        await stack.enter_async_context(server)
    client = store_client.StoreClient(deployment.store.address, recorder)
    await stack.enter_async_context(client)
    reader = state_reader.StateReader(
        store_reader.PlatformStoreReader(client, events),
        gateway,
        read_scheduling.ReadTiming(deployment.propagation_bound_s),
        gateway.incarnation,
        deployment.host,
        deployment.entry_ports[0],
        recorder,
        deployment.seeds,
    )
    await stack.enter_async_context(reader)
    own_registration = models.Registration(
        entry_id=deployment.entry_id,
        data_center=deployment.data_center,
        host=deployment.host,
        caller_port=deployment.callers.port,
        entry_port=deployment.entry_ports[0],
        incarnation=gateway.incarnation,
    )
    task = registration.RegistrationTask(
        client, own_registration, gateway, events
    )
    await stack.enter_async_context(task)
    reader.on_read(
        lambda contents, read_at: task.send(
            registration.StoreRead(contents, read_at)
        )
    )
    return gateway


def _reload(events: event_log.EventLog) -> None:
    """Validates changed settings; they take effect at the next start."""
    try:
        deployment_settings.load()
    except deployment_settings.SettingsError as error:
        events.state("reload_refused", why=str(error))
        return
    events.state("reloaded")


def main() -> None:
    """Runs one entry with the settings file that the environment names.

    With the argument ``--check`` it only validates the settings.
    """
    try:
        deployment = deployment_settings.load()
        deployment.gateway_settings()
    except deployment_settings.SettingsError as error:
        print(f"sesamevale: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if CHECK_FLAG in sys.argv[1:]:
        print("the settings are valid")
        return
    events = event_log.configure(deployment.entry_id)
    sys.exit(asyncio.run(_serve(deployment, events)))
