"""Check whether an upstream listens at its address."""

from __future__ import annotations

from sesamevale import sockets

__all__ = ["is_listening"]

# A process that listens accepts at once; one that has ended refuses at once.
CONNECT_TIMEOUT_S = 0.3


async def is_listening(host: str, port: int) -> bool:
    """Returns whether a connection can be opened; closes it at once.

    Args:
        host: IP address.
        port: TCP port.
    """
    stream = await sockets.connect(host, port, CONNECT_TIMEOUT_S)
    if stream is None:
        return False
    stream.abort()
    return True
