"""Incarnation numbers: a later start of an entry has a higher one."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ["new"]

INCARNATION_RANDOM_BITS = 10


def new(rng: random.Random) -> int:
    """Returns an incarnation number, higher than those of earlier starts.

    It consists of the wall-clock time in milliseconds and random bits, which
    keep starts within one millisecond apart.

    Args:
        rng: Source of the random bits.
    """
    milliseconds = time.time_ns() // 1_000_000
    suffix = rng.getrandbits(INCARNATION_RANDOM_BITS)
    return (milliseconds << INCARNATION_RANDOM_BITS) + suffix
