"""Data centres whose upstreams the operator wants emptied.

Callers still reach the entries there. Requests that run at the upstreams end
there; waiting requests and repeats go to other data centres.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale import routes

__all__ = ["EvacuationChange", "Evacuations"]


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """An evacuation has begun or ended.

    Attributes:
        data_center: The data centre.
        change: began or ended.
        read_at: When the read that told it was sent, in monotonic seconds.
    """

    data_center: str
    change: str
    read_at: float


class Evacuations:
    """Evacuations in force, as the newest read of the store has them.

    An entry that is cut off from the store keeps the state that it has read
    last, since nobody has told it that the data centre may be used again.
    """

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    @property
    def data_centers(self) -> frozenset[str]:
        """Data centres that are evacuated."""
        return frozenset(self._since)

    def record_read(
        self, data_centers: Iterable[str], now: float
    ) -> list[EvacuationChange]:
        """Applies a complete read of the store and returns the changes.

        Args:
            data_centers: All data centres that are to be empty.
            now: When the read was sent, in monotonic seconds.
        """
        found = frozenset(data_centers)
        begun = sorted(found - self._since.keys())
        ended = sorted(self._since.keys() - found)
        for name in ended:
            del self._since[name]
        for name in begun:
            self._since[name] = now
        return [EvacuationChange(name, "began", now) for name in begun] + [
            EvacuationChange(name, "ended", now) for name in ended
        ]

    def select_usable(
        self, records: tuple[routes.UpstreamRecord, ...]
    ) -> tuple[routes.UpstreamRecord, ...]:
        """Returns the upstreams that are in no evacuated data centre."""
        if not self._since:
            return records
        return tuple(
            each for each in records if each.data_center not in self._since
        )

    def ages_s(self, now: float) -> dict[str, float]:
        """Returns the age of each evacuation in seconds, by data centre."""
        return {name: now - since for name, since in self._since.items()}
