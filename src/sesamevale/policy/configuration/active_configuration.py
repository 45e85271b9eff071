"""The version of the configuration that is in force at one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import routes

__all__ = ["ActiveConfiguration"]


class ActiveConfiguration:
    """Configuration in force; its version never decreases."""

    def __init__(self) -> None:
        self._current: routes.Configuration | None = None
        self._confirmed_at = float("-inf")

    @property
    def current(self) -> routes.Configuration | None:
        """Configuration in force, if there is one."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none."""
        return 0 if self._current is None else self._current.version

    def offer(self, found: routes.Configuration, now: float) -> bool:
        """Puts a configuration that was read into force if it is newer.

        Reading the version in force again confirms it. An older version is
        ignored.

        Args:
            found: Configuration that was read from the store.
            now: Monotonic time in seconds at which the read was sent.

        Returns:
            Whether the configuration replaced the one in force.
        """
        if found.version < self.version:
            return False
        self._confirmed_at = now
        if found.version == self.version:
            return False
        self._current = found
        return True

    def age_s(self, now: float) -> float:
        """Seconds since the version in force was last confirmed."""
        return now - self._confirmed_at
