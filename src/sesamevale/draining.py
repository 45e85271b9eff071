"""Shutdown of a gateway entry."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sesamevale.entries import gossip as gossiping

if TYPE_CHECKING:
    from sesamevale import event_log
    from sesamevale.callers import gateway_server
    from sesamevale.forwarding import router as routers
    from sesamevale.policy.admission import drain_schedule

__all__ = ["Drain"]

POLL_INTERVAL_S = 0.05
# Time in which callers are told the outcomes of the requests that are left.
END_TIMEOUT_S = 0.2
END_POLL_INTERVAL_S = 0.01


class Drain:
    """Ends the requests of an entry that callers are no longer sent to.

    Args:
        schedule: Times of the shutdown.
        server: Server for callers.
        router: Router that requests are submitted to.
        gossip: Membership of the data centre, which this entry leaves.
        events: Log of decisions.
    """

    def __init__(
        self,
        schedule: drain_schedule.DrainSchedule,
        server: gateway_server.GatewayServer,
        router: routers.RequestRouter,
        gossip: gossiping.Gossip,
        events: event_log.EventLog,
    ) -> None:
        self._schedule = schedule
        self._server = server
        self._router = router
        self._gossip = gossip
        self._events = events

    async def run(self) -> None:
        """Waits until callers use other entries and no request is left."""
        started = time.monotonic()
        self._gossip.send(gossiping.Leave())
        while time.monotonic() < self._schedule.close_idle_at:
            await self._poll()
        await self._finish_requests()
        # After a pause of the process, timers expire before sockets are read.
        await asyncio.sleep(END_POLL_INTERVAL_S)
        self._gossip.send(gossiping.Depart())
        self._server.stop_accepting()
        await self._finish_connections()
        await self._end(started)

    async def abort(self) -> None:
        """Tells all callers the outcomes of their requests at once."""
        self._gossip.send(gossiping.Depart())
        self._server.stop_accepting()
        await self._end(time.monotonic())

    async def _end(self, started: float) -> None:
        """Ends the requests that are left, and logs how many."""
        requests_left = self._router.active_count
        await self._end_requests()
        self._events.state(
            "drained",
            seconds=round(time.monotonic() - started, 2),
            requests_left=requests_left,
            unanswered=self._router.active_count,
            connections_left=self._server.open_connections,
        )

    async def _finish_requests(self) -> None:
        """Serves requests until none is left or the drain ends."""
        self._server.close_idle()
        while self._router.active_count and not self._is_over:
            await self._poll()
            self._server.close_idle()

    async def _finish_connections(self) -> None:
        """Serves the requests on the connections that were accepted until now.

        Accepted connections are counted, and answers that have arrived are
        handled, within a few steps of the event loop.
        """
        await asyncio.sleep(END_POLL_INTERVAL_S)
        while self._server.open_connections and not self._is_over:
            self._server.close_idle()
            await self._poll()

    async def _end_requests(self) -> None:
        """Tells the callers of the requests that are left their outcomes.

        A request is told again to end if its last attempt was just ending.
        """
        self._router.start_drain(self._schedule.ended())
        self._server.expire_partial_requests()
        until = time.monotonic() + END_TIMEOUT_S
        while self._router.active_count and time.monotonic() < until:
            self._router.end_requests()
            await asyncio.sleep(END_POLL_INTERVAL_S)

    async def _poll(self) -> None:
        left_s = self._schedule.ends_at - time.monotonic()
        await asyncio.sleep(max(0.0, min(POLL_INTERVAL_S, left_s)))

    @property
    def _is_over(self) -> bool:
        return time.monotonic() >= self._schedule.ends_at
