"""What the callers of an entry may take of its machine."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import resources

__all__ = ["CONNECTION_BYTES", "REQUEST_BYTES", "MemoryLimits"]

MIB = 1024 * 1024
# Memory that a process takes without load, with its view of a large fleet.
PROCESS_BYTES = 64 * MIB
# Share of the rest that is given out; what is left covers fragmentation and
# objects that wait for the garbage collector.
GIVEN_OUT_SHARE = 0.75
# Share of the capacity that only requests without a large body or answer use.
SMALL_SHARE = 1 / 8
# Memory of a connection and of a head that is received in part.
CONNECTION_BYTES = 32 * 1024
# Memory of a request, its small body and answer, and the socket buffers on
# both sides.
REQUEST_BYTES = 96 * 1024
# Descriptors that are left for files, listeners and links to other processes.
OTHER_DESCRIPTORS = 220
CALLER_SHARE = 5 / 8
REQUEST_SHARE = 1 / 4
SOCKETS_MIN = 32
CROWDED_SHARE = 7 / 8


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryLimits:
    """What callers may take of an entry.

    Attributes:
        capacity_bytes: Memory that is given out.
        connections_max: Most connections of callers.
        requests_max: Most requests at a time.
    """

    capacity_bytes: int
    connections_max: int
    requests_max: int

    @classmethod
    def plan(cls, machine: resources.Machine) -> MemoryLimits:
        """Returns the limits of an entry that has a machine to itself."""
        usable = max(
            machine.memory_bytes - PROCESS_BYTES, machine.memory_bytes // 4
        )
        capacity = int(usable * GIVEN_OUT_SHARE)
        sockets = max(SOCKETS_MIN, machine.descriptors_max - OTHER_DESCRIPTORS)
        return cls(
            capacity_bytes=capacity,
            connections_max=min(
                int(sockets * CALLER_SHARE), capacity // 2 // CONNECTION_BYTES
            ),
            requests_max=int(sockets * REQUEST_SHARE),
        )

    @property
    def crowded_connections(self) -> int:
        """Connections from which on unused ones give way to new ones."""
        return int(self.connections_max * CROWDED_SHARE)

    @property
    def large_bytes(self) -> int:
        """Memory that large bodies and answers may fill."""
        return int(self.capacity_bytes * (1 - SMALL_SHARE))
