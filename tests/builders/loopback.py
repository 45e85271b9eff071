"""Loopback ports for daemons and stand-ins, reserved across processes.

Binding a probe socket and closing it reserves nothing: before the daemon
listens on the port, another test run can take it, or the kernel can assign it
to an outgoing connection.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import pathlib
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000  # above the ports of well-known services
_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")

_reservations: list[socket.socket] = []


def outgoing_ports() -> range:
    """Returns the ports that the kernel assigns to outgoing connections."""
    first, last = map(int, _RANGE_FILE.read_text().split())
    return range(first, last + 1)


def free_ports(count: int) -> list[int]:
    """Reserves TCP and UDP ports until the calling process ends.

    Raises:
      OSError: Too few ports are free.
    """
    ports: list[int] = []
    for port in _candidates():
        if len(ports) == count:
            return ports
        if _is_unused(port) and _reserve(port):
            ports.append(port)
    raise OSError(f"only {len(ports)} of {count} ports are free")


def _candidates() -> itertools.chain[int]:
    """Returns all usable ports, from a start that depends on the process.

    Concurrent processes thus seldom try the same ports.
    """
    usable = range(FIRST_PORT, outgoing_ports().start)
    start = usable.start + os.getpid() * 64 % len(usable)
    return itertools.chain(
        range(start, usable.stop), range(usable.start, start)
    )


def _is_unused(port: int) -> bool:
    with contextlib.ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


def _reserve(port: int) -> bool:
    """Reserves a port by an abstract Unix socket with the port in its name.

    The kernel frees the name when the process ends, however it ends.
    """
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        reservation.bind(f"\0sesamevale-test-port-{port}")
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True
