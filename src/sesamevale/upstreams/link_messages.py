"""Messages to a connection of the gateway to an upstream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale.forwarding import requests
    from sesamevale.policy.balancing import upstream_state
    from sesamevale.policy.calls import forwarding
    from sesamevale.policy.signals import upstream_signals

__all__ = ["Forward", "Message", "Sample", "SampleResult"]


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Sends a request.

    Attributes:
        request: The request.
        report: Called with the result of the attempt.
        stream_ended: Called at the end of an answer that is streamed, with
            whether it is complete.
    """

    request: requests.Request
    report: Callable[[forwarding.Result], None]
    stream_ended: Callable[[bool], None]


@dataclasses.dataclass(frozen=True, slots=True)
class SampleResult:
    """Result of sampling the load of an upstream.

    Attributes:
        reached: Whether a complete answer arrived in time; a late answer to a
            forwarded request does not count.
        healthy: Whether the answer is from this upstream and has a success
            status.
        load: Its load report; None if it sent no valid one.
        signals: Its signals; None if it has not answered.
        was_reset: Whether the connection was opened, and reset before an
            answer began.
    """

    reached: bool
    healthy: bool = False
    load: upstream_state.Load | None = None
    signals: upstream_signals.Signals | None = None
    was_reset: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Requests the load report of the upstream.

    Attributes:
        path: Path of the load report.
        report: Called with the result of the sample.
    """

    path: str
    report: Callable[[SampleResult], None]


Message = Forward | Sample
