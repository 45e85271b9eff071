"""Numbers of processes: a later start of an entry has a higher one."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ["new"]

INCARNATION_RANDOM_BITS = 10


def new(rng: random.Random) -> int:
    """Returns a number that grows with each start and is never used twice."""
    milliseconds = time.time_ns() // 1_000_000
    suffix = rng.getrandbits(INCARNATION_RANDOM_BITS)
    return (milliseconds << INCARNATION_RANDOM_BITS) + suffix
