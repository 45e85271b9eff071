"""What callers, upstreams and faults of the soak record for its checks.

Times are monotonic, in seconds.
"""

from __future__ import annotations

import dataclasses
import math
import time


class History:
    """Intervals in which something was disturbed."""

    def __init__(self):
        self._intervals = []
        self._open_since = math.inf

    def begin(self):
        """Starts an interval unless one is open."""
        self._open_since = min(self._open_since, time.monotonic())

    def end(self):
        """Ends the open interval, if there is one."""
        if self._open_since < math.inf:
            self.add(self._open_since, time.monotonic())
            self._open_since = math.inf

    def add(self, start, end):
        self._intervals.append((start, end))

    def overlaps(self, start, end):
        return self._open_since <= end or any(
            first <= end and last >= start for first, last in self._intervals
        )


@dataclasses.dataclass
class Stop:
    """A SIGTERM of an entry; overdue if the process had to be killed."""

    at: float
    gone_at: float = math.inf
    overdue: bool = False


@dataclasses.dataclass
class Run:
    """The work of one upstream on one request."""

    upstream_id: str
    started: float
    ended: float = math.inf
    # Or "answered", "broken off" by the upstream, "abandoned" by the entry.
    state: str = "working"


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request: its route, and the time that callers grant."""

    route: str
    method: str = "GET"
    timeout_s: float = 1.5
    deadline_s: float = 3.0


READ = Kind("read")
CHARGE = Kind("charge", "POST")
SLOW_READ = Kind("slow-read", "GET", 4.5, 6.0)
SLOW_CHARGE = Kind("slow-charge", "POST", 4.5, 6.0)


@dataclasses.dataclass
class Exchange:
    """One request of a caller; status 0 stands for no complete answer."""

    entry: object
    attempt: str
    kind: Kind
    started: float
    # Whether the connection had answered an earlier request.
    reused: bool = False
    sent: float | None = None
    ended: float = math.inf
    status: int = 0
    body: bytes = b""
    # Whether the answer says that its upstream leaves.
    says_leaving: bool = False
    signed: bool = False
