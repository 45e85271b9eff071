"""Task that probes upstreams that have not answered recently."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
from typing import TYPE_CHECKING

import h11

from sesamevale import http1
from sesamevale import messaging
from sesamevale import sockets
from sesamevale.dispatching import dispatcher
from sesamevale.policy.balancing import probing

if TYPE_CHECKING:
    from sesamevale import documents
    from sesamevale import metrics
    from sesamevale.dispatching import router as routers

__all__ = ["Prober"]

CHECK_INTERVAL_S = 0.1
# Time without an answer after which an upstream is probed.
SILENCE_MAX_S = 2.0
PROBE_TIMEOUT_S = 1.0
HEALTHY_STATUS_MAX = 299


@dataclasses.dataclass(slots=True)
class _ProbeSchedule:
    budget: probing.ProbeBudget
    probes_per_second: float
    entries_max: int
    next_index: int = 0


class Prober(messaging.BackgroundTask):
    """Probes the upstreams that this entry owns, within its probe budget.

    Args:
        router: Source of the dispatchers and of the document in force.
        recorder: Records metrics.
    """

    def __init__(
        self, router: routers.CallRouter, recorder: metrics.MetricsRecorder
    ) -> None:
        super().__init__("prober")
        self._router = router
        self._recorder = recorder
        self._schedules: dict[str, _ProbeSchedule] = {}
        self._probes: set[asyncio.Task[None]] = set()

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        for probe in list(self._probes):
            probe.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            environment = self._router.view.environment
            if environment is None:
                continue
            for name, task in self._router.dispatchers.items():
                self._probe_next(name, task, environment.entries_max)

    def _probe_next(
        self, name: str, task: dispatcher.Dispatcher, entries_max: int
    ) -> None:
        """Starts the next probe of a service if one is due."""
        now = time.monotonic()
        service = task.service
        schedule = self._get_schedule(name, service, entries_max, now)
        owned = sorted(task.policy.owned)
        silent = task.policy.pool.without_answer_since(
            owned, now - SILENCE_MAX_S
        )
        if not silent or not schedule.budget.take(now):
            return
        upstream_name = silent[schedule.next_index % len(silent)]
        schedule.next_index += 1
        upstream = task.policy.pool.states[upstream_name].upstream
        probe = asyncio.create_task(self._probe(task, service, upstream))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    def _get_schedule(
        self,
        name: str,
        service: documents.Service,
        entries_max: int,
        now: float,
    ) -> _ProbeSchedule:
        schedule = self._schedules.get(name)
        rate = service.probes_per_second
        if (
            schedule is None
            or schedule.probes_per_second != rate
            or schedule.entries_max != entries_max
        ):
            budget = probing.ProbeBudget(rate, entries_max, now)
            schedule = _ProbeSchedule(budget, rate, entries_max)
            self._schedules[name] = schedule
        return schedule

    async def _probe(
        self,
        task: dispatcher.Dispatcher,
        service: documents.Service,
        upstream: documents.Upstream,
    ) -> None:
        self._recorder.count("probes")
        started = time.monotonic()
        ended = dispatcher.ProbeEnded(upstream.name, False, False)
        with contextlib.suppress(TimeoutError, h11.RemoteProtocolError):
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                ended = await _send_probe(service, upstream)
        duration_us = int((time.monotonic() - started) * 1e6)
        self._recorder.count("probe_microseconds", duration_us)
        task.send(ended)


async def _send_probe(
    service: documents.Service, upstream: documents.Upstream
) -> dispatcher.ProbeEnded:
    """Sends one probe and reads its answer."""
    failed = dispatcher.ProbeEnded(upstream.name, False, False)
    stream = await sockets.connect(
        upstream.host, upstream.port, PROBE_TIMEOUT_S
    )
    if stream is None:
        return failed
    http = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method="GET",
        target=service.probe_path,
        headers=[("Host", f"{upstream.host}:{upstream.port}")],
    )
    try:
        data = http.send(request) or b""
        stream.write(data + (http.send(h11.EndOfMessage()) or b""))
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.read())
            elif isinstance(event, h11.Response):
                healthy = event.status_code <= HEALTHY_STATUS_MAX
                leaving = http1.get_header(
                    tuple(event.headers), service.drain_header
                )
                return dispatcher.ProbeEnded(
                    upstream.name, healthy, leaving is not None
                )
            else:
                return failed
    finally:
        stream.abort()
