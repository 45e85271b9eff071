"""Recording of the signals that the upstreams of one service send."""

from __future__ import annotations

import enum
import time
from typing import TYPE_CHECKING

from sesamevale.policy.signals import upstream_signals

if TYPE_CHECKING:
    from collections.abc import Collection

    from sesamevale import event_log
    from sesamevale import metrics
    from sesamevale import routes
    from sesamevale.policy.balancing import warmup_shares

__all__ = ["SignalRecorder", "Source"]


class Source(enum.StrEnum):
    """Where a signal of an upstream was found."""

    REQUEST = "request"
    SAMPLE = "sample"
    RECORD = "record"


class SignalRecorder:
    """Records signals, and logs and counts their changes.

    Args:
        signals: Signals of the service's upstreams.
        warmups: Shares in what cold upstreams accept.
        events: Log of changes.
        recorder: Records metrics.
    """

    def __init__(
        self,
        signals: upstream_signals.UpstreamSignals,
        warmups: warmup_shares.WarmupShares,
        events: event_log.EventLog,
        recorder: metrics.MetricsRecorder,
    ) -> None:
        self._signals = signals
        self._warmups = warmups
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
        instance, now = upstream_signals.instance_of(record), time.monotonic()
        changes = self._signals.record_answer(instance, signals, now)
        changes += self._warmups.record_answer(
            instance, signals, now, is_sample=source is Source.SAMPLE
        )
        for change in changes:
            self._report(record, change, source)

    def retain(self, records: Collection[routes.UpstreamRecord]) -> None:
        """Records what is discovered and forgets what is long gone.

        Args:
            records: Upstreams that are discovered now.
        """
        now = time.monotonic()
        by_instance = {
            upstream_signals.instance_of(each): each for each in records
        }
        self._signals.retain(by_instance, now)
        for instance in self._warmups.record_discovered(records, now):
            record = by_instance[instance]
            began = upstream_signals.SignalChange(
                "warmup", "began", record.warmup_s
            )
            self._report(record, began, Source.RECORD)

    def _report(
        self,
        record: routes.UpstreamRecord,
        change: upstream_signals.SignalChange,
        source: Source,
    ) -> None:
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
