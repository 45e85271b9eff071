"""Ports for daemons and stand-ins, reserved across test processes.

A port that was only bound and closed again can go to another test run or to
the local end of an outgoing connection before its daemon listens on it.
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
    """Returns the ports that the kernel gives to outgoing connections."""
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
    usable = range(FIRST_PORT, outgoing_ports().start)
    middle = usable.start + os.getpid() * 64 % len(usable)
    return itertools.chain(
        range(middle, usable.stop), range(usable.start, middle)
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
    """Takes the port's name among abstract sockets, which the kernel frees
    with the process, however it ends."""
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        reservation.bind(f"\0sesamevale-test-port-{port}")
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True
