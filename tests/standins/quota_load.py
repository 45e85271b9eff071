"""Loads and troubles of a fleet whose entries share quotas."""

from __future__ import annotations

import random

# Clients that a usual load of one request a second comes from.
CLIENTS_PER_S = 3.0
# Mean time for which a client keeps its entry.
STAY_S = 4.0


class Load:
    """Clients of the tenants, each at one entry for a while.

    Attributes:
      factors: Load as a multiple of the usual one, by tenant.
      homes: Data centre that the clients of a tenant use; None for all.
    """

    def __init__(self, fleet, loads, *, seed=3):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.factors = dict.fromkeys(loads, 1.0)
        self.homes = dict.fromkeys(loads)
        for name, per_s in loads.items():
            count = max(1, round(per_s * CLIENTS_PER_S))
            for _ in range(count):
                client = [None, 0.0]
                gap_s = self._rng.expovariate(per_s / count)
                at = fleet.now + gap_s
                fleet.at(at, self._call, client, name, per_s / count)

    def _call(self, client, name, per_s):
        fleet, rng = self._fleet, self._rng
        if client[0] not in fleet.entries or client[1] < fleet.now:
            home = self.homes[name]
            choices = [
                each.name
                for each in fleet.entries.values()
                if home is None or each.data_center == home
            ]
            choices = choices or list(fleet.entries) or [None]
            stay_s = rng.expovariate(1.0 / STAY_S)
            client[:] = (rng.choice(choices), fleet.now + stay_s)
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
    for step in range(5):
        for number, name in enumerate(load.homes):
            home = f"dc-{(number + step) % 4}"
            at = fleet.now + 5.0 * step
            fleet.at(at, load.homes.__setitem__, name, home)


def cut(fleet, load):
    """Half of the entries reach neither the store nor others for 10 s."""
    for entry in list(fleet.entries.values())[::2]:
        for field in ("reaches_store", "sends", "receives"):
            fleet.at(fleet.now + 9.0, setattr, entry, field, False)
            fleet.at(fleet.now + 19.0, setattr, entry, field, True)


def _restart(fleet, entries, down_s):
    for entry in entries:
        fleet.at(fleet.now + 11.0, fleet.kill, entry.name)
        fleet.at(
            fleet.now + 11.0 + down_s,
            fleet.start_entry,
            entry.name,
            entry.data_center,
        )


def killed(fleet, load):
    """A third of the entries are killed and start again after 2 s."""
    _restart(fleet, list(fleet.entries.values())[::3], 2.0)


def all_killed(fleet, load):
    """All entries are killed at once and start again after 1.5 s."""
    _restart(fleet, list(fleet.entries.values()), 1.5)


def away(fleet, load):
    """A quarter of the entries are away until their leases have ended."""
    _restart(fleet, list(fleet.entries.values())[::4], 8.0)


def hot_and(trouble):
    """Returns a trouble that happens while tenants are hot."""

    def both(fleet, load):
        hot(fleet, load)
        trouble(fleet, load)

    both.__name__ = f"hot and {trouble.__name__}"
    return both
