"""Ticks of the gossip task over a real event loop."""

from __future__ import annotations

import asyncio
import time

from sesamevale import metrics
from sesamevale.entries import gossip
from tests.builders import loopback

RUN_S = 0.3


class DueView:
    """Stands in for the membership; it is due at a fixed time."""

    def __init__(self, next_tick_at):
        self.next_tick_at = next_tick_at
        self.version = 0
        self.members = {}
        self.tick_count = 0

    def tick(self, now):
        self.tick_count += 1
        return []


def run_for(view):
    async def scenario():
        (port,) = loopback.free_ports(1)
        task = gossip.Gossip(
            view,
            "127.0.0.1",
            port,
            lambda: None,
            lambda: None,
            metrics.MetricsRecorder(),
        )
        async with task:
            await asyncio.sleep(RUN_S)

    asyncio.run(scenario())


def test_a_membership_that_is_not_due_is_left_alone():
    view = DueView(time.monotonic() + 60.0)
    run_for(view)
    assert view.tick_count == 1


def test_a_time_that_stays_due_is_tried_again_without_spinning():
    """A timer that expired early would otherwise have been the last one."""
    view = DueView(0.0)
    run_for(view)
    most = RUN_S / gossip.TICK_INTERVAL_MIN_S
    assert 3 <= view.tick_count <= most + 2
