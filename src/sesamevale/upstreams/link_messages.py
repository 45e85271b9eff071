"""Messages to the connection of the gateway to one upstream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale.forwarding import requests
    from sesamevale.policy import forwarding
    from sesamevale.policy import upstream_state

__all__ = ["Forward", "Message", "Sample", "SampleResult"]


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send a request.

    Attributes:
        request: The request.
        report: Called with the result.
    """

    request: requests.Request
    report: Callable[[forwarding.Result], None]


@dataclasses.dataclass(frozen=True, slots=True)
class SampleResult:
    """Answer to a question for an upstream's load.

    Attributes:
        reached: Whether the upstream answered.
        healthy: Whether it says that it is well.
        load: Its load; None if it does not report any.
    """

    reached: bool
    healthy: bool = False
    load: upstream_state.Load | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Ask for the upstream's load.

    Attributes:
        path: Path of the load report.
        report: Called with the answer.
    """

    path: str
    report: Callable[[SampleResult], None]


Message = Forward | Sample
