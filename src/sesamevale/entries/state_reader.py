"""Task that keeps an entry's copy of the store's contents up to date."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import time
from typing import Protocol
from typing import Self
from typing import TYPE_CHECKING

from sesamevale import gateway as gateways
from sesamevale import gateway_messages
from sesamevale import messaging
from sesamevale.entries import state_exchange
from sesamevale.operators import admin_server
from sesamevale.policy.membership import read_scheduling
from sesamevale.policy.membership import shared_state
from sesamevale.policy.membership import store_view

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import metrics

__all__ = ["StateReader", "StoreReader", "StoreUnavailable"]

# Interval between reads before the first configuration. It grows with each
# failed read up to the maximum.
RETRY_INTERVAL_S = 0.25
RETRY_INTERVAL_MAX_S = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store could not be read.

    Attributes:
        reason: Cause of the failure.
        answered: Whether the store answered that it is away.
    """

    reason: str
    answered: bool = False


class StoreReader(Protocol):
    """Reads the store."""

    async def read(self) -> shared_state.StoreContents | StoreUnavailable:
        """Reads the complete contents; the result is never stale."""


class StateReader(messaging.BackgroundTask):
    """Reads the store, or fetches what another entry read, for the gateway.

    Args:
        store_reader: Reads the store.
        gateway: Receives the contents of the store.
        timing: Bound on the age of the contents; sets the intervals.
        epoch: Number that identifies this process; other entries fetch the
            complete contents again if it changes.
        host: IP address for other entries.
        port: TCP port for other entries.
        recorder: Records metrics.
        seeds: Addresses of entries to fetch the contents from if the store
            cannot be read at the start.
    """

    def __init__(
        self,
        store_reader: StoreReader,
        gateway: gateways.Gateway,
        timing: read_scheduling.ReadTiming,
        epoch: int,
        host: str,
        port: int,
        recorder: metrics.MetricsRecorder,
        seeds: tuple[tuple[str, int], ...] = (),
    ) -> None:
        super().__init__("state-reader")
        self._seeds = seeds
        self._store_reader = store_reader
        self._gateway = gateway
        self._timing = timing
        self._recorder = recorder
        self._state = shared_state.SharedState(epoch)
        self._mirrors: dict[str, shared_state.Mirror] = {}
        self._last_fetch_at = float("-inf")
        self._failures = 0
        self._has_configuration = False
        self._store_unreachable = False
        self._view = store_view.StoreView()
        self._reported_view = self._view.summary(0.0)
        self._evacuated: frozenset[str] = frozenset()
        self._grace_timer: asyncio.TimerHandle | None = None
        self._listeners: list[
            Callable[[shared_state.StoreContents, float], None]
        ] = []
        handler = state_exchange.make_handler(self._state, time.monotonic)
        self._server = admin_server.AdminServer(
            host, port, {state_exchange.PATH: handler}
        )

    @property
    def port(self) -> int:
        """TCP port for other entries."""
        return self._server.port

    def on_read(
        self, listener: Callable[[shared_state.StoreContents, float], None]
    ) -> None:
        """Adds a listener for what is read and when the read was sent."""
        self._listeners.append(listener)

    async def __aenter__(self) -> Self:
        await self._server.__aenter__()
        return await super().__aenter__()

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        if self._grace_timer is not None:
            self._grace_timer.cancel()
        await self._server.__aexit__(*exc_info)

    async def _run(self) -> None:
        while True:
            await _run_step(self._next_step(), self)

    def _next_step(self) -> read_scheduling.Step:
        now = time.monotonic()
        peers = self._gateway.data_center_entries
        read_at = self._state.read_at
        age_s = float("inf") if read_at is None else now - read_at
        if not self._has_configuration:
            age_s = float("inf")
        return read_scheduling.next_step(
            self._gateway.entry_id,
            frozenset(peers),
            age_s,
            now - self._last_fetch_at,
            self._timing,
        )

    async def _read(self) -> None:
        started_at = time.monotonic()
        found = await self._store_reader.read()
        if isinstance(found, StoreUnavailable):
            self._failures += 1
            self._view.record_failure(
                time.monotonic() if found.answered else started_at
            )
            self._report_view()
            self._report_reachability(True, found.reason)
            if not self._has_configuration:
                await self._fetch_from_seeds()
            await asyncio.sleep(self._retry_delay_s())
            return
        self._failures = 0
        self._report_reachability(False, "a read succeeded")
        self._recorder.count("state_reads")
        self._publish(found, started_at)
        if not self._has_configuration:
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _retry_delay_s(self) -> float:
        """Returns the delay after a failed read, in seconds."""
        if not self._has_configuration:
            return min(RETRY_INTERVAL_S * self._failures, RETRY_INTERVAL_MAX_S)
        return read_scheduling.retry_delay_s(
            self._gateway.entry_id,
            frozenset(self._gateway.data_center_entries),
            self._failures,
            self._timing,
        )

    async def _fetch_from_seeds(self) -> None:
        """Publishes the newest contents that any of the seeds holds."""
        fetched_at = time.monotonic()
        fetches = [_fetch_full_state(*address) for address in self._seeds]
        found = [each for each in await asyncio.gather(*fetches) if each]
        if found:
            age_s, contents = min(found, key=lambda each: each[0])
            self._recorder.count("state_from_seeds")
            self._publish(contents, fetched_at - age_s)

    async def _fetch_from_peer(self, entry_id: str) -> None:
        self._last_fetch_at = time.monotonic()
        address = self._gateway.data_center_entries.get(entry_id)
        if address is None:
            return
        mirror = self._mirrors.setdefault(entry_id, shared_state.Mirror())
        update = await state_exchange.fetch_update(*address, mirror)
        if update is None:
            self._recorder.count("state_asks_failed")
            return
        contents = mirror.apply(update)
        if contents is None:
            self._mirrors.pop(entry_id)
            self._recorder.count("state_asks_out_of_step")
            return
        self._recorder.count("state_asks")
        self._publish(contents, self._last_fetch_at - update.age_s)

    def _publish(
        self, contents: shared_state.StoreContents, read_at: float
    ) -> None:
        if not self._state.is_newer(contents, read_at):
            return
        self._update_view(contents, read_at)
        grace_until = self._view.grace_until
        if time.monotonic() >= grace_until:
            # The message of the end of the grace goes ahead of this one.
            grace_until = float("-inf")
        elif read_at < grace_until:
            # The operator's order may be in what the store lost.
            contents = dataclasses.replace(
                contents, evacuated=contents.evacuated | self._evacuated
            )
        self._evacuated = contents.evacuated
        self._state.record_read(contents, read_at)
        gateway = self._gateway
        # Upstreams come after it, so that none is used before it is known to
        # be evacuated.
        gateway.send(
            gateway_messages.EvacuationsRead(contents.evacuated, read_at)
        )
        gateway.send(
            gateway_messages.UpstreamsRead(
                contents.upstreams, read_at, grace_until, contents.era
            )
        )
        if contents.configuration is not None:
            self._has_configuration = True
            gateway.send(
                gateway_messages.ConfigurationRead(
                    contents.configuration, read_at
                )
            )
        gateway.send(
            gateway_messages.PeersRead(
                contents.peers, read_at, grace_until, contents.era
            )
        )
        for listener in self._listeners:
            listener(contents, read_at)

    def _update_view(
        self, contents: shared_state.StoreContents, read_at: float
    ) -> None:
        """Records a read in the view and sets the timer for a new grace."""
        before = self._view.grace_until
        self._view.record_read(
            read_at,
            contents.era,
            {
                each.upstream_id: store_view.Origin(
                    each.started_ms, each.created
                )
                for each in contents.upstreams
            },
        )
        self._report_view()
        if self._view.grace_until == before:
            return
        if self._view.grace_until > before:
            self._recorder.count("store_absences")
        if self._grace_timer is not None:
            self._grace_timer.cancel()
        self._grace_timer = asyncio.get_running_loop().call_later(
            max(0.0, self._view.grace_until - time.monotonic()), self._end_grace
        )

    def _end_grace(self) -> None:
        self._gateway.send(gateway_messages.GraceEnded())
        self._report_view()

    def _report_view(self) -> None:
        view = self._view.summary(time.monotonic())
        known = self._reported_view
        if view != known:
            self._reported_view = view
            self._recorder.count("store_eras", view.era != known.era)
            self._gateway.send(gateway_messages.StoreViewChanged(view))

    def _report_reachability(self, unreachable: bool, reason: str) -> None:
        if unreachable != self._store_unreachable:
            self._store_unreachable = unreachable
            self._gateway.send(
                gateway_messages.StoreReachabilityChanged(unreachable, reason)
            )


async def _fetch_full_state(
    host: str, port: int
) -> tuple[float, shared_state.StoreContents] | None:
    """Fetches the age in seconds and the contents of another entry's state."""
    mirror = shared_state.Mirror()
    update = await state_exchange.fetch_update(host, port, mirror)
    contents = None if update is None else mirror.apply(update)
    if update is None or contents is None:
        return None
    return update.age_s, contents


@functools.singledispatch
async def _run_step(step: read_scheduling.Step, task: StateReader) -> None:
    raise TypeError(f"no handler for {type(step).__name__}")


@_run_step.register
async def _(step: read_scheduling.Read, task: StateReader) -> None:
    await task._read()


@_run_step.register
async def _(step: read_scheduling.Ask, task: StateReader) -> None:
    await task._fetch_from_peer(step.entry_id)


@_run_step.register
async def _(step: read_scheduling.Wait, task: StateReader) -> None:
    await asyncio.sleep(step.seconds)
