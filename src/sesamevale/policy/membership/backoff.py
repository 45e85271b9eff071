"""Delays between attempts to reach a peer that fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ["Backoff"]


class Backoff:
    """Delays that double with each failure, up to a maximum.

    A random part keeps many clients of one peer from asking at the same time.

    Args:
        first_s: Longest delay after the first failure, in seconds.
        longest_s: Longest delay, in seconds.
        rng: Source of randomness.
    """

    def __init__(
        self, first_s: float, longest_s: float, rng: random.Random
    ) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._rng = rng
        self._next_s = first_s

    def reset(self) -> None:
        """Starts again after a success."""
        self._next_s = self._first_s

    def next_delay_s(self) -> float:
        """Returns the delay after one more failure, in seconds."""
        delay_s = self._next_s
        self._next_s = min(2.0 * delay_s, self._longest_s)
        return delay_s * self._rng.uniform(0.5, 1.0)
