"""Pool of connections to the upstreams of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamevale.upstreams import http_link

if TYPE_CHECKING:
    from sesamevale import http1
    from sesamevale import routes

__all__ = ["LinkPool"]

# Largest number of idle connections to one upstream.
IDLE_MAX = 6
# Share that may be idle of the connections that an upstream accepts from this
# entry.
IDLE_SHARE = 0.5


class LinkPool:
    """Pool that reuses the most recently used connection of an upstream first.

    Args:
        dialect: Names of the header fields.
    """

    def __init__(self, dialect: http1.Dialect) -> None:
        self._dialect = dialect
        self._idle_max = IDLE_MAX
        self._idle: dict[str, list[http_link.HttpLink]] = {}
        self._open_counts: dict[str, int] = {}

    def set_connection_share(self, connections: float) -> None:
        """Sets how many connections an upstream accepts from this entry."""
        self._idle_max = max(1, min(IDLE_MAX, int(IDLE_SHARE * connections)))

    def count_open_links(self, upstream_id: str) -> int:
        """Returns the number of connections to an upstream, busy or idle."""
        return self._open_counts.get(upstream_id, 0)

    def acquire(
        self, record: routes.UpstreamRecord, idle_max_s: float, now: float
    ) -> http_link.HttpLink:
        """Returns an idle connection or a new one.

        Args:
            record: The upstream.
            idle_max_s: Longest time that the connection may have been idle,
                in seconds.
            now: Monotonic time in seconds.
        """
        idle = self._idle.get(record.upstream_id, [])
        while idle:
            link = idle.pop()
            if link.is_expired(now) or not link.is_open:
                self.discard(record.upstream_id, link)
            elif link.idle_s(now) <= idle_max_s:
                return link
            else:
                idle.append(link)
                break
        self._open_counts[record.upstream_id] = (
            self.count_open_links(record.upstream_id) + 1
        )
        return http_link.HttpLink(record, self._dialect)

    def release(self, upstream_id: str, link: http_link.HttpLink) -> None:
        """Returns a connection to the pool if it can be used again."""
        idle = self._idle.setdefault(upstream_id, [])
        if not link.is_open or len(idle) >= self._idle_max:
            self.discard(upstream_id, link)
            return
        idle.append(link)

    def detach(self, upstream_id: str) -> None:
        """Stops counting a connection that is closed or streams an answer."""
        self._open_counts[upstream_id] = max(
            0, self.count_open_links(upstream_id) - 1
        )

    def discard(self, upstream_id: str, link: http_link.HttpLink) -> None:
        """Closes a connection at once."""
        link.close()
        self.detach(upstream_id)

    def close_idle(self, upstream_id: str) -> None:
        """Closes the idle connections to an upstream."""
        for link in self._idle.pop(upstream_id, []):
            self.discard(upstream_id, link)

    def close_expired(self, now: float) -> None:
        """Closes connections that the upstream is about to close."""
        for upstream_id, idle in self._idle.items():
            kept = []
            for link in idle:
                if link.is_expired(now) or not link.is_open:
                    self.discard(upstream_id, link)
                else:
                    kept.append(link)
            self._idle[upstream_id] = kept

    def close_all(self) -> None:
        """Closes all idle connections."""
        for upstream_id in list(self._idle):
            self.close_idle(upstream_id)
