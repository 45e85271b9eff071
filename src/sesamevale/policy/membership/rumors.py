"""Spreading of suspicions among entries: to whom, and what is new.

Each entry passes what is new to it on to a few others of its data centre, so
that a suspicion reaches all within a few hops and costs each entry a few
datagrams. Only the entry that found it sends it to other data centres, since
traffic between them is charged for.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from sesamevale.policy.admission import suspects
from sesamevale.policy.membership import registered_peers

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable
    from collections.abc import Sequence

__all__ = ["Rumors"]

# Entries that each entry passes news on to. With 4, all but 2% of the entries
# hear of it even if every entry passes it on only once.
FAN_OUT = 4
# Entries of each other data centre that the finder of news tells.
FAR_FAN_OUT = 2
# Most suspicions in one message, which then fits into one datagram.
MESSAGE_ROWS_MAX = 48
# Suspicions of this age are repeated along with news, for those that missed
# them.
REPEATED_AGE_MAX_S = 10.0
# Most suspicions that are known to have been heard.
KNOWN_MAX = 4096
# Clearings of a request closer than this are the same news, in seconds.
CLEARING_INTERVAL_S = 1.0


class Rumors:
    """What one entry has heard and still has to pass on.

    Args:
        rng: Source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._known: collections.OrderedDict[
            tuple[int, int], suspects.Suspicion
        ] = collections.OrderedDict()
        self._news: list[suspects.Suspicion] = []
        self._has_own_news = False

    @property
    def has_news(self) -> bool:
        """Whether there is something to pass on."""
        return bool(self._news)

    def add(
        self, found: Iterable[suspects.Suspicion], *, is_own: bool
    ) -> list[suspects.Suspicion]:
        """Adds suspicions and returns those that are new.

        Args:
            found: Suspicions.
            is_own: Whether this entry has found them itself.
        """
        fresh = [each for each in found if self._is_new(each)]
        for each in fresh:
            key = (each.request, each.upstream)
            self._known[key] = each
            self._known.move_to_end(key)
        while len(self._known) > KNOWN_MAX:
            self._known.popitem(last=False)
        self._news += fresh
        self._has_own_news |= is_own and bool(fresh)
        return fresh

    def take_message(self, now: float) -> tuple[suspects.Suspicion, ...]:
        """Returns what is passed on next, the news first.

        Args:
            now: Monotonic time in seconds.
        """
        rows = self._news[:MESSAGE_ROWS_MAX]
        del self._news[:MESSAGE_ROWS_MAX]
        for each in reversed(self._known.values()):
            is_recent = now - each.at <= REPEATED_AGE_MAX_S
            if len(rows) >= MESSAGE_ROWS_MAX or not is_recent:
                break
            if each not in rows:
                rows.append(each)
        return tuple(rows)

    def choose_targets(
        self,
        near: Sequence[registered_peers.Peer],
        far: Sequence[registered_peers.Peer],
    ) -> list[registered_peers.Peer]:
        """Returns the entries that the next message goes to.

        Args:
            near: The other entries of this data centre.
            far: Entries of other data centres.
        """
        targets = self._sample(near, FAN_OUT)
        if self._has_own_news:
            self._has_own_news = bool(self._news)
            by_data_center: dict[str, list[registered_peers.Peer]] = {}
            for each in far:
                by_data_center.setdefault(each.data_center, []).append(each)
            for entries in by_data_center.values():
                targets += self._sample(entries, FAR_FAN_OUT)
        return targets

    def _sample(
        self, entries: Sequence[registered_peers.Peer], count: int
    ) -> list[registered_peers.Peer]:
        return self._rng.sample(list(entries), min(count, len(entries)))

    def _is_new(self, suspicion: suspects.Suspicion) -> bool:
        known = self._known.get((suspicion.request, suspicion.upstream))
        if known is None:
            return True
        if suspicion.upstream != suspects.CLEARED:
            return False
        return suspicion.at > known.at + CLEARING_INTERVAL_S
