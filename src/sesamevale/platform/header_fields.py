"""Header fields of the users' platform."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from sesamevale import http1
from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.signals import upstream_signals

if TYPE_CHECKING:
    from sesamevale import calls

__all__ = ["DIALECT", "read_key", "read_load", "read_signals"]

SLOWDOWN_PERCENT = 100
LIMIT = b"server-limit"
LEAVING = b"server-leaving"
LEAVING_VALUE = b"1"
RETRY_AFTER = b"retry-after"
WARMUP_MS = b"x-warmup-ms"
UNAVAILABLE = 503
# Scheme of a caller's credentials, in lower case.
KEY_SCHEME = b"bearer"
# Longest number that is accepted in a load report.
LOAD_LENGTH_MAX = 9
# Longest decimal number that is accepted as the value of a signal.
DECIMAL_LENGTH_MAX = 32
DECIMAL = re.compile(rb"\d+(\.\d*)?|\.\d+")


def read_load(value: bytes) -> upstream_state.Load | None:
    """Parses ``running,waiting,slots`` and an optional slowdown in percent.

    Returns:
        The load, or None if the value is malformed.
    """
    parts = value.split(b",")
    if max(map(len, parts)) > LOAD_LENGTH_MAX:
        return None
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


def read_signals(
    status: int, headers: calls.Headers
) -> upstream_signals.Signals:
    """Returns the signals in an answer.

    A field that is malformed or present twice counts as absent.

    Args:
        status: HTTP status code.
        headers: Header fields, names in lower case.
    """
    signals: list[upstream_signals.Signal] = []
    per_second = _read_decimal(headers, LIMIT)
    if per_second is not None:
        signals.append(upstream_signals.RateLimit(per_second))
    if [v for name, v in headers if name == LEAVING] == [LEAVING_VALUE]:
        signals.append(upstream_signals.Leaving())
    pause_s = _read_decimal(headers, RETRY_AFTER)
    if status == UNAVAILABLE and pause_s:
        signals.append(upstream_signals.Pause(pause_s))
    warmup_ms = _read_decimal(headers, WARMUP_MS)
    if warmup_ms:
        signals.append(upstream_signals.Warming(warmup_ms / 1000))
    return tuple(signals)


def _read_decimal(headers: calls.Headers, name: bytes) -> float | None:
    values = [value for key, value in headers if key == name]
    if len(values) != 1 or len(values[0]) > DECIMAL_LENGTH_MAX:
        return None
    if DECIMAL.fullmatch(values[0]) is None:
        return None
    number = float(values[0])
    return number if number < math.inf else None


def read_key(value: bytes) -> bytes | None:
    """Returns the key in ``Bearer KEY``; None for other credentials."""
    scheme, _, key = value.partition(b" ")
    key = key.strip()
    if scheme.lower() != KEY_SCHEME or not key or b" " in key:
        return None
    return key


DIALECT = http1.Dialect(
    request_id=b"x-attempt-id",
    deadline_ms=b"x-deadline-ms",
    signature=b"x-response-signature",
    expected_upstream=b"x-expected-instance",
    not_run=b"x-not-executed",
    upstream_id=b"x-instance-id",
    load=b"x-server-load",
    authorization=b"authorization",
    tenant=b"x-tenant",
    read_key=read_key,
    read_load=read_load,
    read_signals=read_signals,
)
