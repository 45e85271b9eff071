"""Quotas against an oracle that sees the requests of all entries."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies

from tests.builders import hypothesis_settings
from tests.builders import quotas
from tests.standins import quota_fleet

ENTRIES = 6
# Rates from less than one request a window to many.
RATES = {"t-0": 40.0, "t-1": 4.0, "t-2": 0.5}
NAMES = strategies.sampled_from(sorted(RATES))
ENTRY_NUMBERS = strategies.integers(0, ENTRIES - 1)
# Time in which an entry is killed once at most.
KILL_GAP_S = 5.5
# Time until all entries have read a changed limit.
SPREAD_S = 2.1


class QuotasMachine(stateful.RuleBasedStateMachine):
    """Callers press, entries are killed, frozen, cut off and replaced."""

    def __init__(self):
        super().__init__()
        tenants = {
            name: quotas.limited_tenant(name, rate, rate)
            for name, rate in RATES.items()
        }
        self.fleet = quota_fleet.QuotaFleet(
            ENTRIES, tenants, data_centers=2, loss=0.05
        )
        self.fleet.advance(6.0)
        self.killed_at = {}

    def entry(self, number):
        names = sorted(self.fleet.entries)
        return self.fleet.entries[names[number % len(names)]]

    @stateful.rule(
        number=ENTRY_NUMBERS,
        name=NAMES,
        count=strategies.integers(1, 60),
        waits_s=strategies.sampled_from([0.004, 0.2, 0.4]),
    )
    def press(self, number, name, count, waits_s):
        for _ in range(count):
            self.fleet.call(self.entry(number).name, name, waits_s)

    @stateful.rule(name=NAMES, count=strategies.integers(1, 30))
    def press_everywhere(self, name, count):
        for entry in sorted(self.fleet.entries):
            for _ in range(count):
                self.fleet.call(entry, name)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.5, 1.0, 3.0]))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @stateful.precondition(lambda self: len(self.fleet.entries) > 1)
    @stateful.rule(
        number=ENTRY_NUMBERS,
        planned=strategies.booleans(),
        down_s=strategies.sampled_from([0.5, 2.0, 8.0]),
    )
    def kill(self, number, planned, down_s):
        entry, now = self.entry(number), self.fleet.now
        if now - self.killed_at.get(entry.name, -99.0) < KILL_GAP_S:
            return
        self.killed_at[entry.name] = now
        self.fleet.kill(entry.name, planned=planned)
        self.fleet.at(
            now + down_s,
            self.fleet.start_entry,
            entry.name,
            entry.data_center,
        )

    @stateful.rule(number=ENTRY_NUMBERS)
    def freeze_or_thaw(self, number):
        entry = self.entry(number)
        if entry.is_frozen:
            self.fleet.thaw(entry.name)
        else:
            self.fleet.freeze(entry.name)

    @stateful.rule(
        number=ENTRY_NUMBERS,
        field=strategies.sampled_from(["reaches_store", "sends", "receives"]),
    )
    def cut_or_mend(self, number, field):
        entry = self.entry(number)
        setattr(entry, field, not getattr(entry, field))

    @stateful.rule(name=NAMES, factor=strategies.sampled_from([0.3, 0.7, 1.5]))
    def change_limit(self, name, factor):
        rate = self.fleet.tenants[name].rate_per_s * factor
        tenant = quotas.limited_tenant(name, rate, rate)
        binds_at = self.fleet.now + SPREAD_S + quotas.BOUNDS.window_s
        self.fleet.set_tenant(tenant, binds_at)

    @stateful.invariant()
    def no_window_exceeds_its_bound(self):
        excess = self.fleet.log.excess(self.fleet.now - 12.0)
        assert all(each <= 0.0 for each in excess.values()), excess

    def teardown(self):
        """Each request has its verdict soon."""
        for entry in list(self.fleet.entries.values()):
            if entry.is_frozen:
                self.fleet.thaw(entry.name)
        self.fleet.advance(2.0)
        assert all(
            each.pending is None and not each.waiting
            for entry in self.fleet.entries.values()
            for each in entry.allocator.uses.values()
        )


TestQuotas = QuotasMachine.TestCase
TestQuotas.settings = hypothesis_settings.machine_settings(60, 40)
