"""Limits that upstreams name, kept by several entries as processes."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from tests.soak import callers
from tests.soak import fleet as fleets
from tests.standins import signal_log

ENTRIES = 3
UPSTREAMS = 6
LIMITED = 4
PER_SECOND = 2.0
CALLERS = 8


class LimitedFleet:
    """A fleet under load in which some upstreams name a limit."""

    def __init__(self, folder):
        self.fleet = fleets.Fleet(
            1, folder, entries=ENTRIES, upstreams=UPSTREAMS
        )
        self.callers = callers.Callers(
            self.fleet, random.Random(2), random.Random(3), random.Random(4)
        )
        self._done = asyncio.Event()

    async def __aenter__(self):
        await self.fleet.__aenter__()
        self._load = asyncio.gather(
            *(self.callers.call(self._done) for _ in range(CALLERS))
        )
        await asyncio.wait_for(self._wait_served(), 20)
        return self

    async def __aexit__(self, *exc_info):
        self._done.set()
        await self._load
        await self.fleet.__aexit__(*exc_info)

    async def _wait_served(self):
        while not all(each.serving for each in self.fleet.entries):
            await asyncio.sleep(0.05)

    def statuses_since(self, since):
        """Returns the statuses of the requests that ended after a time."""
        return [
            each.status
            for each in self.callers.exchanges
            if since <= each.ended < float("inf")
        ]


# Upstreams got several times the requests of the limit that they had named.
@pytest.mark.parametrize("limited", [LIMITED, UPSTREAMS], ids=["some", "all"])
def test_all_entries_together_keep_the_limit_of_an_upstream(tmp_path, limited):
    async def scenario():
        async with LimitedFleet(tmp_path) as under_load:
            chosen = under_load.fleet.upstreams[:limited]
            for each in chosen:
                each.signals.name_limit(PER_SECOND)
            began = time.monotonic()
            await asyncio.sleep(
                signal_log.CONTACT_S + signal_log.LIMIT_WINDOW_S + 2.0
            )
            for each in chosen:
                assert not list(each.signals.limit_violations())
            statuses = under_load.statuses_since(began + signal_log.CONTACT_S)
            served = statuses.count(200)
            assert (
                served >= 0.5 * limited * PER_SECOND * signal_log.LIMIT_WINDOW_S
            )
            # Some work of the stand-ins lasts longer than the time-out (504).
            assert set(statuses) <= {200, 404, 503, 504}
            if limited < UPSTREAMS:
                assert served >= 0.9 * len(statuses)

    asyncio.run(scenario())
