"""Task that probes upstreams which have not answered for a while."""

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
from sesamevale.policy import probing

if TYPE_CHECKING:
    from sesamevale import documents
    from sesamevale import metrics
    from sesamevale.dispatching import router as routers

__all__ = ["Prober"]

STEP_S = 0.1
SILENCE_S = 2.0
PROBE_TIMEOUT_S = 1.0
HEALTHY_STATUS_MAX = 299


@dataclasses.dataclass(slots=True)
class _Plan:
    budget: probing.ProbeBudget
    probes_per_second: float
    entries_max: int
    next_index: int = 0


class Prober(messaging.BackgroundTask):
    """Probes the upstreams that this entry owns, within its share.

    Args:
        router: Gives the dispatchers and the document in force.
        recorder: Measurements.
    """

    def __init__(
        self, router: routers.CallRouter, recorder: metrics.MetricsRecorder
    ) -> None:
        super().__init__("prober")
        self._router = router
        self._recorder = recorder
        self._plans: dict[str, _Plan] = {}
        self._probes: set[asyncio.Task[None]] = set()

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        for probe in list(self._probes):
            probe.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            environment = self._router.view.environment
            if environment is None:
                continue
            for name, task in self._router.dispatchers.items():
                self._step(name, task, environment.entries_max)

    def _step(
        self, name: str, task: dispatcher.Dispatcher, entries_max: int
    ) -> None:
        """Starts the probe of one service that is due, if any."""
        now = time.monotonic()
        service = task.service
        plan = self._plan(name, service, entries_max, now)
        owned = sorted(task.policy.owned)
        silent = task.policy.pool.without_answer_since(owned, now - SILENCE_S)
        if not silent or not plan.budget.take(now):
            return
        upstream_name = silent[plan.next_index % len(silent)]
        plan.next_index += 1
        upstream = task.policy.pool.states[upstream_name].upstream
        probe = asyncio.create_task(self._probe(task, service, upstream))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    def _plan(
        self,
        name: str,
        service: documents.Service,
        entries_max: int,
        now: float,
    ) -> _Plan:
        plan = self._plans.get(name)
        rate = service.probes_per_second
        if (
            plan is None
            or plan.probes_per_second != rate
            or plan.entries_max != entries_max
        ):
            budget = probing.ProbeBudget(rate, entries_max, now)
            plan = _Plan(budget, rate, entries_max)
            self._plans[name] = plan
        return plan

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
                ended = await _ask(service, upstream)
        spent_us = int((time.monotonic() - started) * 1e6)
        self._recorder.count("probe_microseconds", spent_us)
        task.send(ended)


async def _ask(
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
