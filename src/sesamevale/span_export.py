"""Spans of the OpenTelemetry SDK, and their export.

The SDK is imported only by a daemon that exports spans: its import would delay
the start of the others.
"""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

from opentelemetry import context as context_api
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as trace_sdk
from opentelemetry.sdk.trace import export

from sesamevale import __version__
from sesamevale import tracing

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["OpenTelemetryBackend", "console_exporter"]


def console_exporter() -> export.SpanExporter:
    """Returns an exporter that writes each span as one line of JSON."""
    return export.ConsoleSpanExporter(
        formatter=lambda span: span.to_json(indent=None) + "\n"
    )


class _Span:
    """One span of the SDK."""

    def __init__(self, span: trace.Span) -> None:
        self._span = span

    @property
    def traceparent(self) -> bytes:
        """W3C trace context for the next hop."""
        own = self._span.get_span_context()
        return b"00-%032x-%016x-01" % (own.trace_id, own.span_id)

    def end(self, outcome: str) -> None:
        """Ends the span and sets its outcome attribute."""
        self._span.set_attribute("sesamevale.outcome", outcome)
        self._span.end()


class OpenTelemetryBackend:
    """Creates spans and passes them to an exporter.

    Args:
        entry_id: Identifier of this entry.
        exporter: Exporter of the spans.
    """

    def __init__(self, entry_id: str, exporter: export.SpanExporter) -> None:
        resource = resources.Resource(
            {"service.name": "sesamevaled", "service.instance.id": entry_id}
        )
        provider = trace_sdk.TracerProvider(resource=resource)
        provider.add_span_processor(export.BatchSpanProcessor(exporter))
        self._tracer = provider.get_tracer("sesamevale", __version__)

    def start_span(
        self, name: str, parent: tracing.TraceContext | None
    ) -> _Span:
        """Implements ``tracing.Backend``."""
        context = None if parent is None else _context(parent)
        return _Span(self._tracer.start_span(name, context=context))

    @contextlib.contextmanager
    def attempt_span(
        self, parent: tracing.TraceContext, target: str
    ) -> Iterator[None]:
        """Implements ``tracing.Backend``."""
        with self._tracer.start_as_current_span(
            "attempt",
            context=_context(parent),
            attributes={"sesamevale.target": target},
        ):
            yield

    def record_span(
        self, name: str, parent: tracing.TraceContext, seconds: float
    ) -> None:
        """Implements ``tracing.Backend``."""
        now_ns = time.time_ns()
        span = self._tracer.start_span(
            name,
            context=_context(parent),
            start_time=now_ns - int(seconds * 1e9),
        )
        span.end(now_ns)


def _context(parent: tracing.TraceContext) -> context_api.Context:
    return trace.set_span_in_context(
        trace.NonRecordingSpan(
            trace.SpanContext(
                trace_id=parent.trace_id,
                span_id=parent.span_id,
                is_remote=True,
                trace_flags=trace.TraceFlags(tracing.SAMPLED_FLAG),
            )
        )
    )
