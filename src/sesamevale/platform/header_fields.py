"""Header fields of the users' platform."""

from __future__ import annotations

from sesamevale import http1
from sesamevale.policy import upstream_state

__all__ = ["DIALECT", "read_load"]

SLOWDOWN_PERCENT = 100


def read_load(value: bytes) -> upstream_state.Load | None:
    """Parses ``running,waiting,slots`` and an optional slowdown in percent."""
    parts = value.split(b",")
    try:
        numbers = [int(part) for part in parts]
    except ValueError:
        return None
    if len(numbers) < 3 or min(numbers) < 0:
        return None
    slowdown = numbers[3] / SLOWDOWN_PERCENT if len(numbers) > 3 else 1.0
    return upstream_state.Load(
        numbers[0], numbers[1], numbers[2], max(0.01, slowdown)
    )


DIALECT = http1.Dialect(
    request_id=b"x-attempt-id",
    deadline_ms=b"x-deadline-ms",
    signature=b"x-response-signature",
    expected_upstream=b"x-expected-instance",
    not_run=b"x-not-executed",
    upstream_id=b"x-instance-id",
    load=b"x-server-load",
    read_load=read_load,
)
