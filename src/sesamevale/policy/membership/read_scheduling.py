"""Scheduling of reads of the store among the entries of a data centre.

The entry with the lowest identifier is the reader: it reads the store, and
the others ask it for the result, once for each of its reads if these are on
time. An entry whose last read becomes too old reads the store itself, in the
order of rank, so that a reader that has stopped, hangs or cannot reach the
store is replaced before the bound on changes has passed.
"""

from __future__ import annotations

import dataclasses

__all__ = [
    "Ask",
    "Read",
    "ReadTiming",
    "Step",
    "Wait",
    "next_step",
    "retry_delay_s",
]

# All shares are shares of the bound on changes. The interval between reads and
# the interval at which the reader is asked stay well below it in sum.
#
# Interval between reads of an entry that is alone in its data centre.
ALONE_SHARE = 0.65
# Interval between reads of the reader.
READER_SHARE = 0.5
# Shortest interval at which the reader is asked.
ASK_SHARE = 0.15
# Allowance for the duration of a read, after which the reader is asked for its
# result. It grows with the rank, so that the entries do not all ask at once.
RESULT_DELAY_SHARE = 0.02
RESULT_DELAY_RANK_SHARE = 0.004
# Age of the last read at which an entry other than the reader reads the store.
# It grows with the rank, up to a maximum.
STALE_SHARE = 0.75
STALE_RANK_SHARE = 0.02
STALE_RANK_SHARE_MAX = 0.1
# Delay after failed reads: it grows by the first share with each failure, up to
# a maximum. While the store is away all entries fail to read it, so only the
# reader retries often.
RETRY_SHARE = 0.125
READER_RETRY_SHARE_MAX = 0.3
OTHER_RETRY_SHARE_MAX = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTiming:
    """Basis of all intervals.

    Attributes:
        bound_s: Longest time in seconds until an entry must know of a change.
    """

    bound_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Step: read the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Step: ask another entry for the result of its last read.

    Attributes:
        entry_id: Identifier of that entry.
    """

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Step: wait before the next decision."""

    seconds: float


Step = Read | Ask | Wait


def next_step(
    entry_id: str,
    local_entries: frozenset[str],
    age_s: float,
    since_ask_s: float,
    timing: ReadTiming,
) -> Step:
    """Decides the next step of an entry to keep its view of the store recent.

    Args:
        entry_id: Identifier of this entry.
        local_entries: Identifiers of the entries of this data centre that are
            alive.
        age_s: Seconds since the newest known read was sent; infinite if
            there was none.
        since_ask_s: Seconds since another entry was last asked.
        timing: Basis of all intervals.
    """
    ranked = sorted(local_entries | {entry_id})
    rank = ranked.index(entry_id)
    if rank == 0:
        share = ALONE_SHARE if len(ranked) == 1 else READER_SHARE
        until_read = share * timing.bound_s - age_s
        return Read() if until_read <= 0 else Wait(until_read)
    stale_share = STALE_SHARE + min(
        STALE_RANK_SHARE * rank, STALE_RANK_SHARE_MAX
    )
    until_stale = stale_share * timing.bound_s - age_s
    if until_stale <= 0:
        return Read()
    result_share = (
        READER_SHARE + RESULT_DELAY_SHARE + RESULT_DELAY_RANK_SHARE * rank
    )
    until_result = min(result_share, STALE_SHARE) * timing.bound_s - age_s
    until_ask = max(until_result, ASK_SHARE * timing.bound_s - since_ask_s)
    if until_ask <= 0:
        return Ask(ranked[0])
    return Wait(min(until_stale, until_ask))


def retry_delay_s(
    entry_id: str,
    local_entries: frozenset[str],
    failures: int,
    timing: ReadTiming,
) -> float:
    """Returns the delay before the next read after failed ones, in seconds.

    Args:
        entry_id: Identifier of this entry.
        local_entries: Identifiers of the entries of this data centre that are
            alive.
        failures: Reads in a row that have failed.
        timing: Basis of all intervals.
    """
    is_reader = min(local_entries | {entry_id}) == entry_id
    share_max = READER_RETRY_SHARE_MAX if is_reader else OTHER_RETRY_SHARE_MAX
    return min(RETRY_SHARE * failures, share_max) * timing.bound_s
