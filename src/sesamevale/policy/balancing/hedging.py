"""Hedging: a second attempt that races a slow first one."""

from __future__ import annotations

from hdrh import histogram

__all__ = ["Hedger"]

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
# Number of durations after which the hedge delay is computed again.
RECOMPUTE_SAMPLES = 100
# Number of durations after which a new histogram is begun.
WINDOW_SAMPLES = 4_000
# Capacity of the token bucket of hedges.
BURST_HEDGES = 5.0


class Hedger:
    """Computes the hedge delay and limits hedges to their share of calls.

    Args:
        share: Hedges allowed, as a share of all calls; 0 turns hedging off.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = 0.0
        self._recent = _new_histogram()
        self._previous = _new_histogram()
        self._delay: float | None = None

    @property
    def delay(self) -> float | None:
        """Hedge delay in seconds; None until enough durations are known."""
        return self._delay

    def call_started(self) -> None:
        """Adds the share of one call to the hedge budget."""
        self._tokens = min(BURST_HEDGES, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Counts a hedge if the budget allows it; False if it does not."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def record_duration(self, seconds: float) -> None:
        """Records the duration of an attempt that was answered or cancelled.

        Args:
            seconds: Time from the start of the attempt to its end.
        """
        if self._share <= 0.0:
            return
        self._recent.record_value(max(LOWEST_US, int(seconds * 1e6)))
        count = self._recent.get_total_count()
        if count % RECOMPUTE_SAMPLES == 0:
            self._recompute()
        if count >= WINDOW_SAMPLES:
            self._previous = self._recent
            self._recent = _new_histogram()

    def _recompute(self) -> None:
        source = self._recent
        if self._previous.get_total_count() > source.get_total_count():
            source = self._previous
        share_of_attempts = self._share / (1.0 + self._share)
        percentile = 100.0 * (1.0 - share_of_attempts)
        self._delay = source.get_value_at_percentile(percentile) / 1e6


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
