"""Sharing of tenants' quotas among entries, in simulated time.

The sizes of 88 tenants differ as 1 / rank ** 1.2. The table shows for each
load by how much the fullest window exceeds its bound (negative: room left),
the part of what is owed that was let through, and the messages a request.

Run: ``make bench-quotas``.
"""

from __future__ import annotations

import argparse
import sys

from tests.builders import quotas
from tests.standins import quota_fleet
from tests.standins import quota_load

ENTRIES = (5, 58, 112, 300, 623)
TENANTS = 88
# Requests a second at an entry.
LOAD_PER_ENTRY = 8.0
LOSS = 0.002
SETTLE_S = 5.0
MEASURED_S = 25.0
TROUBLES = (
    quota_load.calm,
    quota_load.hot,
    quota_load.moving,
    quota_load.cut,
    quota_load.killed,
    quota_load.all_killed,
    quota_load.away,
    quota_load.hot_and(quota_load.cut),
    quota_load.hot_and(quota_load.killed),
    quota_load.hot_and(quota_load.all_killed),
)


def measure(entries, trouble):
    """Returns the figures of one row."""
    loads = quotas.usual_loads(TENANTS, LOAD_PER_ENTRY * entries)
    fleet = quota_fleet.QuotaFleet(entries, quotas.tenants(loads), loss=LOSS)
    fleet.advance(SETTLE_S)
    since = fleet.now
    load = quota_load.Load(fleet, loads)
    trouble(fleet, load)
    fleet.advance(MEASURED_S)
    requests = sum(map(len, fleet.log.arrived.values()))
    return (
        max(fleet.log.excess().values()),
        fleet.log.served_part(since, fleet.now - 0.5),
        fleet.message_count / requests,
        fleet.far_message_count / requests,
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
