"""Distributed tracing, a span for each hop; none for unsampled calls."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import re
import time
from typing import Protocol

__all__ = [
    "Backend",
    "CallSpan",
    "SAMPLED_FLAG",
    "Span",
    "TraceContext",
    "TraceableCall",
    "attempt_span",
    "configure",
    "record_queue_wait",
    "start_span",
]

TRACEPARENT = re.compile(rb"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
SAMPLED_FLAG = 1


@dataclasses.dataclass(frozen=True, slots=True)
class TraceContext:
    """W3C trace context of the span that another span belongs to."""

    trace_id: int
    span_id: int


class Span(Protocol):
    """A span that has started."""

    @property
    def traceparent(self) -> bytes:
        """W3C trace context for the next hop."""

    def end(self, outcome: str) -> None:
        """Ends the span and sets its outcome attribute."""


class Backend(Protocol):
    """Creates the spans of sampled calls."""

    def start_span(self, name: str, parent: TraceContext | None) -> Span:
        """Starts a span; without a parent it begins a trace."""

    def attempt_span(
        self, parent: TraceContext, target: str
    ) -> contextlib.AbstractContextManager[None]:
        """Returns a span for one attempt, open while the context is."""

    def record_span(
        self, name: str, parent: TraceContext, seconds: float
    ) -> None:
        """Records a span that ends now and took ``seconds``."""


_backend: Backend | None = None
_sample_share = 0.0
_random = random.Random()


class TraceableCall(Protocol):
    """Attributes of a call or request that tracing reads.

    Attributes:
        traceparent: W3C trace context for the next hop, if any.
        arrived: Monotonic time of arrival in seconds.
    """

    traceparent: bytes | None
    arrived: float


class CallSpan:
    """Span of one call at one entry; without effect for unsampled calls."""

    __slots__ = ("_span", "traceparent")

    def __init__(self, span: Span | None, traceparent: bytes | None) -> None:
        self._span = span
        self.traceparent = traceparent

    def end(self, outcome: str) -> None:
        """Ends the span and sets its outcome attribute."""
        if self._span is not None:
            self._span.end(outcome)


UNSAMPLED = CallSpan(None, None)


def configure(sample_share: float, backend: Backend) -> None:
    """Sets up tracing for this process.

    Args:
        sample_share: Share of calls without a trace context to sample; 0
            disables tracing.
        backend: Creates the spans.
    """
    global _backend, _sample_share
    _backend, _sample_share = backend, sample_share


def start_span(name: str, received: bytes | None) -> CallSpan:
    """Starts the span of a call that arrived.

    Args:
        name: Name of the span.
        received: Value of the received ``traceparent`` field, if any.
    """
    matched = TRACEPARENT.fullmatch(received) if received else None
    if _backend is None or _sample_share <= 0.0:
        return UNSAMPLED if received is None else CallSpan(None, received)
    if matched is None:
        if _random.random() >= _sample_share:
            return UNSAMPLED if received is None else CallSpan(None, received)
        return _new_span(_backend, name, None)
    parent = _sampled_context(received)
    if parent is None:
        return CallSpan(None, received)
    return _new_span(_backend, name, parent)


def attempt_span(
    call: TraceableCall, target: str
) -> contextlib.AbstractContextManager[None]:
    """Returns a span for one attempt, if the call is sampled."""
    parent = _sampled_context(call.traceparent)
    if parent is None or _backend is None:
        return contextlib.nullcontext()
    return _backend.attempt_span(parent, target)


def record_queue_wait(call: TraceableCall) -> None:
    """Records a span for the time that a sampled call spent in the queue."""
    parent = _sampled_context(call.traceparent)
    if parent is not None and _backend is not None:
        waited_s = time.monotonic() - call.arrived
        _backend.record_span("queue", parent, waited_s)


def _sampled_context(traceparent: bytes | None) -> TraceContext | None:
    """Returns the context of a call's span; None if it is not sampled."""
    if traceparent is None or _sample_share <= 0.0:
        return None
    matched = TRACEPARENT.fullmatch(traceparent)
    if matched is None or not int(matched[3], 16) & SAMPLED_FLAG:
        return None
    return TraceContext(int(matched[1], 16), int(matched[2], 16))


def _new_span(
    backend: Backend, name: str, parent: TraceContext | None
) -> CallSpan:
    span = backend.start_span(name, parent)
    return CallSpan(span, span.traceparent)
