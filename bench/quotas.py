"""Ways of sharing tenants' quotas among entries, in simulated time.

The tenants differ in size as 1 / rank ** 1.2. The table shows for each load the
fullest window as the excess over the bound (negative: room left), the part of
what is owed that was let through, and the messages of each request.

Run: ``python -m bench.quotas``.
"""

from __future__ import annotations

import argparse
import random
import sys

from tests.builders import quotas
from tests.standins import quota_fleet

ENTRIES = (5, 58, 112, 300, 623)
TENANTS = 88
# Requests a second at an entry.
LOAD_PER_ENTRY = 8.0
SETTLE_S = 10.0
MEASURED_S = 20.0
# Clients that a usual load of one request a second comes from. Each keeps its
# entry for a while.
CLIENTS_PER_S = 3.0
STAY_S = 4.0


class Load:
    """Clients of the tenants, each at one entry for a while."""

    def __init__(self, fleet, loads, *, seed=3):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.factors = dict.fromkeys(loads, 1.0)
        # Data centre that the clients of a tenant use; None for all.
        self.homes = dict.fromkeys(loads)
        for name, per_s in loads.items():
            count = max(1, round(per_s * CLIENTS_PER_S))
            for _ in range(count):
                client = [None, 0.0]
                fleet.at(
                    self._rng.random(), self._call, client, name, per_s / count
                )

    def _call(self, client, name, per_s):
        fleet, rng = self._fleet, self._rng
        if client[0] not in fleet.entries or client[1] < fleet.now:
            home = self.homes[name]
            choices = [
                each.name
                for each in fleet.entries.values()
                if home is None or each.data_center == home
            ]
            client[:] = (
                rng.choice(choices or list(fleet.entries) or [None]),
                fleet.now + rng.expovariate(1.0 / STAY_S),
            )
        if client[0] is not None:
            fleet.call(client[0], name)
        gap_s = rng.expovariate(per_s * self.factors[name])
        fleet.at(fleet.now + gap_s, self._call, client, name, per_s)


def calm(fleet, load):
    """Nothing happens."""


def hot(fleet, load):
    """Three tenants of different sizes send 7.5 times their usual."""
    for name in ("t-0", "t-8", "t-40"):
        load.factors[name] = 7.5


def moving(fleet, load):
    """The clients of each tenant use one data centre, then another."""
    for step in range(4):
        for number, name in enumerate(load.homes):
            home = f"dc-{(number + step) % 4}"
            fleet.at(SETTLE_S + 5.0 * step, load.homes.__setitem__, name, home)


def cut(fleet, load):
    """Half of the entries reach neither the store nor other entries."""
    for entry in list(fleet.entries.values())[::2]:
        for field in ("reaches_store", "sends", "receives"):
            fleet.at(SETTLE_S + 4.0, setattr, entry, field, False)
            fleet.at(SETTLE_S + 14.0, setattr, entry, field, True)


def killed(fleet, load):
    """A third of the entries are killed and start again after 2 s."""
    for entry in list(fleet.entries.values())[::3]:
        fleet.at(SETTLE_S + 6.0, fleet.kill, entry.name)
        fleet.at(
            SETTLE_S + 8.0, fleet.start_entry, entry.name, entry.data_center
        )


def all_killed(fleet, load):
    """All entries are killed at once and start again after 1.5 s."""
    for entry in list(fleet.entries.values()):
        fleet.at(SETTLE_S + 6.0, fleet.kill, entry.name)
        fleet.at(
            SETTLE_S + 7.5, fleet.start_entry, entry.name, entry.data_center
        )


def hot_and_all_killed(fleet, load):
    """Both."""
    hot(fleet, load)
    all_killed(fleet, load)


def hot_and_killed(fleet, load):
    """Both."""
    hot(fleet, load)
    killed(fleet, load)


def hot_and_cut(fleet, load):
    """Both."""
    hot(fleet, load)
    cut(fleet, load)


TROUBLES = (
    calm,
    hot,
    moving,
    cut,
    killed,
    all_killed,
    hot_and_cut,
    hot_and_killed,
    hot_and_all_killed,
)


def measure(entries, trouble, *, seconds=MEASURED_S):
    """Returns the figures of one row."""
    loads = quotas.usual_loads(TENANTS, LOAD_PER_ENTRY * entries)
    fleet = quota_fleet.QuotaFleet(entries, quotas.tenants(loads), loss=0.002)
    fleet.advance(SETTLE_S - 5.0)
    load = Load(fleet, loads)
    trouble(fleet, load)
    fleet.advance(5.0)
    before = fleet.message_count, fleet.far_message_count
    fleet.advance(seconds)
    requests = sum(
        sum(at >= SETTLE_S for at in times)
        for times in fleet.log.arrived.values()
    )
    return (
        max(fleet.log.excess().values()),
        fleet.log.served_part(SETTLE_S, fleet.now - 0.5),
        (fleet.message_count - before[0]) / requests,
        (fleet.far_message_count - before[1]) / requests,
    )


def main():
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="*", default=ENTRIES)
    arguments = parser.parse_args()
    print(
        "| entries | load | over the bound | let through | "
        "messages a request | between data centres |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for entries in arguments.entries:
        for trouble in TROUBLES:
            excess, served, messages, far = measure(entries, trouble)
            print(
                f"| {entries} | {trouble.__name__} | {excess:.1f} | "
                f"{served:.3f} | {messages:.2f} | {far:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    sys.exit(main())
