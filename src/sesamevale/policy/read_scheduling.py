"""Who reads the store, and when.

Of the entries of a data centre, the first by identifier reads the store and
the others ask it, once for each of its reads if it is in time. An entry whose
knowledge grows old reads the store itself, one after the other by rank, so
that a reader that is gone, stuck or cut off from the store is replaced before
the bound on changes has passed.
"""

from __future__ import annotations

import dataclasses

__all__ = ["Ask", "Read", "ReadTiming", "Step", "Wait", "next_step"]

# Parts of the bound on changes. Together, a read and the interval at which
# the reader is asked stay well below it.
ALONE_SHARE = 0.65
READER_SHARE = 0.5
ASK_SHARE = 0.15
# Time that a read takes, after which the reader is asked for its result; a
# little more by rank, so that not all ask at the same moment.
NEWS_SHARE = 0.02
NEWS_RANK_SHARE = 0.004
STALE_SHARE = 0.75
RANK_SHARE = 0.02
RANK_SHARE_MAX = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTiming:
    """What the intervals follow from.

    Attributes:
        bound_s: Time in seconds within which a change must be known.
    """

    bound_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Ask another entry for what it has read.

    Attributes:
        entry_id: The entry.
    """

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Decide again after some seconds."""

    seconds: float


Step = Read | Ask | Wait


def next_step(
    own: str,
    near: frozenset[str],
    age_s: float,
    since_ask_s: float,
    timing: ReadTiming,
) -> Step:
    """Decides what an entry does next to stay informed.

    Args:
        own: Identifier of this entry.
        near: Identifiers of the entries of this data centre that are alive.
        age_s: Seconds since the newest known read was sent; infinite if
            there was none.
        since_ask_s: Seconds since another entry was last asked.
        timing: What the intervals follow from.
    """
    ranked = sorted(near | {own})
    rank = ranked.index(own)
    if rank == 0:
        share = ALONE_SHARE if len(ranked) == 1 else READER_SHARE
        left = share * timing.bound_s - age_s
        return Read() if left <= 0 else Wait(left)
    patience = STALE_SHARE + min(RANK_SHARE * rank, RANK_SHARE_MAX)
    until_old = patience * timing.bound_s - age_s
    if until_old <= 0:
        return Read()
    news_share = READER_SHARE + NEWS_SHARE + NEWS_RANK_SHARE * rank
    until_news = min(news_share, STALE_SHARE) * timing.bound_s - age_s
    until_ask = max(until_news, ASK_SHARE * timing.bound_s - since_ask_s)
    if until_ask <= 0:
        return Ask(ranked[0])
    return Wait(min(until_old, until_ask))
