"""Recording of the signals that the upstreams of one service send."""

from __future__ import annotations

import enum
import time
from typing import TYPE_CHECKING

from sesamevale.policy.signals import upstream_signals

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamevale import event_log
    from sesamevale import metrics
    from sesamevale import routes

__all__ = ["SignalRecorder", "Source"]


class Source(enum.StrEnum):
    """What the upstream answered when it sent a signal."""

    REQUEST = "request"
    SAMPLE = "sample"


class SignalRecorder:
    """Records signals, and logs and counts their changes.

    Args:
        signals: Signals of the service's upstreams.
        events: Log of changes.
        recorder: Records metrics.
    """

    def __init__(
        self,
        signals: upstream_signals.UpstreamSignals,
        events: event_log.EventLog,
        recorder: metrics.MetricsRecorder,
    ) -> None:
        self._signals = signals
        self._events = events
        self._recorder = recorder

    def record(
        self,
        record: routes.UpstreamRecord,
        signals: upstream_signals.Signals | None,
        source: Source,
    ) -> None:
        """Records the signals of an answer.

        Args:
            record: The upstream that was asked.
            signals: Signals of the answer; None if it is not certain to be
                from that upstream.
            source: What was answered.
        """
        if signals is None:
            return
        changes = self._signals.record_answer(
            upstream_signals.instance_of(record), signals, time.monotonic()
        )
        for change in changes:
            self._recorder.count(f"signals_{change.signal}_{change.change}")
            self._events.decision(
                "upstream_signal",
                service=record.service,
                upstream=record.upstream_id,
                signal=change.signal,
                change=change.change,
                value=change.value,
                source=str(source),
            )

    def retain(self, records: Iterable[routes.UpstreamRecord]) -> None:
        """Forgets upstreams that have been gone for a long time.

        Args:
            records: Upstreams that are discovered now.
        """
        instances = map(upstream_signals.instance_of, records)
        self._signals.retain(instances, time.monotonic())
