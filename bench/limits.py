"""Ways of sharing the limits of upstreams among entries, in simulated time.

Each entry has requests all the time and sends all that its share allows. The
table shows, for each way, the fullest window of 4 s as a multiple of what the
limit allows, and the part of the limit that is used, in calm and while entries
are killed, restarted and turned away by the store.

Run: ``make bench-limits``.
"""

from __future__ import annotations

import argparse
import bisect
import math
import random
import sys

from sesamevale.policy.admission import rate_shares
from tests.standins import limited_fleet
from tests.standins import signal_log

ENTRIES = (5, 45, 124, 623)
LIMITS = (0.5, 1.4, 3.7, 20.0)
UPSTREAMS = 6
SETTLE_S = 8.0
MEASURED_S = 24.0
TROUBLE_INTERVAL_S = 2.0
AWAY_S = 8.0


def _holders_of(count):
    """Returns a replacement for the choice of holders, by their number."""
    original = rate_shares._choose_holders

    def choose(record, limit, members):
        wanted = count(limit.per_second, len(members))
        scaled = type(limit)(wanted - 1 + 0.5)
        return original(record, scaled, members)

    return choose


WAYS = {
    "equal shares": _holders_of(lambda limit, entries: entries),
    "one owner": _holders_of(lambda limit, entries: 1),
    "bounded subset": rate_shares._choose_holders,
}


def _trouble(fleet, rng):
    """Ends, starts or turns away entries at random."""
    names = sorted(fleet.entries)
    name = rng.choice(names)
    draw = rng.random()
    if draw < 0.4 and len(names) > 1:
        fleet.end_entry(name, planned=rng.random() < 0.5)
        fleet.start_entry()
    elif draw < 0.7:
        for each in rng.sample(names, max(1, len(names) // 3)):
            fleet.turn_away(each)
    else:
        for each in names:
            if fleet.entries[each].is_turned_away:
                fleet.serve_again(each)


def _measure(entries, limit, *, troubled):
    """Returns the fullest window and the used part of one way."""
    fleet = limited_fleet.Fleet(entries, UPSTREAMS)
    rng = random.Random(7)
    for each in fleet.logs:
        each.name_limit(limit)
    fleet.advance(SETTLE_S)
    since = fleet.now
    while fleet.now < since + MEASURED_S:
        fleet.advance(TROUBLE_INTERVAL_S)
        if troubled:
            _trouble(fleet, rng)
    fullest = max(_fullest_window(each, since) for each in fleet.logs)
    sent = sum(each.count_since(since) for each in fleet.logs)
    allowed = limit * (fleet.now - since) * UPSTREAMS
    return fullest, sent / allowed


def _fullest_window(log, since):
    times = [at for at, _ in log.arrivals if at >= since]
    return max(
        (
            bisect.bisect_left(times, at + signal_log.LIMIT_WINDOW_S) - index
            for index, at in enumerate(times)
        ),
        default=0,
    )


def main():
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="*", default=ENTRIES)
    arguments = parser.parse_args()
    print(
        "| entries | limit | way | fullest 4 s | bound | used | "
        "fullest 4 s in trouble | used in trouble |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    chosen = rate_shares._choose_holders
    for entries in arguments.entries:
        for limit in LIMITS:
            bound = math.floor(
                signal_log.EXCESS_FACTOR * limit * signal_log.LIMIT_WINDOW_S
                + signal_log.EXCESS_COUNT
            )
            for way, choose in WAYS.items():
                rate_shares._choose_holders = choose
                calm, used = _measure(entries, limit, troubled=False)
                hard, hard_used = _measure(entries, limit, troubled=True)
                print(
                    f"| {entries} | {limit:g} | {way} | {calm} | {bound} | "
                    f"{used:.2f} | {hard} | {hard_used:.2f} |",
                    flush=True,
                )
    rate_shares._choose_holders = chosen


if __name__ == "__main__":
    sys.exit(main())
