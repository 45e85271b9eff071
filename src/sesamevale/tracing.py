"""Distributed tracing, a span for each hop; none for unsampled calls."""

from __future__ import annotations

import contextlib
import random
import re
import time
from typing import Protocol
from typing import TYPE_CHECKING

from opentelemetry import context as context_api
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as trace_sdk
from opentelemetry.sdk.trace import export

from sesamevale import __version__

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    "CallSpan",
    "TraceableCall",
    "attempt_span",
    "configure",
    "console_exporter",
    "record_queue_wait",
    "start_span",
]

TRACEPARENT = re.compile(rb"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
SAMPLED_FLAG = 1

_tracer = trace.get_tracer("sesamevale")
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

    def __init__(
        self, span: trace.Span | None, traceparent: bytes | None
    ) -> None:
        self._span = span
        self.traceparent = traceparent

    def end(self, outcome: str) -> None:
        """Ends the span and sets its outcome attribute."""
        if self._span is not None:
            self._span.set_attribute("sesamevale.outcome", outcome)
            self._span.end()


UNSAMPLED = CallSpan(None, None)


def console_exporter() -> export.SpanExporter:
    """Returns an exporter that writes each span as one line of JSON."""
    return export.ConsoleSpanExporter(
        formatter=lambda span: span.to_json(indent=None) + "\n"
    )


def configure(
    entry_id: str, sample_share: float, exporter: export.SpanExporter | None
) -> None:
    """Sets up tracing for this process.

    Args:
        entry_id: Identifier of this entry.
        sample_share: Share of calls without a trace context to sample.
        exporter: Exporter of the spans; None disables tracing.
    """
    global _tracer, _sample_share
    if exporter is None:
        return
    resource = resources.Resource(
        {"service.name": "sesamevaled", "service.instance.id": entry_id}
    )
    provider = trace_sdk.TracerProvider(resource=resource)
    provider.add_span_processor(export.BatchSpanProcessor(exporter))
    _tracer = provider.get_tracer("sesamevale", __version__)
    _sample_share = sample_share


def start_span(name: str, received: bytes | None) -> CallSpan:
    """Starts the span of a call that arrived.

    Args:
        name: Name of the span.
        received: Value of the received ``traceparent`` field, if any.
    """
    matched = TRACEPARENT.fullmatch(received) if received else None
    if matched is None:
        if _sample_share <= 0.0 or _random.random() >= _sample_share:
            return UNSAMPLED if received is None else CallSpan(None, received)
        return _new_span(name, None)
    if not int(matched[3], 16) & SAMPLED_FLAG or _sample_share <= 0.0:
        return CallSpan(None, received)
    return _new_span(name, _parent(matched))


@contextlib.contextmanager
def attempt_span(call: TraceableCall, target: str) -> Iterator[None]:
    """Opens a span for one attempt if the call is sampled."""
    context = _sampled_context(call)
    if context is None:
        yield
        return
    with _tracer.start_as_current_span(
        "attempt", context=context, attributes={"sesamevale.target": target}
    ):
        yield


def record_queue_wait(call: TraceableCall) -> None:
    """Records a span for the time that a sampled call spent in the queue."""
    context = _sampled_context(call)
    if context is None:
        return
    now_ns = time.time_ns()
    waited_ns = int((time.monotonic() - call.arrived) * 1e9)
    span = _tracer.start_span(
        "queue", context=context, start_time=now_ns - waited_ns
    )
    span.end(now_ns)


def _sampled_context(call: TraceableCall) -> context_api.Context | None:
    """Returns the context of a call's span; None if it is not sampled."""
    if call.traceparent is None or _sample_share <= 0.0:
        return None
    matched = TRACEPARENT.fullmatch(call.traceparent)
    if matched is None or not int(matched[3], 16) & SAMPLED_FLAG:
        return None
    return trace.set_span_in_context(trace.NonRecordingSpan(_parent(matched)))


def _parent(matched: re.Match[bytes]) -> trace.SpanContext:
    return trace.SpanContext(
        trace_id=int(matched[1], 16),
        span_id=int(matched[2], 16),
        is_remote=True,
        trace_flags=trace.TraceFlags(SAMPLED_FLAG),
    )


def _new_span(name: str, parent: trace.SpanContext | None) -> CallSpan:
    context = None
    if parent is not None:
        context = trace.set_span_in_context(trace.NonRecordingSpan(parent))
    span = _tracer.start_span(name, context=context)
    own = span.get_span_context()
    traceparent = b"00-%032x-%016x-01" % (own.trace_id, own.span_id)
    return CallSpan(span, traceparent)
