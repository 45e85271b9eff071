"""Resources of a machine, and bounds that the deployment sets."""

from __future__ import annotations

import dataclasses

__all__ = ["Machine", "QuotaBounds", "WarmupBounds"]

MIB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """Resources that one process may use.

    Attributes:
        memory_bytes: Memory above which the process is killed.
        descriptors_max: Largest number of open descriptors.
        cores: Processor time a second, in seconds of a usual core.
        link_bytes_per_s: Bandwidth of the machine's link.
    """

    memory_bytes: int = 512 * MIB
    descriptors_max: int = 4096
    cores: float = 1.0
    link_bytes_per_s: float = 12.5e6


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Bounds on the requests of a tenant with a rate limit.

    In any window, all entries together may let through
    ``(rate * window_s + burst) * (1 + overage) + tolerance`` requests.
    """

    window_s: float = 5.0
    overage: float = 0.1
    tolerance: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class WarmupBounds:
    """Bounds on the requests to a cold upstream.

    In any second, all entries together may send it
    ``rate * overage + tolerance`` requests.
    """

    overage: float = 1.5
    tolerance: float = 8.0
