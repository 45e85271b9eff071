"""Number of entries among which a limit of all entries is divided.

Each entry takes a share by its own count. An entry that the others may not
count takes a smaller one, since they divide the limit among themselves.
"""

from __future__ import annotations

__all__ = ["sharing"]

# However many entries are in doubt at the same time, together with the others
# they take at most half as much again as the limit, which the headroom of the
# budget covers.
DOUBT_FACTOR = 2


def sharing(reachable: int, registered_elsewhere: int, in_doubt: bool) -> int:
    """Returns the number to divide by.

    Args:
        reachable: Entries of this data centre that may be running, this one
            included.
        registered_elsewhere: Registered entries of other data centres.
        in_doubt: Whether the others may not count this entry, because the
            last read of the store did not show its registration or is older
            than a registration lasts.
    """
    count = max(1, reachable + registered_elsewhere)
    return DOUBT_FACTOR * count if in_doubt else count
