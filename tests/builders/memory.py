"""Builders of memory accounts and of what requests hold there."""

from __future__ import annotations

from sesamevale import resources
from sesamevale.policy.admission import memory_account
from sesamevale.policy.admission import memory_limits

MIB = 1024 * 1024


def machine(memory_mb=200, descriptors_max=500) -> resources.Machine:
    return resources.Machine(memory_mb * MIB, descriptors_max)


def account(**changes) -> memory_account.MemoryAccount:
    values = {
        "capacity_bytes": 16 * MIB,
        "connections_max": 20,
        "requests_max": 12,
    }
    limits = memory_limits.MemoryLimits(**(values | changes))
    return memory_account.MemoryAccount(limits)


class Request:
    """A request with a holding, and whether it was turned away."""

    def __init__(self, account_, *, priority=1, now=0.0, phase=None, body=0):
        self.causes: list[memory_account.Cause] = []
        self.holding = account_.open(priority, self.causes.append, now)
        if self.holding is None:
            return
        if phase is not None:
            self.holding.enter(phase, now)
        if body:
            kind = memory_account.Kind.BODY
            assert self.holding.try_grow(kind, body, now)

    @property
    def was_turned_away(self) -> bool:
        return bool(self.causes)
